#pragma once

#include "../Core/Clock.h"
#include "../Core/MemoryCharge.h"
#include "../Serve/RoutePolicy.h"
#include "../Serve/TargetReply.h"
#include "HeaderNames.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentopoint {

/// \class CallerConnection
/// \ingroup Net
/// \brief A caller's connection: reads requests one at a time and writes their answers in order.
/// \details Continues to read while a request is being run, in order to detect that the caller has disconnected.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    struct Hooks {
        /// Called with each complete request. \returns the id of its call
        std::function<CallId(const std::shared_ptr<CallerConnection>&, std::shared_ptr<const CallerRequest>)> request;
        std::function<void(CallId)> disconnected; ///< The caller disconnected while its request was being run.
        std::function<void(const std::shared_ptr<CallerConnection>&)> closed;
        std::function<CallerLimits()> limits;
        std::function<bool()> draining; ///< Whether answers contain the header "Connection: close".
        bool acceptsDelegations = false; ///< Whether the callers are hosts that delegate fan-outs to this one.
        MemoryBudget* answerMemory = nullptr; ///< Limits the answers that callers have not accepted yet; null: they are not limited.
    };

    CallerConnection(boost::asio::ip::tcp::socket socket, const Clock& clock, const HeaderNames& headerNames, Hooks hooks);

    void start();
    void answer(const CallerAnswer& answer);
    /// Closes the connection, or rejects its request, if a header, write, linger or idle timeout has passed.
    void enforceTimeouts(Instant now);
    /// Closes the connection if no request is being read, run or answered; \returns whether it did
    bool closeIfIdle();
    bool busy() const { return m_call.has_value() || m_writing; }
    void close();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void handleReadable(const boost::system::error_code& error);
    void handleDisconnect();
    void parseInput();
    void resetParser();
    void dispatch();
    /// Parses the headers of a delegated request; \returns whether they are complete and valid
    bool parseDelegation(const boost::beast::http::fields& message, CallerRequest& request) const;
    /// Informs the delegating host that its request has been started.
    void acknowledge();
    void reject(unsigned status, const char* reason);
    void write();
    /// Closes the connection, since its answer needs more memory than it may use.
    void releaseAnswer();
    void handleWritten(const boost::system::error_code& error);
    void beginLinger();
    /// Runs \a handler; an exception that leaves it ends this connection only.
    void guard(const std::function<void()>& handler);

    boost::asio::ip::tcp::socket m_socket;
    const Clock& m_clock;
    const HeaderNames& m_headerNames;
    Hooks m_hooks;
    std::string m_input;
    std::optional<Parser> m_parser;
    std::string m_output;
    std::optional<MemoryCharge> m_charge; ///< Memory of the answer being written; nothing if it is not limited.
    std::optional<CallId> m_call;
    bool m_headRequest = false;
    bool m_keepAlive = true;
    bool m_reading = false;
    bool m_writing = false;
    bool m_lingering = false;
    bool m_closed = false;
    bool m_continueSent = false;
    Instant m_lastActivityAt; ///< Time of the latest byte read or written.
    Instant m_requestReceivedAt {};
    Instant m_requestStartedAt {}; ///< Time of the first byte of the request being read.
};

} // namespace pimentopoint
