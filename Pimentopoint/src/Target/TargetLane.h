#pragma once

#include "../Operator/Target.h"
#include "AdmissionQueue.h"
#include "ColdRamp.h"
#include "Exchange.h"
#include "Share.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// What the caller of TargetLane is to do.
struct LaneActions {
    struct Finished {
        AttemptId attempt;
        SubReply reply;
    };
    std::vector<Dispatch> dispatches;
    std::vector<Finished> finished;
    std::vector<AttemptId> cancels; ///< Attempts that the target should stop working on.

    bool empty() const { return dispatches.empty() && finished.empty() && cancels.empty(); }
};

/// \class TargetLane
/// \ingroup Target
/// \brief Admission of one gateway's work to one target: queue, limits, cold start, deadlines.
/// \details The number of requests at work never exceeds the share: a request counts until its exchange has ended, and,
/// where the end says nothing about the target's work, for a further quarantine.
class TargetLane {
public:
    /// \param openAt when the first request may be sent; work of an earlier incarnation of this gateway has ended by then
    TargetLane(TargetId target, Endpoint endpoint, Instant now, Instant openAt);

    /// Sets the share: a loss applies at once, a gain after \a settle, when the former owner has stopped.
    void setShare(const Share& share, Instant now, Duration settle, LaneActions& actions);
    void setEndpoint(Endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// Takes a sub-query: queued, sent or refused at once.
    void submit(Work work, const WarmthHint& hint, Instant now, LaneActions& actions);
    /// Takes the end of an exchange.
    void complete(const ExchangeResult& result, Instant now, LaneActions& actions);
    /// Drops \a attempt if it waits; otherwise asks the target to stop.
    void cancel(const AttemptId& attempt, LaneActions& actions);
    /// Refuses what waits beyond its deadline and sends what may be sent.
    void tick(Instant now, LaneActions& actions);
    /// Refuses all that waits.
    void refuseWaiting(NotRunReason reason, LaneActions& actions);

    const Share& share() const { return m_share; }
    const ColdRamp& ramp() const { return m_ramp; }
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t atWork() const { return m_inFlight.size() + m_quarantine.size(); }
    bool idle() const { return !waiting() && m_inFlight.empty(); }

private:
    struct InFlight {
        Work work;
        Instant sentAt;
        bool abandoned = false;
    };

    std::uint32_t limit() const;
    /// \returns slots that ordinary work leaves free for urgent work to come
    std::uint32_t reserve() const;
    void noteUrgency(Urgency urgency);
    bool meetsDeadline(const Work& work, Instant now) const;
    void applyPendingShare(Instant now);
    void endQuarantines(Instant now);
    void sendWaiting(Instant now, LaneActions& actions);
    void dispatch(Work work, Instant now, LaneActions& actions);
    void refuse(const Work& work, NotRunReason reason, LaneActions& actions);
    void finish(const Work& work, SubReply reply, LaneActions& actions);
    void noteEnd(const ExchangeResult& result, const InFlight& exchange, Instant now);
    static SubReply replyFor(const ExchangeResult& result);

    TargetId m_target;
    Endpoint m_endpoint;
    Instant m_openAt;
    Share m_share;
    std::optional<Share> m_pendingShare;
    Instant m_pendingShareAt {};
    ColdRamp m_ramp;
    AdmissionQueue m_queue;
    std::unordered_map<AttemptId, InFlight> m_inFlight;
    std::vector<Instant> m_quarantine;
    double m_urgentShare = 0; ///< Of the latest sub-queries sent.
    std::uint32_t m_connections = 0; ///< Connections that are held for open.
};

} // namespace pimentopoint
