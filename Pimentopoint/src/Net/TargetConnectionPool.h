#pragma once

#include "TargetConnection.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class TargetLinks
/// \ingroup Net
/// \brief All connections to targets; carries out the sends and aborts of a CallEngine.
class TargetConnectionPool {
public:
    using CompletedHook = std::function<void(AttemptNumber, TargetReply)>;
    /// The number of open connections to a target changed.
    using OpenCountHook = std::function<void(const TargetName&, std::size_t)>;

    TargetConnectionPool(boost::asio::io_context& context, const Clock& clock, const HeaderNames& dialect, Metrics& metrics, CompletedHook ended, OpenCountHook changed);

    /// Sets what is told when a host that runs parts of a call has begun.
    void onAcknowledged(std::function<void(AttemptNumber)> begun) { m_onAcknowledged = std::move(begun); }

    void send(const CallActions::Attempt& send);
    /// Opens a connection ahead of need.
    void open(const TargetName& target, const Endpoint& endpoint);
    void abort(AttemptNumber send);
    /// Closes idle connections that their targets no longer keep.
    void closeExpired(Instant now);

private:
    using ConnectionPointer = std::shared_ptr<TargetConnection>;

    ConnectionPointer createConnection(const TargetName& target, const Endpoint& endpoint);
    void handleClosed(const ConnectionPointer& link);
    void setOpenCount(const TargetName& target, std::size_t open);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const HeaderNames& m_headerNames;
    Metrics& m_metrics;
    CompletedHook m_onCompleted;
    OpenCountHook m_onOpenCountChanged;
    std::function<void(AttemptNumber)> m_onAcknowledged = [](AttemptNumber) {};
    std::unordered_map<TargetName, std::size_t> m_openCounts; ///< Connections, by target.
    std::unordered_map<AttemptNumber, ConnectionPointer> m_active;
    std::map<TargetName, std::vector<ConnectionPointer>> m_idle; ///< The latest used one last.
};

} // namespace pimentopoint
