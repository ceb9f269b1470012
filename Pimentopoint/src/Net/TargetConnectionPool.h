#pragma once

#include "TargetConnection.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class TargetConnectionPool
/// \ingroup Net
/// \brief Holds all connections to targets and sends and aborts the attempts of a CallEngine.
class TargetConnectionPool {
public:
    using CompletedHook = std::function<void(AttemptNumber, TargetReply)>;
    /// Called when the number of open connections to a target changes.
    using OpenCountHook = std::function<void(const TargetName&, std::size_t)>;

    TargetConnectionPool(boost::asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, Metrics& metrics, MemoryBudget& memory, CompletedHook onCompleted, OpenCountHook onOpenCountChanged);

    /// Sets the hook that is called when an aggregator has started a delegated request.
    void onAcknowledged(std::function<void(AttemptNumber)> hook) { m_onAcknowledged = std::move(hook); }

    void send(const CallActions::Attempt& attempt);
    /// Opens a connection before a request needs it.
    void open(const TargetName& target, const Endpoint& endpoint);
    /// Opens a connection to find out whether the target of \a attempt still runs; \a onChecked is called once, with whether it accepted.
    void check(AttemptNumber attempt, const TargetName& target, const Endpoint& endpoint, std::function<void(AttemptNumber, bool)> onChecked);
    void abort(AttemptNumber attempt);
    /// Closes idle connections that their targets are no longer assumed to hold open.
    void closeExpired(Instant now);

private:
    using ConnectionPointer = std::shared_ptr<TargetConnection>;

    struct Check {
        AttemptNumber attempt;
        std::function<void(AttemptNumber, bool)> onChecked;
    };

    ConnectionPointer createConnection(const TargetName& target, const Endpoint& endpoint);
    void finishCheck(const ConnectionPointer& connection, bool accepted);
    void handleClosed(const ConnectionPointer& connection);
    void setOpenCount(const TargetName& target, std::size_t open);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const HeaderNames& m_headerNames;
    Metrics& m_metrics;
    MemoryBudget& m_memory;
    CompletedHook m_onCompleted;
    OpenCountHook m_onOpenCountChanged;
    std::function<void(AttemptNumber)> m_onAcknowledged = [](AttemptNumber) {};
    std::unordered_map<TargetName, std::size_t> m_openCounts; ///< Number of open connections, by target.
    std::unordered_map<AttemptNumber, ConnectionPointer> m_active;
    std::map<ConnectionPointer, Check> m_checks; ///< Connections that are being opened to find out whether a target runs.
    std::map<TargetName, std::vector<ConnectionPointer>> m_idle; ///< The most recently used connection is the last one.
};

} // namespace pimentopoint
