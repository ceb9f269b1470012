#include "TargetAdmission.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Service time assumed before the first reply.
    constexpr Duration unknownServiceTime = std::chrono::milliseconds(1);
    /// Time after its deadline by which a target has stopped.
    constexpr Duration deadlineSlack = std::chrono::milliseconds(20);
    /// Shortest time without a reply that is taken for a silent connection.
    constexpr Duration shortestSilence = std::chrono::milliseconds(100);
    /// A connection is silent after so many usual service times.
    constexpr int silenceFactor = 10;
    /// Slots that urgent work must use on average for one to be kept free for it.
    constexpr double leastReserveUse = 0.5;
    /// Weight of the latest sub-query in the share of urgent ones.
    constexpr double urgentShareWeight = 1.0 / 64;
    /// Most sub-queries that wait for one target.
    constexpr std::size_t maxWaiting = 4096;

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

void TargetAdmission::setShare(const Share& share, Instant now, Duration settle, AdmissionActions& actions)
{
    if (share == m_share) {
        m_pendingShare.reset();
        return;
    }
    if (m_pendingShare && *m_pendingShare == share)
        return;
    // What is part of a gain that waits already goes on waiting from then.
    bool partOfPending = m_pendingShare && smaller(*m_pendingShare, share) == share;
    m_share = smaller(m_share, share);
    m_pendingShare = share;
    if (!partOfPending)
        m_pendingShareAt = std::max(now + settle, m_openAt);
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
    // Each exchange that ended well allows one connection more, so that connections open one after the other.
    return std::min(m_ramp.limit(m_share), m_knownConnections + 1);
}

std::uint32_t TargetAdmission::reservedSlots() const
{
    // A slot kept free that urgent work would not fill half of the time costs more than it gives.
    bool worthwhile = limit() > 1 && m_urgentFraction * limit() >= leastReserveUse;
    return worthwhile ? 1 : 0;
}

void TargetAdmission::recordUrgency(Urgency urgency)
{
    m_urgentFraction += ((urgency == Urgency::Urgent ? 1 : 0) - m_urgentFraction) * urgentShareWeight;
}

bool TargetAdmission::canMeetDeadline(const PendingSubQuery& work, Instant now) const
{
    std::uint32_t kept = work.context->urgency == Urgency::Urgent ? 0 : reservedSlots();
    std::uint32_t reachable = std::max(limit() - kept, 1U);
    Duration serviceTime = std::max(m_ramp.serviceTime(), unknownServiceTime);
    std::size_t ahead = m_queue.queuedAhead(work.context->urgency) + outstanding();
    auto rounds = static_cast<Duration::rep>(ahead / reachable);
    return now + serviceTime * (rounds + 1) <= work.deadline;
}

void TargetAdmission::submit(PendingSubQuery work, const WarmthHint& hint, Instant now, AdmissionActions& actions)
{
    applyPendingShare(now);
    endQuarantines(now);
    m_ramp.applyHint(hint);
    if (work.deadline <= now)
        return refuse(work, NotRunReason::Deadline, actions);
    if (m_share.empty())
        return refuse(work, now < m_openAt || m_pendingShare ? NotRunReason::Starting : NotRunReason::NotOwner, actions);
    if (m_queue.size() >= maxWaiting || !canMeetDeadline(work, now))
        return refuse(work, NotRunReason::Shed, actions);
    m_queue.push(std::move(work));
    sendWaiting(now, actions);
}

void TargetAdmission::sendWaiting(Instant now, AdmissionActions& actions)
{
    while (outstanding() + (m_queue.hasUrgent() ? 0 : reservedSlots()) < limit()) {
        auto work = m_queue.pop();
        if (!work)
            return;
        // What cannot be done in time is not begun.
        if (work->deadline <= now || work->deadline < now + m_ramp.serviceTime())
            refuse(*work, NotRunReason::Deadline, actions);
        else
            dispatch(std::move(*work), now, actions);
    }
}

void TargetAdmission::dispatch(PendingSubQuery work, Instant now, AdmissionActions& actions)
{
    recordUrgency(work.context->urgency);
    Duration remaining = work.deadline - now;
    bool mayGiveUpEarly = work.context->idempotent && m_ramp.state() == WarmupRamp::State::Warm;
    Duration silence = std::max(shortestSilence, m_ramp.serviceTime() * silenceFactor);
    Dispatch order { work.attempt, m_target, m_endpoint, work.range, work.context->snapshot, remaining,
        mayGiveUpEarly ? std::min(silence, remaining) : remaining, work.context->text };
    actions.dispatches.push_back(std::move(order));
    AttemptId attempt = work.attempt;
    m_inFlight.emplace(attempt, InFlight { std::move(work), now });
}

void TargetAdmission::refuse(const PendingSubQuery& work, NotRunReason reason, AdmissionActions& actions)
{
    SubReply reply;
    reply.outcome = Outcome::NotRun;
    reply.notRunReason = reason;
    finish(work, std::move(reply), actions);
}

void TargetAdmission::finish(const PendingSubQuery& work, SubReply reply, AdmissionActions& actions)
{
    reply.attempt = work.attempt.number();
    reply.queued = static_cast<std::uint32_t>(m_queue.queuedAhead(work.context->urgency) + outstanding());
    reply.cold = m_ramp.state() == WarmupRamp::State::Cold;
    reply.warmth = m_ramp.warmth();
    actions.replies.push_back({ work.attempt, std::move(reply) });
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
    bool connectionGood = result.outcome == ExchangeOutcome::Replied || result.outcome == ExchangeOutcome::RefusedShed || result.outcome == ExchangeOutcome::RefusedSnapshot
        || result.outcome == ExchangeOutcome::RefusedLeaving;
    if (connectionGood)
        m_knownConnections = std::min(m_knownConnections + 1, m_share.slots());
    switch (result.outcome) {
    case ExchangeOutcome::Replied:
        // A cancelled request may end early, which tells nothing of the usual service time.
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
    // A deadline that passed within the usual time is no sign of trouble at the target.
    bool expected = result.outcome == ExchangeOutcome::TimedOut && m_ramp.isNormal(now - exchange.sentAt);
    if (!expected)
        m_ramp.handleConnectionLost(exchange.sentAt, now);
    // The target may work on it until the deadline that it was given.
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
    for (const PendingSubQuery& work : m_queue.removeExpired(now))
        refuse(work, NotRunReason::Deadline, actions);
    sendWaiting(now, actions);
}

void TargetAdmission::refuseWaiting(NotRunReason reason, AdmissionActions& actions)
{
    for (const PendingSubQuery& work : m_queue.removeAll())
        refuse(work, reason, actions);
}

} // namespace pimentopoint
