#include "TargetAdmission.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Service time assumed before the first reply.
    constexpr Duration initialServiceTime = std::chrono::milliseconds(1);
    /// Time after the deadline of a request by which the target has stopped running it.
    constexpr Duration deadlineSlack = std::chrono::milliseconds(20);
    /// Minimum time without a reply after which a connection is assumed to be unresponsive.
    constexpr Duration minReplyTimeout = std::chrono::milliseconds(100);
    /// A connection is assumed to be unresponsive after this multiple of the average service time.
    constexpr int replyTimeoutFactor = 10;
    /// Average number of slots that urgent sub-queries must use for one to be kept free for them.
    constexpr double minReserveUse = 0.5;
    /// Weight of the latest sub-query in the moving average of the fraction of urgent ones.
    constexpr double urgentFractionWeight = 1.0 / 64;
    /// Maximum number of sub-queries queued for one target.
    constexpr std::size_t maxQueued = 4096;

    Share smaller(const Share& a, const Share& b)
    {
        return { std::min(a.slots(), b.slots()), std::min(a.coldLimit(), b.coldLimit()), std::min(a.connections(), b.connections()) };
    }

} // namespace

TargetAdmission::TargetAdmission(TargetId target, Endpoint endpoint, Instant now, Instant openAt)
    : m_target(target)
    , m_endpoint(std::move(endpoint))
    , m_openAt(openAt)
    , m_ramp(now)
{
}

void TargetAdmission::setShare(const Share& share, Instant now, Duration delay, AdmissionActions& actions)
{
    if (share == m_share) {
        m_pendingShare.reset();
        return;
    }
    if (m_pendingShare && *m_pendingShare == share)
        return;
    // A share within an increase that is already pending keeps the time at which that increase applies.
    bool withinPending = m_pendingShare && smaller(*m_pendingShare, share) == share;
    m_share = smaller(m_share, share);
    m_pendingShare = share;
    if (!withinPending)
        m_pendingShareAt = std::max(now + delay, m_openAt);
    if (share.empty())
        refuseWaiting(NotRunReason::NotOwner, actions);
}

void TargetAdmission::applyPendingShare(Instant now)
{
    if (!m_pendingShare || now < m_pendingShareAt)
        return;
    m_share = *m_pendingShare;
    m_pendingShare.reset();
}

void TargetAdmission::endQuarantines(Instant now)
{
    std::erase_if(m_quarantine, [&](Instant end) { return end <= now; });
}

std::uint32_t TargetAdmission::limit() const
{
    // Each exchange that leaves its connection usable allows one more connection, so that connections are opened one after the other.
    return std::min(m_ramp.limit(m_share), m_knownConnections + 1);
}

std::uint32_t TargetAdmission::reservedSlots() const
{
    // Keeping a slot free that urgent sub-queries would use less than half of the time costs more than it gains.
    bool worthwhile = limit() > 1 && m_urgentFraction * limit() >= minReserveUse;
    return worthwhile ? 1 : 0;
}

void TargetAdmission::recordUrgency(Urgency urgency)
{
    m_urgentFraction += ((urgency == Urgency::Urgent ? 1 : 0) - m_urgentFraction) * urgentFractionWeight;
}

bool TargetAdmission::canMeetDeadline(const PendingSubQuery& subQuery, Instant now) const
{
    std::uint32_t reserved = subQuery.context->urgency == Urgency::Urgent ? 0 : reservedSlots();
    std::uint32_t usable = std::max(limit() - reserved, 1U);
    Duration serviceTime = std::max(m_ramp.serviceTime(), initialServiceTime);
    std::size_t ahead = m_queue.queuedAhead(subQuery.context->urgency) + outstanding();
    auto rounds = static_cast<Duration::rep>(ahead / usable);
    return now + serviceTime * (rounds + 1) <= subQuery.deadline;
}

void TargetAdmission::submit(PendingSubQuery subQuery, const WarmthHint& hint, Instant now, AdmissionActions& actions)
{
    applyPendingShare(now);
    endQuarantines(now);
    m_ramp.applyHint(hint);
    if (subQuery.deadline <= now)
        return refuse(subQuery, NotRunReason::Deadline, actions);
    if (m_share.empty())
        return refuse(subQuery, now < m_openAt || m_pendingShare ? NotRunReason::Starting : NotRunReason::NotOwner, actions);
    if (m_queue.size() >= maxQueued || !canMeetDeadline(subQuery, now))
        return refuse(subQuery, NotRunReason::Shed, actions);
    m_queue.push(std::move(subQuery));
    sendWaiting(now, actions);
}

void TargetAdmission::sendWaiting(Instant now, AdmissionActions& actions)
{
    while (outstanding() + (m_queue.hasUrgent() ? 0 : reservedSlots()) < limit()) {
        auto subQuery = m_queue.pop();
        if (!subQuery)
            return;
        // A sub-query that can't be completed before its deadline is not sent.
        if (subQuery->deadline <= now || subQuery->deadline < now + m_ramp.serviceTime())
            refuse(*subQuery, NotRunReason::Deadline, actions);
        else
            dispatch(std::move(*subQuery), now, actions);
    }
}

void TargetAdmission::dispatch(PendingSubQuery subQuery, Instant now, AdmissionActions& actions)
{
    recordUrgency(subQuery.context->urgency);
    Duration remaining = subQuery.deadline - now;
    bool closeEarly = subQuery.context->idempotent && m_ramp.state() == WarmupRamp::State::Warm;
    Duration replyTimeout = std::max(minReplyTimeout, m_ramp.serviceTime() * replyTimeoutFactor);
    Dispatch request { subQuery.attempt, m_target, m_endpoint, subQuery.range, subQuery.context->snapshot, remaining,
        closeEarly ? std::min(replyTimeout, remaining) : remaining, subQuery.context->text };
    actions.dispatches.push_back(std::move(request));
    AttemptId attempt = subQuery.attempt;
    m_inFlight.emplace(attempt, InFlight { std::move(subQuery), now });
}

void TargetAdmission::refuse(const PendingSubQuery& subQuery, NotRunReason reason, AdmissionActions& actions)
{
    SubReply reply;
    reply.outcome = Outcome::NotRun;
    reply.notRunReason = reason;
    finish(subQuery, std::move(reply), actions);
}

void TargetAdmission::finish(const PendingSubQuery& subQuery, SubReply reply, AdmissionActions& actions)
{
    reply.attempt = subQuery.attempt.number();
    reply.queued = static_cast<std::uint32_t>(m_queue.queuedAhead(subQuery.context->urgency) + outstanding());
    reply.cold = m_ramp.state() == WarmupRamp::State::Cold;
    reply.warmth = m_ramp.warmth();
    actions.replies.push_back({ subQuery.attempt, std::move(reply) });
}

SubReply TargetAdmission::replyFor(const ExchangeResult& result)
{
    SubReply reply;
    reply.reachedTarget = result.outcome != ExchangeOutcome::NotConnected;
    switch (result.outcome) {
    case ExchangeOutcome::Replied:
        reply.outcome = Outcome::Answered;
        reply.snapshot = result.reply.snapshot;
        reply.covered = result.reply.covered;
        reply.hits = result.reply.hits;
        break;
    case ExchangeOutcome::RefusedShed:
        reply.notRunReason = NotRunReason::Shed;
        break;
    case ExchangeOutcome::RefusedSnapshot:
        reply.notRunReason = NotRunReason::SnapshotGone;
        break;
    case ExchangeOutcome::RefusedLeaving:
        reply.notRunReason = NotRunReason::Leaving;
        break;
    case ExchangeOutcome::NotConnected:
        reply.notRunReason = NotRunReason::Unreachable;
        break;
    case ExchangeOutcome::ConnectionLost:
        reply.outcome = Outcome::Unknown;
        reply.unknownReason = UnknownReason::ConnectionLost;
        break;
    case ExchangeOutcome::TimedOut:
        reply.outcome = Outcome::Unknown;
        reply.unknownReason = UnknownReason::Deadline;
        break;
    case ExchangeOutcome::InvalidReply:
        reply.outcome = Outcome::Unknown;
        reply.unknownReason = UnknownReason::InvalidReply;
        break;
    }
    return reply;
}

void TargetAdmission::recordOutcome(const ExchangeResult& result, const InFlight& exchange, Instant now)
{
    bool connectionUsable = result.outcome == ExchangeOutcome::Replied || result.outcome == ExchangeOutcome::RefusedShed || result.outcome == ExchangeOutcome::RefusedSnapshot
        || result.outcome == ExchangeOutcome::RefusedLeaving;
    if (connectionUsable)
        m_knownConnections = std::min(m_knownConnections + 1, m_share.slots());
    switch (result.outcome) {
    case ExchangeOutcome::Replied:
        // A cancelled request may end early, so its duration is not a measure of the service time.
        if (!exchange.cancelled)
            m_ramp.handleReply(result.reply.incarnation, now - exchange.sentAt, m_share, exchange.sentAt, now);
        return;
    case ExchangeOutcome::RefusedShed:
        m_ramp.handleShed(exchange.sentAt, now);
        return;
    case ExchangeOutcome::RefusedSnapshot:
    case ExchangeOutcome::RefusedLeaving:
        return;
    case ExchangeOutcome::NotConnected:
        m_knownConnections = 0;
        m_ramp.handleConnectionLost(exchange.sentAt, now);
        return;
    case ExchangeOutcome::ConnectionLost:
    case ExchangeOutcome::TimedOut:
    case ExchangeOutcome::InvalidReply:
        break;
    }
    if (m_knownConnections)
        --m_knownConnections;
    // A deadline that passed within a normal service time does not indicate a failure of the target.
    bool normal = result.outcome == ExchangeOutcome::TimedOut && m_ramp.isNormal(now - exchange.sentAt);
    if (!normal)
        m_ramp.handleConnectionLost(exchange.sentAt, now);
    // The target may run the request until the deadline that it was given.
    m_quarantine.push_back(std::max(now, exchange.subQuery.deadline) + deadlineSlack);
}

void TargetAdmission::handleResult(const ExchangeResult& result, Instant now, AdmissionActions& actions)
{
    auto found = m_inFlight.find(result.attempt);
    if (found == m_inFlight.end())
        return;
    InFlight exchange = std::move(found->second);
    m_inFlight.erase(found);
    recordOutcome(result, exchange, now);
    if (!exchange.cancelled)
        finish(exchange.subQuery, replyFor(result), actions);
    applyPendingShare(now);
    endQuarantines(now);
    sendWaiting(now, actions);
}

void TargetAdmission::cancel(const AttemptId& attempt, AdmissionActions& actions)
{
    if (m_queue.remove(attempt))
        return;
    auto found = m_inFlight.find(attempt);
    if (found == m_inFlight.end() || found->second.cancelled)
        return;
    found->second.cancelled = true;
    if (m_share.connections() > m_share.slots())
        actions.cancels.push_back(attempt);
}

void TargetAdmission::tick(Instant now, AdmissionActions& actions)
{
    applyPendingShare(now);
    endQuarantines(now);
    for (const PendingSubQuery& subQuery : m_queue.removeExpired(now))
        refuse(subQuery, NotRunReason::Deadline, actions);
    sendWaiting(now, actions);
}

void TargetAdmission::refuseWaiting(NotRunReason reason, AdmissionActions& actions)
{
    for (const PendingSubQuery& subQuery : m_queue.removeAll())
        refuse(subQuery, reason, actions);
}

} // namespace pimentopoint
