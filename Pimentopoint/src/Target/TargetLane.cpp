#include "TargetLane.h"

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

TargetLane::TargetLane(TargetId target, Endpoint endpoint, Instant now, Instant openAt)
    : m_target(target)
    , m_endpoint(std::move(endpoint))
    , m_openAt(openAt)
    , m_ramp(now)
{
}

void TargetLane::setShare(const Share& share, Instant now, Duration settle, LaneActions& actions)
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

void TargetLane::applyPendingShare(Instant now)
{
    if (!m_pendingShare || now < m_pendingShareAt)
        return;
    m_share = *m_pendingShare;
    m_pendingShare.reset();
}

void TargetLane::endQuarantines(Instant now)
{
    std::erase_if(m_quarantine, [&](Instant end) { return end <= now; });
}

std::uint32_t TargetLane::limit() const
{
    // Each exchange that ended well allows one connection more, so that connections open one after the other.
    return std::min(m_ramp.limit(m_share), m_connections + 1);
}

std::uint32_t TargetLane::reserve() const
{
    // A slot kept free that urgent work would not fill half of the time costs more than it gives.
    bool worthwhile = limit() > 1 && m_urgentShare * limit() >= leastReserveUse;
    return worthwhile ? 1 : 0;
}

void TargetLane::noteUrgency(Urgency urgency)
{
    m_urgentShare += ((urgency == Urgency::Urgent ? 1 : 0) - m_urgentShare) * urgentShareWeight;
}

bool TargetLane::meetsDeadline(const Work& work, Instant now) const
{
    std::uint32_t kept = work.context->urgency == Urgency::Urgent ? 0 : reserve();
    std::uint32_t reachable = std::max(limit() - kept, 1U);
    Duration serviceTime = std::max(m_ramp.serviceTime(), unknownServiceTime);
    std::size_t ahead = m_queue.ahead(work.context->urgency) + atWork();
    auto rounds = static_cast<Duration::rep>(ahead / reachable);
    return now + serviceTime * (rounds + 1) <= work.deadline;
}

void TargetLane::submit(Work work, const WarmthHint& hint, Instant now, LaneActions& actions)
{
    applyPendingShare(now);
    endQuarantines(now);
    m_ramp.hint(hint);
    if (work.deadline <= now)
        return refuse(work, NotRunReason::Deadline, actions);
    if (m_share.empty())
        return refuse(work, now < m_openAt || m_pendingShare ? NotRunReason::Starting : NotRunReason::NotOwner, actions);
    if (m_queue.size() >= maxWaiting || !meetsDeadline(work, now))
        return refuse(work, NotRunReason::Shed, actions);
    m_queue.push(std::move(work));
    sendWaiting(now, actions);
}

void TargetLane::sendWaiting(Instant now, LaneActions& actions)
{
    while (atWork() + (m_queue.urgentWaits() ? 0 : reserve()) < limit()) {
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

void TargetLane::dispatch(Work work, Instant now, LaneActions& actions)
{
    noteUrgency(work.context->urgency);
    Duration remaining = work.deadline - now;
    bool mayGiveUpEarly = work.context->repeatable && m_ramp.state() == ColdRamp::State::Warm;
    Duration silence = std::max(shortestSilence, m_ramp.serviceTime() * silenceFactor);
    Dispatch order { work.attempt, m_target, m_endpoint, work.range, work.context->snapshot, remaining,
        mayGiveUpEarly ? std::min(silence, remaining) : remaining, work.context->text };
    actions.dispatches.push_back(std::move(order));
    AttemptId attempt = work.attempt;
    m_inFlight.emplace(attempt, InFlight { std::move(work), now });
}

void TargetLane::refuse(const Work& work, NotRunReason reason, LaneActions& actions)
{
    SubReply reply;
    reply.outcome = Outcome::NotRun;
    reply.notRun = reason;
    finish(work, std::move(reply), actions);
}

void TargetLane::finish(const Work& work, SubReply reply, LaneActions& actions)
{
    reply.attempt = work.attempt.number();
    reply.queued = static_cast<std::uint32_t>(m_queue.ahead(work.context->urgency) + atWork());
    reply.cold = m_ramp.state() == ColdRamp::State::Cold;
    reply.warmth = m_ramp.warmth();
    actions.finished.push_back({ work.attempt, std::move(reply) });
}

SubReply TargetLane::replyFor(const ExchangeResult& result)
{
    SubReply reply;
    reply.reachedTarget = result.end != ExchangeEnd::NotConnected;
    switch (result.end) {
    case ExchangeEnd::Replied:
        reply.outcome = Outcome::Answered;
        reply.snapshot = result.reply.snapshot;
        reply.covered = result.reply.covered;
        reply.hits = result.reply.hits;
        break;
    case ExchangeEnd::RefusedShed:
        reply.notRun = NotRunReason::Shed;
        break;
    case ExchangeEnd::RefusedSnapshot:
        reply.notRun = NotRunReason::SnapshotGone;
        break;
    case ExchangeEnd::RefusedLeaving:
        reply.notRun = NotRunReason::Leaving;
        break;
    case ExchangeEnd::NotConnected:
        reply.notRun = NotRunReason::Unreachable;
        break;
    case ExchangeEnd::ConnectionLost:
        reply.outcome = Outcome::Unknown;
        reply.unknown = UnknownReason::ConnectionLost;
        break;
    case ExchangeEnd::TimedOut:
        reply.outcome = Outcome::Unknown;
        reply.unknown = UnknownReason::Deadline;
        break;
    case ExchangeEnd::InvalidReply:
        reply.outcome = Outcome::Unknown;
        reply.unknown = UnknownReason::InvalidReply;
        break;
    }
    return reply;
}

void TargetLane::noteEnd(const ExchangeResult& result, const InFlight& exchange, Instant now)
{
    bool connectionGood = result.end == ExchangeEnd::Replied || result.end == ExchangeEnd::RefusedShed || result.end == ExchangeEnd::RefusedSnapshot
        || result.end == ExchangeEnd::RefusedLeaving;
    if (connectionGood)
        m_connections = std::min(m_connections + 1, m_share.slots());
    switch (result.end) {
    case ExchangeEnd::Replied:
        // A cancelled request may end early, which tells nothing of the usual service time.
        if (!exchange.abandoned)
            m_ramp.replied(result.reply.incarnation, now - exchange.sentAt, m_share, exchange.sentAt, now);
        return;
    case ExchangeEnd::RefusedShed:
        m_ramp.shed(exchange.sentAt, now);
        return;
    case ExchangeEnd::RefusedSnapshot:
    case ExchangeEnd::RefusedLeaving:
        return;
    case ExchangeEnd::NotConnected:
        m_connections = 0;
        m_ramp.connectionLost(exchange.sentAt, now);
        return;
    case ExchangeEnd::ConnectionLost:
    case ExchangeEnd::TimedOut:
    case ExchangeEnd::InvalidReply:
        break;
    }
    if (m_connections)
        --m_connections;
    // A deadline that passed within the usual time is no sign of trouble at the target.
    bool expected = result.end == ExchangeEnd::TimedOut && m_ramp.usual(now - exchange.sentAt);
    if (!expected)
        m_ramp.connectionLost(exchange.sentAt, now);
    // The target may work on it until the deadline that it was given.
    m_quarantine.push_back(std::max(now, exchange.work.deadline) + deadlineSlack);
}

void TargetLane::complete(const ExchangeResult& result, Instant now, LaneActions& actions)
{
    auto found = m_inFlight.find(result.attempt);
    if (found == m_inFlight.end())
        return;
    InFlight exchange = std::move(found->second);
    m_inFlight.erase(found);
    noteEnd(result, exchange, now);
    if (!exchange.abandoned)
        finish(exchange.work, replyFor(result), actions);
    applyPendingShare(now);
    endQuarantines(now);
    sendWaiting(now, actions);
}

void TargetLane::cancel(const AttemptId& attempt, LaneActions& actions)
{
    if (m_queue.remove(attempt))
        return;
    auto found = m_inFlight.find(attempt);
    if (found == m_inFlight.end() || found->second.abandoned)
        return;
    found->second.abandoned = true;
    if (m_share.connections() > m_share.slots())
        actions.cancels.push_back(attempt);
}

void TargetLane::tick(Instant now, LaneActions& actions)
{
    applyPendingShare(now);
    endQuarantines(now);
    for (const Work& work : m_queue.removeExpired(now))
        refuse(work, NotRunReason::Deadline, actions);
    sendWaiting(now, actions);
}

void TargetLane::refuseWaiting(NotRunReason reason, LaneActions& actions)
{
    for (const Work& work : m_queue.removeAll())
        refuse(work, reason, actions);
}

} // namespace pimentopoint
