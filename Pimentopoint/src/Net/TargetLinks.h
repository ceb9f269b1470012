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

    TargetLinks(boost::asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, Metrics& metrics, Ended ended);

    void send(const CallActions::Send& send);
    void abort(SendId send);
    /// Closes idle connections that their targets no longer keep.
    void sweep(Instant now);
    void closeAll();

private:
    using Pointer = std::shared_ptr<TargetLink>;

    void idle(const Pointer& link, bool usable);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const HeaderDialect& m_dialect;
    Metrics& m_metrics;
    Ended m_ended;
    std::unordered_map<SendId, Pointer> m_busy;
    std::map<TargetName, std::vector<Pointer>> m_idle; ///< The latest used one last.
};

} // namespace pimentopoint
