#pragma once

#include "../Serve/CallEngine.h"
#include "HeaderNames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace pimentopoint {

/// \class TargetLink
/// \ingroup Net
/// \brief One connection to a target: one request at a time, kept for the next one while nothing is wrong with it.
/// \details Bytes that belong to no request, an answer to another request or an answer before the whole request was sent end the connection.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
    struct Hooks {
        std::function<void(AttemptNumber, TargetReply)> completed;
        std::function<void(AttemptNumber)> acknowledged; ///< A host that runs parts of the call has begun.
        std::function<void(const std::shared_ptr<TargetConnection>&)> idle; ///< The link can take a request.
        std::function<void(const std::shared_ptr<TargetConnection>&)> closed; ///< Once for each link, however it ends.
    };

    TargetConnection(boost::asio::io_context& context, const Clock& clock, const HeaderNames& dialect, Endpoint endpoint, Hooks hooks);

    /// Connects to \a target ahead of the first request.
    void open(const TargetName& target);
    /// Sends \a send; connects first if need be.
    void start(const CallActions::Attempt& send);
    /// Ends the exchange without a reply and closes the connection.
    void abort();
    /// Closes the connection; nothing happens the second time.
    void close();
    /// \returns whether the target may still hold the connection open at \a now
    bool reusable(Instant now) const { return !m_closed && now < m_reusableUntil; }
    const Endpoint& endpoint() const { return m_endpoint; }
    /// \returns the target that the link was opened for
    const TargetName& target() const { return m_target; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void failConnect(const char* cause);
    void write();
    void handleWritten(AttemptNumber id, bool failed);
    void read();
    void handleReadable(const boost::system::error_code& error);
    void parse(std::string_view bytes, bool ended);
    void handleAnswer(bool reusable);
    /// Takes what an aggregating host says of its answer; \returns whether it is complete
    bool parseAggregate(TargetReply& reply) const;
    void fail(TargetReply::ReplyOutcome end, const char* cause);
    void finish(TargetReply reply, bool reusable);
    Instant keepAliveExpiry() const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const Clock& m_clock;
    const HeaderNames& m_headerNames;
    Endpoint m_endpoint;
    Hooks m_hooks;
    TargetName m_target;
    std::optional<CallActions::Attempt> m_attempt;
    std::string m_output;
    bool m_requestWritten = false;
    bool m_connected = false;
    bool m_closed = false;
    bool m_anyBytesSent = false;
    std::string m_input; ///< Bytes that the parser has not taken.
    std::optional<Parser> m_parser;
    Instant m_reusableUntil {};
};

} // namespace pimentopoint
