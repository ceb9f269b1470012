#pragma once

#include "TargetLink.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class TargetLinks
/// \ingroup Net
/// \brief All connections to targets; carries out the sends and aborts of a CallEngine.
class TargetLinks {
public:
    using Ended = std::function<void(SendId, TargetReply)>;
    /// The number of open connections to a target changed.
    using Changed = std::function<void(const TargetName&, std::size_t)>;

    TargetLinks(boost::asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, Metrics& metrics, Ended ended, Changed changed);

    /// Sets what is told when a host that runs parts of a call has begun.
    void onBegun(std::function<void(SendId)> begun) { m_begun = std::move(begun); }

    void send(const CallActions::Send& send);
    /// Opens a connection ahead of need.
    void open(const TargetName& target, const Endpoint& endpoint);
    void abort(SendId send);
    /// Closes idle connections that their targets no longer keep.
    void sweep(Instant now);

private:
    using Pointer = std::shared_ptr<TargetLink>;

    Pointer make(const TargetName& target, const Endpoint& endpoint);
    void closed(const Pointer& link);
    void setOpen(const TargetName& target, std::size_t open);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const HeaderDialect& m_dialect;
    Metrics& m_metrics;
    Ended m_ended;
    Changed m_changed;
    std::function<void(SendId)> m_begun = [](SendId) {};
    std::unordered_map<TargetName, std::size_t> m_open; ///< Connections, by target.
    std::unordered_map<SendId, Pointer> m_busy;
    std::map<TargetName, std::vector<Pointer>> m_idle; ///< The latest used one last.
};

} // namespace pimentopoint
