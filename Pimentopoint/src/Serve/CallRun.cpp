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
    , m_deadline(m_request->arrivedAt + std::min(m_request->timeout, route.timeout))
    , m_stragglerThreshold(late)
{
    m_subRequests.resize(services.size());
    for (std::size_t i = 0; i < services.size(); ++i)
        m_subRequests[i].service = std::move(services[i]);
}

void CallRun::begin(CallEnvironment& environment, Instant now)
{
    bool shardsGiven = m_request->delegation && !m_request->delegation->shards.empty();
    if (m_route->isFanOut() && !shardsGiven)
        m_delegated = environment.delegate(now);
    auto runsHere = [this](std::size_t part) { return !m_delegated || std::find(m_delegated->subRequests.begin(), m_delegated->subRequests.end(), part) == m_delegated->subRequests.end(); };
    for (std::size_t i = 0; i < m_subRequests.size(); ++i) {
        if (runsHere(i))
            tryAttempt(environment, i, false, now);
    }
    finishIfDone(environment, now);
}

void CallRun::tryAttempt(CallEnvironment& environment, std::size_t index, bool extra, Instant now)
{
    SubRequest& part = m_subRequests[index];
    part.waiting = false;
    m_wakeupChanged = true;
    switch (environment.startAttempt(index, extra, now)) {
    case CallEnvironment::AttemptResult::Started:
        part.lastSentAt = now;
        m_extraAttempts += extra;
        return;
    case CallEnvironment::AttemptResult::Saturated:
        part.waiting = part.outstanding.empty();
        return;
    case CallEnvironment::AttemptResult::NoTarget:
    case CallEnvironment::AttemptResult::BudgetExhausted:
        if (part.outstanding.empty())
            fail(part);
        return;
    }
}

void CallRun::fail(SubRequest& part)
{
    if (part.failed)
        return;
    part.failed = true;
    part.waiting = false;
    ++m_failedCount;
}

void CallRun::retry(CallEnvironment& environment, std::size_t index, Instant now)
{
    SubRequest& part = m_subRequests[index];
    if (!part.outstanding.empty())
        return;
    bool mayRun = m_route->idempotent || !part.mayHaveRun;
    if (mayRun && hasAttemptsLeft(part))
        tryAttempt(environment, index, part.attemptCount > 0, now);
    else
        fail(part);
}

void CallRun::handleReply(CallEnvironment& environment, std::size_t index, AttemptNumber send, TargetReply reply, Instant now)
{
    SubRequest& part = m_subRequests[index];
    std::erase(part.outstanding, send);
    if (m_finished || part.succeeded || part.failed)
        return;
    if (reply.outcome == TargetReply::ReplyOutcome::NotSent) {
        --part.attemptCount;
        retry(environment, index, now);
    } else if (reply.outcome == TargetReply::ReplyOutcome::Answered && !reply.notRun && success(reply.status)) {
        part.succeeded = true;
        part.reply = std::move(reply);
        m_wakeupChanged = m_wakeupChanged || coverageSuffices(m_succeededCount + 1) != coverageSuffices(m_succeededCount);
        ++m_succeededCount;
        for (AttemptNumber other : part.outstanding)
            environment.release(other, false, now);
        part.outstanding.clear();
    } else {
        part.mayHaveRun = part.mayHaveRun || !reply.notRun;
        part.reply = std::move(reply);
        if (part.reply.outcome == TargetReply::ReplyOutcome::Answered && !worthRepeating(part.reply))
            fail(part);
        else
            retry(environment, index, now);
    }
    finishIfDone(environment, now);
}

void CallRun::handleCapacityAvailable(CallEnvironment& environment, std::size_t index, Instant now)
{
    if (m_finished || !m_subRequests[index].waiting)
        return;
    tryAttempt(environment, index, m_subRequests[index].attemptCount > 0, now);
    finishIfDone(environment, now);
}

void CallRun::failDelegated()
{
    for (std::size_t index : m_delegated->subRequests) {
        m_subRequests[index].mayHaveRun = true;
        fail(m_subRequests[index]);
    }
    m_delegated.reset();
}

void CallRun::handleDelegateAcknowledgement(Instant now)
{
    if (!m_delegated || now >= m_delegated->acknowledgementDeadline)
        return;
    m_delegated->acknowledged = true;
    m_wakeupChanged = true;
}

void CallRun::handleDelegateReply(CallEnvironment& environment, TargetReply reply, Instant now)
{
    if (m_finished || !m_delegated)
        return;
    m_wakeupChanged = true;
    if (reply.outcome == TargetReply::ReplyOutcome::NotSent || reply.notRun) {
        auto group = *std::exchange(m_delegated, std::nullopt);
        for (std::size_t index : group.subRequests)
            tryAttempt(environment, index, false, now);
    } else if (reply.outcome == TargetReply::ReplyOutcome::Answered && success(reply.status) && reply.missingShards < m_delegated->subRequests.size()) {
        // Which of them are missing is not known here; none counts as certainly not run.
        for (std::size_t index : m_delegated->subRequests)
            m_subRequests[index].mayHaveRun = true;
        m_succeededCount += m_delegated->subRequests.size() - reply.missingShards;
        m_failedCount += reply.missingShards;
        m_delegateReply = std::move(reply);
        m_delegated.reset();
    } else {
        failDelegated();
    }
    finishIfDone(environment, now);
}

bool CallRun::mayHedge(const SubRequest& part) const
{
    return m_route->idempotent && !part.succeeded && !part.failed && part.outstanding.size() == 1 && hasAttemptsLeft(part);
}

void CallRun::hedge(CallEnvironment& environment, Instant now)
{
    for (std::size_t i = 0; i < m_subRequests.size(); ++i) {
        SubRequest& part = m_subRequests[i];
        if (!mayHedge(part) || now < part.lastSentAt + m_stragglerThreshold)
            continue;
        Instant firstSentAt = part.lastSentAt;
        tryAttempt(environment, i, true, now);
        // Without a target or credit the part goes on waiting; it is looked at again after another such time.
        if (part.lastSentAt == firstSentAt)
            part.lastSentAt = now;
    }
}

void CallRun::handleTimer(CallEnvironment& environment, Instant now)
{
    if (m_finished)
        return;
    if (now >= m_deadline - answerMargin) {
        m_abortReason = "no answer before the deadline";
        finish(environment, now);
        return;
    }
    if (m_delegated && now >= delegateDeadline()) {
        environment.release(m_delegated->attempt, !m_delegated->acknowledged, now);
        failDelegated();
    }
    for (SubRequest& part : m_subRequests) {
        if (part.waiting && now >= waitDeadline())
            fail(part);
    }
    hedge(environment, now);
    m_wakeupChanged = true;
    finishIfDone(environment, now);
}

void CallRun::handleShutdown(CallEnvironment& environment, Instant now)
{
    if (!m_finished) {
        m_abortReason = "the process stops";
        finish(environment, now);
    }
}

bool CallRun::coverageSuffices(std::size_t parts) const
{
    // Another host may have asked for some of the shards only; those that it has itself count as in.
    std::size_t all = std::max(m_subRequests.size(), m_route->shards.size());
    std::size_t missing = m_subRequests.size() - parts;
    return parts > 0 && Fraction(static_cast<double>(all - missing) / static_cast<double>(all)).reaches(m_route->minCoverage);
}

Instant CallRun::partialAnswerAt() const
{
    Duration spent = m_request->delegation ? m_request->delegation->elapsed : Duration(0);
    return m_request->arrivedAt + scaled(m_route->objective, 1 - objectiveMarginPart) - objectiveMargin - spent;
}

Instant CallRun::delegateDeadline() const
{
    if (!m_delegated->acknowledged)
        return m_delegated->acknowledgementDeadline;
    return m_startedAt + std::max(scaled(m_route->objective, delegateObjectives), scaled(m_request->timeout, delegatePatience));
}

Instant CallRun::waitDeadline() const
{
    bool anySent = m_delegated || std::any_of(m_subRequests.begin(), m_subRequests.end(), [](const SubRequest& part) { return part.attemptCount > 0 || part.mayHaveRun; });
    if (anySent)
        return m_deadline;
    return m_startedAt + scaled(m_route->objective, mostWaiting);
}

void CallRun::finishIfDone(CallEnvironment& environment, Instant now)
{
    if (m_finished)
        return;
    std::size_t left = m_subRequests.size() - m_failedCount;
    bool ended = m_succeededCount + m_failedCount == m_subRequests.size();
    if (!m_route->isFanOut()) {
        if (ended)
            finish(environment, now);
        return;
    }
    if (ended || !coverageSuffices(left) || (coverageSuffices(m_succeededCount) && now >= partialAnswerAt()))
        finish(environment, now);
}

Instant CallRun::nextWakeup() const
{
    Instant wake = m_deadline - answerMargin;
    if (m_delegated)
        wake = std::min(wake, delegateDeadline());
    for (const SubRequest& part : m_subRequests) {
        if (mayHedge(part))
            wake = std::min(wake, part.lastSentAt + m_stragglerThreshold);
        if (part.waiting)
            wake = std::min(wake, waitDeadline());
    }
    if (m_route->isFanOut() && coverageSuffices(m_succeededCount))
        wake = std::min(wake, partialAnswerAt());
    return wake;
}

void CallRun::finish(CallEnvironment& environment, Instant now)
{
    m_finished = true;
    if (m_delegated) {
        environment.release(m_delegated->attempt, false, now);
        failDelegated();
    }
    for (SubRequest& part : m_subRequests) {
        for (AttemptNumber send : part.outstanding) {
            part.mayHaveRun = true;
            environment.release(send, false, now);
        }
        part.outstanding.clear();
        part.waiting = false;
    }
    if (m_route->isFanOut())
        answerFanOut();
    else
        answerSingle();
}

void CallRun::answerSingle()
{
    SubRequest& part = m_subRequests.front();
    bool targetAnswered = part.reply.outcome == TargetReply::ReplyOutcome::Answered && !part.reply.notRun && part.reply.status;
    if (part.succeeded || (targetAnswered && !m_abortReason)) {
        m_answer.status = part.reply.status;
        m_answer.headers = std::move(part.reply.headers);
        m_answer.body = std::move(part.reply.body);
        m_answer.reason = part.succeeded ? "answered" : "the target failed";
        return;
    }
    answerFailure(m_abortReason ? m_abortReason : "no target answered");
}

void CallRun::answerFanOut()
{
    if (!coverageSuffices(m_succeededCount)) {
        answerFailure(m_abortReason ? m_abortReason : "too few shards can answer");
        return;
    }
    std::vector<std::string_view> bodies;
    if (!m_delegateReply.subRequestSignatures.empty()) {
        bodies.push_back(m_delegateReply.body);
        m_answer.subRequestSignatures = m_delegateReply.subRequestSignatures;
    }
    for (const SubRequest& part : m_subRequests) {
        if (!part.succeeded)
            continue;
        bodies.push_back(part.reply.body);
        m_answer.subRequestSignatures += (m_answer.subRequestSignatures.empty() ? "" : ", ") + part.reply.signature;
    }
    m_answer.status = 200;
    m_answer.isFanOut = true;
    m_answer.missingShards = static_cast<unsigned>(m_subRequests.size() - m_succeededCount);
    m_answer.body = topRecords(bodies, m_route->topRecords);
    m_answer.reason = m_answer.missingShards ? "answered in part" : "answered";
}

void CallRun::answerFailure(const char* reason)
{
    bool mayHaveRun = std::any_of(m_subRequests.begin(), m_subRequests.end(), [](const SubRequest& part) { return part.succeeded || part.mayHaveRun; });
    m_answer.reason = reason;
    if (!mayHaveRun) {
        m_answer.status = noTargetStatus;
        m_answer.retryAfter = roomAfter;
    } else {
        m_answer.status = m_abortReason ? lateStatus : brokenStatus;
    }
}

} // namespace pimentopoint
