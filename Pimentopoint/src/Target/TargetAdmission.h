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

/// Actions that the caller of TargetAdmission has to perform.
struct AdmissionActions {
    struct Reply {
        AttemptId attempt;
        SubReply reply;
    };
    std::vector<Dispatch> dispatches;
    std::vector<Reply> replies;
    std::vector<AttemptId> cancels; ///< Attempts that the target should stop running.

    bool empty() const { return dispatches.empty() && replies.empty() && cancels.empty(); }
};

/// \class TargetAdmission
/// \ingroup Target
/// \brief Admission control of one gateway for one target: queue, limits, warm-up, deadlines.
/// \details The number of outstanding requests never exceeds the share. A request is outstanding until its exchange has
/// ended and, if the outcome leaves open whether the target still runs it, for a further quarantine.
class TargetAdmission {
public:
    /// \param openAt earliest time to send a request; requests of an earlier incarnation of this gateway have ended by then
    TargetAdmission(TargetId target, Endpoint endpoint, Instant now, Instant openAt);

    /// Sets the share: a decrease applies at once, an increase after \a delay, when the former owner has stopped.
    void setShare(const Share& share, Instant now, Duration delay, AdmissionActions& actions);
    void setEndpoint(Endpoint endpoint) { m_endpoint = std::move(endpoint); }
    /// Queues, sends or refuses a sub-query.
    void submit(PendingSubQuery subQuery, const WarmthHint& hint, Instant now, AdmissionActions& actions);
    /// Handles the result of an exchange.
    void handleResult(const ExchangeResult& result, Instant now, AdmissionActions& actions);
    /// Removes \a attempt if it is queued; otherwise requests that the target stops running it, if the share has more connections than slots.
    void cancel(const AttemptId& attempt, AdmissionActions& actions);
    /// Refuses queued sub-queries whose deadline has passed and sends as many others as the limit allows.
    void tick(Instant now, AdmissionActions& actions);
    /// Refuses all queued sub-queries.
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
    /// \returns the number of slots that ordinary sub-queries leave free for urgent ones
    std::uint32_t reservedSlots() const;
    void recordUrgency(Urgency urgency);
    /// \returns whether \a subQuery would complete by its deadline if it were queued now, at the average service time
    bool canMeetDeadline(const PendingSubQuery& subQuery, Instant now) const;
    void applyPendingShare(Instant now);
    void endQuarantines(Instant now);
    void sendWaiting(Instant now, AdmissionActions& actions);
    void dispatch(PendingSubQuery subQuery, Instant now, AdmissionActions& actions);
    void refuse(const PendingSubQuery& subQuery, NotRunReason reason, AdmissionActions& actions);
    void finish(const PendingSubQuery& subQuery, SubReply reply, AdmissionActions& actions);
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
    double m_urgentFraction = 0; ///< Moving average of the fraction of urgent sub-queries among those sent.
    std::uint32_t m_knownConnections = 0; ///< Connections that are assumed to be open.
};

} // namespace pimentopoint
