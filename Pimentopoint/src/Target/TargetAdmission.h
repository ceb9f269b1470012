#pragma once

#include "../Operator/Target.h"
#include "AdmissionQueue.h"
#include "Exchange.h"
#include "Share.h"
#include "WarmupRamp.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// What the caller of TargetLane is to do.
struct AdmissionActions {
    struct Reply {
        AttemptId attempt;
        SubReply reply;
    };
    std::vector<Dispatch> dispatches;
    std::vector<Reply> replies;
    std::vector<AttemptId> cancels; ///< Attempts that the target should stop working on.

    bool empty() const { return dispatches.empty() && replies.empty() && cancels.empty(); }
};

/// \class TargetLane
/// \ingroup Target
/// \brief Admission of one gateway's work to one target: queue, limits, cold start, deadlines.
/// \details The number of requests at work never exceeds the share: a request counts until its exchange has ended, and,
/// where the end says nothing about the target's work, for a further quarantine.
class TargetAdmission {
public:
    /// \param openAt when the first request may be sent; work of an earlier incarnation of this gateway has ended by then
    TargetAdmission(TargetId target, Endpoint endpoint, Instant now, Instant openAt);

    /// Sets the share: a loss applies at once, a gain after \a settle, when the former owner has stopped.
    void setShare(const Share& share, Instant now, Duration settle, AdmissionActions& actions);
    void setEndpoint(Endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// Takes a sub-query: queued, sent or refused at once.
    void submit(PendingSubQuery work, const WarmthHint& hint, Instant now, AdmissionActions& actions);
    /// Takes the end of an exchange.
    void handleResult(const ExchangeResult& result, Instant now, AdmissionActions& actions);
    /// Drops \a attempt if it waits; otherwise asks the target to stop.
    void cancel(const AttemptId& attempt, AdmissionActions& actions);
    /// Refuses what waits beyond its deadline and sends what may be sent.
    void tick(Instant now, AdmissionActions& actions);
    /// Refuses all that waits.
    void refuseWaiting(NotRunReason reason, AdmissionActions& actions);

    const Share& share() const { return m_share; }
    const WarmupRamp& ramp() const { return m_ramp; }
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t outstanding() const { return m_inFlight.size() + m_quarantine.size(); }
    bool idle() const { return !waiting() && m_inFlight.empty(); }

private:
    struct InFlight {
        PendingSubQuery subQuery;
        Instant sentAt;
        bool cancelled = false;
    };

    std::uint32_t limit() const;
    /// \returns slots that ordinary work leaves free for urgent work to come
    std::uint32_t reservedSlots() const;
    void recordUrgency(Urgency urgency);
    bool canMeetDeadline(const PendingSubQuery& work, Instant now) const;
    void applyPendingShare(Instant now);
    void endQuarantines(Instant now);
    void sendWaiting(Instant now, AdmissionActions& actions);
    void dispatch(PendingSubQuery work, Instant now, AdmissionActions& actions);
    void refuse(const PendingSubQuery& work, NotRunReason reason, AdmissionActions& actions);
    void finish(const PendingSubQuery& work, SubReply reply, AdmissionActions& actions);
    void recordOutcome(const ExchangeResult& result, const InFlight& exchange, Instant now);
    static SubReply replyFor(const ExchangeResult& result);

    TargetId m_target;
    Endpoint m_endpoint;
    Instant m_openAt;
    Share m_share;
    std::optional<Share> m_pendingShare;
    Instant m_pendingShareAt {};
    WarmupRamp m_ramp;
    AdmissionQueue m_queue;
    std::unordered_map<AttemptId, InFlight> m_inFlight;
    std::vector<Instant> m_quarantine;
    double m_urgentFraction = 0; ///< Of the latest sub-queries sent.
    std::uint32_t m_knownConnections = 0; ///< Connections that are held for open.
};

} // namespace pimentopoint
