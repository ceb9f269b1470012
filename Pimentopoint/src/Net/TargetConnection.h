#pragma once

#include "../Core/MemoryCharge.h"
#include "../Serve/CallEngine.h"
#include "HeaderNames.h"
#include "ReplyParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace pimentopoint {

/// \class TargetConnection
/// \ingroup Net
/// \brief A connection to a target: carries one request at a time and is reused until an exchange fails.
/// \details The connection is closed after bytes that belong to no request, a reply to another request, or a reply before the whole request was sent.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
    struct Hooks {
        std::function<void(AttemptNumber, TargetReply)> completed;
        std::function<void(AttemptNumber)> acknowledged; ///< An aggregator has started a delegated request.
        std::function<void(const std::shared_ptr<TargetConnection>&)> idle; ///< The connection can take a request.
        std::function<void(const std::shared_ptr<TargetConnection>&)> closed; ///< Called once for each connection, whatever ended it.
    };

    /// \param memory limits the replies in progress of all connections together
    TargetConnection(boost::asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, MemoryBudget& memory, Endpoint endpoint, Hooks hooks);

    /// Connects to \a target before the first request.
    void open(const TargetName& target);
    /// Sends \a attempt; connects first if necessary.
    void start(const CallActions::Attempt& attempt);
    /// Ends the exchange without reporting a reply and closes the connection.
    void abort();
    /// Closes the connection; further calls have no effect.
    void close();
    /// \returns whether the target is assumed to hold the connection open at \a now
    bool reusable(Instant now) const { return !m_closed && now < m_reusableUntil; }
    const Endpoint& endpoint() const { return m_endpoint; }
    /// \returns the target that the connection was opened for
    const TargetName& target() const { return m_target; }

private:
    void connect();
    void handleConnected(const boost::system::error_code& error);
    void failConnect(const char* cause);
    void write();
    void handleWritten(AttemptNumber id, bool failed);
    void read();
    void handleReadable(const boost::system::error_code& error);
    void parse(std::string_view bytes);
    void handleEnd();
    void handleReply(bool reusable);
    /// Parses the headers that an aggregator adds to its reply; \returns whether the number of missing shards is among them
    bool parseAggregate(TargetReply& reply) const;
    void fail(TargetReply::ReplyOutcome outcome, const char* cause, bool connectionFailed = false);
    /// Discards the reply in progress and ends the exchange once the current handler has returned.
    void releaseReply();
    /// Runs \a handler; an exception that leaves it ends this connection only.
    void guard(const std::function<void()>& handler);
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
    std::optional<ReplyParser> m_parser; ///< Absent between exchanges and after releaseReply().
    MemoryCharge m_charge; ///< Memory of the reply in progress.
    Instant m_reusableUntil {};
};

} // namespace pimentopoint
