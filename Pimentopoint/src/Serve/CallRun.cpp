#include "CallRun.h"

#include "TopRecords.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time before a caller's deadline or a route's timeout at which the answer leaves; covers the way to the caller.
    constexpr Duration answerMargin = std::chrono::milliseconds(15);
    /// Time before the objective at which a fan-out with enough shards is answered: the way from and to the caller, twice for a
    /// new connection, and a part for what a busy host takes to merge and send.
    constexpr Duration objectiveMargin = std::chrono::milliseconds(8);
    constexpr double objectiveMarginPart = 0.1;
    /// Part of the objective after which a call none of whose parts found a connection is refused: later the caller can't be served in time by
    /// another try. Once a part was sent there is nothing to refuse, and the others wait as long as their answer may still count.
    constexpr double mostWaiting = 0.25;
    /// When room is expected after a refusal: connections come free within a few service times.
    constexpr Duration roomAfter = std::chrono::milliseconds(30);
    /// A host that has begun its parts is given up after the larger of these: it answers by the objective if it can, and the rest of the
    /// caller's patience is left for another try.
    constexpr double delegateObjectives = 1.5;
    constexpr double delegatePatience = 0.85;
    constexpr unsigned noTargetStatus = 503;
    constexpr unsigned brokenStatus = 502;
    constexpr unsigned lateStatus = 504;

    bool success(unsigned status) { return status >= 200 && status < 300; }

    /// \returns whether another target may well answer what \a reply, no success, did not: statuses that speak of the target, not of the request
    bool worthRepeating(const TargetReply& reply)
    {
        constexpr unsigned requestTimeout = 408;
        constexpr unsigned tooMany = 429;
        constexpr unsigned firstServerError = 500;
        return reply.notRun || reply.status >= firstServerError || reply.status == requestTimeout || reply.status == tooMany;
    }

} // namespace

CallRun::CallRun(std::shared_ptr<const CallerRequest> request, RoutingTablePointer routing, const RoutePolicy& route, std::vector<ServiceName> services, Duration late, Instant now)
    : m_request(std::move(request))
    , m_routing(std::move(routing))
    , m_route(&route)
    , m_startedAt(now)
    , m_deadline(m_request->arrivedAt + std::min(m_request->patience, route.timeout))
    , m_late(late)
{
    m_parts.resize(services.size());
    for (std::size_t i = 0; i < services.size(); ++i)
        m_parts[i].service = std::move(services[i]);
}

void CallRun::begin(CallEnvironment& environment, Instant now)
{
    bool shardsGiven = m_request->delegation && !m_request->delegation->shards.empty();
    if (m_route->fansOut() && !shardsGiven)
        m_delegated = environment.delegate(now);
    auto runsHere = [this](std::size_t part) { return !m_delegated || std::find(m_delegated->parts.begin(), m_delegated->parts.end(), part) == m_delegated->parts.end(); };
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        if (runsHere(i))
            trySend(environment, i, false, now);
    }
    settle(environment, now);
}

void CallRun::trySend(CallEnvironment& environment, std::size_t index, bool extra, Instant now)
{
    CallPart& part = m_parts[index];
    part.waiting = false;
    m_wakeChanged = true;
    switch (environment.send(index, extra, now)) {
    case CallEnvironment::Obstacle::None:
        part.sentAt = now;
        m_extraSends += extra;
        return;
    case CallEnvironment::Obstacle::Busy:
        part.waiting = part.outstanding.empty();
        return;
    case CallEnvironment::Obstacle::Absent:
    case CallEnvironment::Obstacle::NoBudget:
        if (part.outstanding.empty())
            fail(part);
        return;
    }
}

void CallRun::fail(CallPart& part)
{
    if (part.failed)
        return;
    part.failed = true;
    part.waiting = false;
    ++m_failedParts;
}

void CallRun::retry(CallEnvironment& environment, std::size_t index, Instant now)
{
    CallPart& part = m_parts[index];
    if (!part.outstanding.empty())
        return;
    bool mayRun = m_route->repeatable || !part.mayHaveRun;
    if (mayRun && mayRepeat(part))
        trySend(environment, index, part.arrivals > 0, now);
    else
        fail(part);
}

void CallRun::replied(CallEnvironment& environment, std::size_t index, SendId send, TargetReply reply, Instant now)
{
    CallPart& part = m_parts[index];
    std::erase(part.outstanding, send);
    if (m_finished || part.done || part.failed)
        return;
    if (reply.end == TargetReply::End::NotSent) {
        --part.arrivals;
        retry(environment, index, now);
    } else if (reply.end == TargetReply::End::Answered && !reply.notRun && success(reply.status)) {
        part.done = true;
        part.reply = std::move(reply);
        m_wakeChanged = m_wakeChanged || enough(m_doneParts + 1) != enough(m_doneParts);
        ++m_doneParts;
        for (SendId other : part.outstanding)
            environment.release(other, false, now);
        part.outstanding.clear();
    } else {
        part.mayHaveRun = part.mayHaveRun || !reply.notRun;
        part.reply = std::move(reply);
        if (part.reply.end == TargetReply::End::Answered && !worthRepeating(part.reply))
            fail(part);
        else
            retry(environment, index, now);
    }
    settle(environment, now);
}

void CallRun::resume(CallEnvironment& environment, std::size_t index, Instant now)
{
    if (m_finished || !m_parts[index].waiting)
        return;
    trySend(environment, index, m_parts[index].arrivals > 0, now);
    settle(environment, now);
}

void CallRun::failDelegated()
{
    for (std::size_t index : m_delegated->parts) {
        m_parts[index].mayHaveRun = true;
        fail(m_parts[index]);
    }
    m_delegated.reset();
}

void CallRun::delegateAcknowledged(Instant now)
{
    if (!m_delegated || now >= m_delegated->dueAt)
        return;
    m_delegated->begun = true;
    m_wakeChanged = true;
}

void CallRun::delegateEnded(CallEnvironment& environment, TargetReply reply, Instant now)
{
    if (m_finished || !m_delegated)
        return;
    m_wakeChanged = true;
    if (reply.end == TargetReply::End::NotSent || reply.notRun) {
        auto group = *std::exchange(m_delegated, std::nullopt);
        for (std::size_t index : group.parts)
            trySend(environment, index, false, now);
    } else if (reply.end == TargetReply::End::Answered && success(reply.status) && reply.missingParts < m_delegated->parts.size()) {
        // Which of them are missing is not known here; none counts as certainly not run.
        for (std::size_t index : m_delegated->parts)
            m_parts[index].mayHaveRun = true;
        m_doneParts += m_delegated->parts.size() - reply.missingParts;
        m_failedParts += reply.missingParts;
        m_groupReply = std::move(reply);
        m_delegated.reset();
    } else {
        failDelegated();
    }
    settle(environment, now);
}

bool CallRun::mayHedge(const CallPart& part) const
{
    return m_route->repeatable && !part.done && !part.failed && part.outstanding.size() == 1 && mayRepeat(part);
}

void CallRun::hedge(CallEnvironment& environment, Instant now)
{
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        CallPart& part = m_parts[i];
        if (!mayHedge(part) || now < part.sentAt + m_late)
            continue;
        Instant firstSentAt = part.sentAt;
        trySend(environment, i, true, now);
        // Without a target or credit the part goes on waiting; it is looked at again after another such time.
        if (part.sentAt == firstSentAt)
            part.sentAt = now;
    }
}

void CallRun::timer(CallEnvironment& environment, Instant now)
{
    if (m_finished)
        return;
    if (now >= m_deadline - answerMargin) {
        m_gaveUp = "no answer before the deadline";
        finish(environment, now);
        return;
    }
    if (m_delegated && now >= delegateEnd()) {
        environment.release(m_delegated->send, !m_delegated->begun, now);
        failDelegated();
    }
    for (CallPart& part : m_parts) {
        if (part.waiting && now >= waitEnd())
            fail(part);
    }
    hedge(environment, now);
    m_wakeChanged = true;
    settle(environment, now);
}

void CallRun::expire(CallEnvironment& environment, Instant now)
{
    if (!m_finished) {
        m_gaveUp = "the process stops";
        finish(environment, now);
    }
}

bool CallRun::enough(std::size_t parts) const
{
    // Another host may have asked for some of the shards only; those that it has itself count as in.
    std::size_t all = std::max(m_parts.size(), m_route->shards.size());
    std::size_t missing = m_parts.size() - parts;
    return parts > 0 && Fraction(static_cast<double>(all - missing) / static_cast<double>(all)).reaches(m_route->minCoverage);
}

Instant CallRun::answerBy() const
{
    Duration spent = m_request->delegation ? m_request->delegation->spent : Duration(0);
    return m_request->arrivedAt + scaled(m_route->objective, 1 - objectiveMarginPart) - objectiveMargin - spent;
}

Instant CallRun::delegateEnd() const
{
    if (!m_delegated->begun)
        return m_delegated->dueAt;
    return m_startedAt + std::max(scaled(m_route->objective, delegateObjectives), scaled(m_request->patience, delegatePatience));
}

Instant CallRun::waitEnd() const
{
    bool anySent = m_delegated || std::any_of(m_parts.begin(), m_parts.end(), [](const CallPart& part) { return part.arrivals > 0 || part.mayHaveRun; });
    if (anySent)
        return m_deadline;
    return m_startedAt + scaled(m_route->objective, mostWaiting);
}

void CallRun::settle(CallEnvironment& environment, Instant now)
{
    if (m_finished)
        return;
    std::size_t left = m_parts.size() - m_failedParts;
    bool ended = m_doneParts + m_failedParts == m_parts.size();
    if (!m_route->fansOut()) {
        if (ended)
            finish(environment, now);
        return;
    }
    if (ended || !enough(left) || (enough(m_doneParts) && now >= answerBy()))
        finish(environment, now);
}

Instant CallRun::nextWake() const
{
    Instant wake = m_deadline - answerMargin;
    if (m_delegated)
        wake = std::min(wake, delegateEnd());
    for (const CallPart& part : m_parts) {
        if (mayHedge(part))
            wake = std::min(wake, part.sentAt + m_late);
        if (part.waiting)
            wake = std::min(wake, waitEnd());
    }
    if (m_route->fansOut() && enough(m_doneParts))
        wake = std::min(wake, answerBy());
    return wake;
}

void CallRun::finish(CallEnvironment& environment, Instant now)
{
    m_finished = true;
    if (m_delegated) {
        environment.release(m_delegated->send, false, now);
        failDelegated();
    }
    for (CallPart& part : m_parts) {
        for (SendId send : part.outstanding) {
            part.mayHaveRun = true;
            environment.release(send, false, now);
        }
        part.outstanding.clear();
        part.waiting = false;
    }
    if (m_route->fansOut())
        answerFanOut();
    else
        answerSingle();
}

void CallRun::answerSingle()
{
    CallPart& part = m_parts.front();
    bool targetAnswered = part.reply.end == TargetReply::End::Answered && !part.reply.notRun && part.reply.status;
    if (part.done || (targetAnswered && !m_gaveUp)) {
        m_answer.status = part.reply.status;
        m_answer.headers = std::move(part.reply.headers);
        m_answer.body = std::move(part.reply.body);
        m_answer.reason = part.done ? "answered" : "the target failed";
        return;
    }
    answerFailure(m_gaveUp ? m_gaveUp : "no target answered");
}

void CallRun::answerFanOut()
{
    if (!enough(m_doneParts)) {
        answerFailure(m_gaveUp ? m_gaveUp : "too few shards can answer");
        return;
    }
    std::vector<std::string_view> bodies;
    if (!m_groupReply.partStamps.empty()) {
        bodies.push_back(m_groupReply.body);
        m_answer.partStamps = m_groupReply.partStamps;
    }
    for (const CallPart& part : m_parts) {
        if (!part.done)
            continue;
        bodies.push_back(part.reply.body);
        m_answer.partStamps += (m_answer.partStamps.empty() ? "" : ", ") + part.reply.stamp;
    }
    m_answer.status = 200;
    m_answer.fannedOut = true;
    m_answer.missingParts = static_cast<unsigned>(m_parts.size() - m_doneParts);
    m_answer.body = topRecords(bodies, m_route->topRecords);
    m_answer.reason = m_answer.missingParts ? "answered in part" : "answered";
}

void CallRun::answerFailure(const char* reason)
{
    bool mayHaveRun = std::any_of(m_parts.begin(), m_parts.end(), [](const CallPart& part) { return part.done || part.mayHaveRun; });
    m_answer.reason = reason;
    if (!mayHaveRun) {
        m_answer.status = noTargetStatus;
        m_answer.retryAfter = roomAfter;
    } else {
        m_answer.status = m_gaveUp ? lateStatus : brokenStatus;
    }
}

} // namespace pimentopoint
