#pragma once

#include "../Core/Endpoint.h"
#include "CallerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <unordered_map>

namespace pimentopoint {

/// \class CallerServer
/// \ingroup Net
/// \brief Accepts callers' connections, passes their requests to a hook and sends the answers back.
class CallerServer {
public:
    struct Hooks {
        std::function<void(CallId, std::shared_ptr<const CallerRequest>)> request;
        std::function<void(CallId)> disconnected;
        std::function<CallerLimits()> limits;
        std::function<CallId()> nextCallId {}; ///< Assigns the call ids; if it is empty, the server assigns them.
        bool acceptsDelegations = false; ///< Whether the callers are hosts that delegate fan-outs to this one.
        MemoryBudget* answerMemory = nullptr; ///< Limits the answers that callers have not accepted yet; null: they are not limited.
    };

    /// \throws ListenFailure if \a endpoint can't be bound
    CallerServer(boost::asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, const Endpoint& endpoint, std::size_t maxConnections, Hooks hooks);

    /// \returns whether \a call belongs to this server
    bool answer(CallId call, const CallerAnswer& answer);
    void enforceTimeouts(Instant now);
    /// From now on, answers contain the header "Connection: close".
    void beginDrain() { m_draining = true; }
    /// Stops accepting connections and closes idle ones.
    void closeIdle();
    /// \returns whether no request is being run or answered
    bool idle() const;
    std::size_t connections() const { return m_connections.size(); }
    void closeAll();

private:
    void accept();
    void addConnection(boost::asio::ip::tcp::socket socket);
    CallId beginCall(const std::shared_ptr<CallerConnection>& connection, std::shared_ptr<const CallerRequest> request);

    boost::asio::ip::tcp::acceptor m_acceptor;
    const Clock& m_clock;
    const HeaderNames& m_headerNames;
    std::size_t m_maxConnections;
    Hooks m_hooks;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    std::unordered_map<CallId, std::shared_ptr<CallerConnection>> m_calls;
    std::uint64_t m_lastCallId = 0;
    bool m_draining = false;
};

} // namespace pimentopoint
