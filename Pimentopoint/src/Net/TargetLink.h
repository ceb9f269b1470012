#pragma once

#include "../Serve/CallEngine.h"
#include "HeaderDialect.h"

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
class TargetLink : public std::enable_shared_from_this<TargetLink> {
public:
    struct Hooks {
        std::function<void(SendId, TargetReply)> ended;
        std::function<void(SendId)> begun; ///< A host that runs parts of the call has begun.
        std::function<void(const std::shared_ptr<TargetLink>&)> free; ///< The link can take a request.
        std::function<void(const std::shared_ptr<TargetLink>&)> closed; ///< Once for each link, however it ends.
    };

    TargetLink(boost::asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, Endpoint endpoint, Hooks hooks);

    /// Connects to \a target ahead of the first request.
    void open(const TargetName& target);
    /// Sends \a send; connects first if need be.
    void start(const CallActions::Send& send);
    /// Ends the exchange without a reply and closes the connection.
    void abort();
    /// Closes the connection; nothing happens the second time.
    void close();
    /// \returns whether the target may still hold the connection open at \a now
    bool fresh(Instant now) const { return !m_closed && now < m_freshUntil; }
    const Endpoint& endpoint() const { return m_endpoint; }
    /// \returns the target that the link was opened for
    const TargetName& target() const { return m_target; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void giveUp(const char* cause);
    void write();
    void written(SendId id, bool failed);
    void read();
    void received(const boost::system::error_code& error);
    void parse(std::string_view bytes, bool ended);
    void answered(bool reusable);
    /// Takes what an aggregating host says of its answer; \returns whether it is complete
    bool readAggregate(TargetReply& reply) const;
    void fail(TargetReply::End end, const char* cause);
    void settle(TargetReply reply, bool reusable);
    Instant keptUntil() const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const Clock& m_clock;
    const HeaderDialect& m_dialect;
    Endpoint m_endpoint;
    Hooks m_hooks;
    TargetName m_target;
    std::optional<CallActions::Send> m_send;
    std::string m_out;
    bool m_written = false;
    bool m_connected = false;
    bool m_closed = false;
    bool m_anySent = false;
    std::string m_in; ///< Bytes that the parser has not taken.
    std::optional<Parser> m_parser;
    Instant m_freshUntil {};
};

} // namespace pimentopoint
