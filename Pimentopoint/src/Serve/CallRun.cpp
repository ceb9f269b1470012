#include "CallRun.h"

#include "TopRecords.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time before the caller's deadline or the route's timeout at which the answer is sent; covers the network delay to the caller.
    constexpr Duration answerMargin = std::chrono::milliseconds(15);
    /// Time before the objective at which a fan-out with enough shards is answered: the network delay from and to the caller, twice
    /// for a new connection, plus a fraction of the objective for a busy host to merge and send the answer.
    constexpr Duration objectiveMargin = std::chrono::milliseconds(8);
    constexpr double objectiveMarginFraction = 0.1;
    /// Fraction of the objective after which a call is refused if none of its sub-requests found a free connection: a later refusal
    /// would leave the caller no time for a retry within the objective. Once a sub-request was sent, the call can no longer be refused
    /// as not run, and the others wait until the deadline.
    constexpr double maxWaitFraction = 0.25;
    /// Time after which free capacity is expected after a refusal: connections become free within a few service times.
    constexpr Duration refusalRetryDelay = std::chrono::milliseconds(30);
    /// An aggregator that has acknowledged is given up after the larger of these multiples of the objective and of the caller's timeout:
    /// it replies by the objective if it can, and the rest of the caller's timeout is left for a retry.
    constexpr double delegateObjectiveMultiple = 1.5;
    constexpr double delegateTimeoutFraction = 0.85;
    constexpr unsigned serviceUnavailable = 503;
    constexpr unsigned badGateway = 502;
    constexpr unsigned gatewayTimeout = 504;

    bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

    /// \returns whether another target may succeed where \a reply failed: its status describes the target's state, not the request
    bool mayRetryElsewhere(const TargetReply& reply)
    {
        constexpr unsigned requestTimeout = 408;
        constexpr unsigned tooManyRequests = 429;
        constexpr unsigned firstServerError = 500;
        return reply.notRun || reply.status >= firstServerError || reply.status == requestTimeout || reply.status == tooManyRequests;
    }

} // namespace

CallRun::CallRun(std::shared_ptr<const CallerRequest> request, RoutingTablePointer routing, const RoutePolicy& route, std::vector<ServiceName> services, Duration stragglerThreshold, bool oneAtATime, Instant now)
    : m_request(std::move(request))
    , m_routing(std::move(routing))
    , m_route(&route)
    , m_startedAt(now)
    , m_deadline(m_request->arrivedAt + std::min(m_request->timeout, route.timeout))
    , m_stragglerThreshold(stragglerThreshold)
    , m_retryDelay(refusalRetryDelay)
    , m_oneAtATime(oneAtATime)
{
    m_subRequests.resize(services.size());
    for (std::size_t i = 0; i < services.size(); ++i)
        m_subRequests[i].service = std::move(services[i]);
}

void CallRun::begin(CallEnvironment& environment, Instant now)
{
    bool shardsGiven = m_request->delegation && !m_request->delegation->shards.empty();
    if (m_route->isFanOut() && !shardsGiven && !m_oneAtATime)
        m_delegated = environment.delegate(now);
    if (!m_delegated)
        refuseIfLimited(environment, now);
    if (m_finished)
        return;
    auto runsHere = [this](std::size_t index) { return !m_delegated || std::find(m_delegated->subRequests.begin(), m_delegated->subRequests.end(), index) == m_delegated->subRequests.end(); };
    for (std::size_t i = 0; i < m_subRequests.size(); ++i) {
        if (runsHere(i) && !m_finished)
            sendOrDefer(environment, i, now);
    }
    resumeDeferred(environment, now);
    finishIfDone(environment, now);
}

void CallRun::sendOrDefer(CallEnvironment& environment, std::size_t index, Instant now)
{
    SubRequest& subRequest = m_subRequests[index];
    if (probing())
        subRequest.deferred = true;
    else
        tryAttempt(environment, index, subRequest.attemptCount > 0, now);
}

void CallRun::resumeDeferred(CallEnvironment& environment, Instant now)
{
    auto isPending = [](const SubRequest& subRequest) { return subRequest.waiting || !subRequest.outstanding.empty(); };
    // The calls of a request differ in the shards that they try first, so that none of the shards loses all its targets.
    std::size_t first = probing() ? hashOf(m_request->id) % m_subRequests.size() : 0;
    for (std::size_t n = 0; n < m_subRequests.size() && !m_finished; ++n) {
        std::size_t i = (first + n) % m_subRequests.size();
        if (!m_subRequests[i].deferred)
            continue;
        if (!m_anyReplied && std::any_of(m_subRequests.begin(), m_subRequests.end(), isPending))
            return;
        m_subRequests[i].deferred = false;
        tryAttempt(environment, i, m_subRequests[i].attemptCount > 0, now);
    }
}

void CallRun::refuseIfLimited(CallEnvironment& environment, Instant now)
{
    std::vector<Duration> waits;
    for (std::size_t i = 0; i < m_subRequests.size(); ++i) {
        if (auto wait = environment.limitWait(i, now))
            waits.push_back(*wait);
    }
    std::size_t possible = m_subRequests.size() - waits.size();
    if (waits.empty() || (m_route->isFanOut() && coverageSuffices(possible)))
        return;
    // The call succeeds once enough of its sub-requests can be sent.
    std::sort(waits.begin(), waits.end());
    std::size_t needed = 0;
    while (needed + 1 < waits.size() && !coverageSuffices(possible + needed + 1))
        ++needed;
    m_retryDelay = std::max(refusalRetryDelay, waits[needed]);
    m_abortReason = "limits that the targets stated are reached";
    finish(environment, now);
}

void CallRun::tryAttempt(CallEnvironment& environment, std::size_t index, bool extra, Instant now)
{
    SubRequest& subRequest = m_subRequests[index];
    subRequest.waiting = false;
    m_wakeupChanged = true;
    switch (environment.startAttempt(index, extra, now)) {
    case CallEnvironment::AttemptResult::Started:
        subRequest.lastSentAt = now;
        m_extraAttempts += extra;
        return;
    case CallEnvironment::AttemptResult::Saturated:
        subRequest.waiting = subRequest.outstanding.empty();
        return;
    case CallEnvironment::AttemptResult::Quarantined:
        m_quarantined = true;
        finish(environment, now);
        return;
    case CallEnvironment::AttemptResult::Limited:
        if (auto wait = environment.limitWait(index, now))
            m_retryDelay = std::max(m_retryDelay, *wait);
        [[fallthrough]];
    case CallEnvironment::AttemptResult::NoTarget:
    case CallEnvironment::AttemptResult::ExtraDenied:
        if (subRequest.outstanding.empty())
            fail(subRequest);
        return;
    }
}

void CallRun::fail(SubRequest& subRequest)
{
    if (subRequest.failed)
        return;
    subRequest.failed = true;
    subRequest.waiting = false;
    ++m_failedCount;
}

void CallRun::retry(CallEnvironment& environment, std::size_t index, Instant now)
{
    SubRequest& subRequest = m_subRequests[index];
    if (!subRequest.outstanding.empty())
        return;
    bool mayRetry = m_route->idempotent || !subRequest.mayHaveRun;
    if (mayRetry && hasAttemptsLeft(subRequest))
        sendOrDefer(environment, index, now);
    else
        fail(subRequest);
}

void CallRun::handleReply(CallEnvironment& environment, std::size_t index, AttemptNumber attempt, TargetReply reply, Instant now)
{
    SubRequest& subRequest = m_subRequests[index];
    std::erase(subRequest.outstanding, attempt);
    m_lostAttempts += reply.connectionFailed;
    bool ran = reply.outcome == TargetReply::ReplyOutcome::Answered && !reply.notRun;
    m_anyReplied = m_anyReplied || ran;
    m_oneAtATime = m_oneAtATime || reply.connectionFailed;
    if (m_finished || subRequest.succeeded || subRequest.failed)
        return;
    if (reply.outcome == TargetReply::ReplyOutcome::NotSent) {
        --subRequest.attemptCount;
        retry(environment, index, now);
    } else if (reply.outcome == TargetReply::ReplyOutcome::Answered && !reply.notRun && isSuccess(reply.status)) {
        subRequest.succeeded = true;
        subRequest.reply = std::move(reply);
        // The bodies of a fan-out are kept until all shards have replied.
        if (m_route->isFanOut())
            keepTopRecords(subRequest.reply.body, m_route->topRecords);
        m_wakeupChanged = m_wakeupChanged || coverageSuffices(m_succeededCount + 1) != coverageSuffices(m_succeededCount);
        ++m_succeededCount;
        for (AttemptNumber other : subRequest.outstanding)
            environment.release(other, false, now);
        subRequest.outstanding.clear();
    } else {
        subRequest.mayHaveRun = subRequest.mayHaveRun || !reply.notRun;
        subRequest.reply = std::move(reply);
        if (m_route->isFanOut())
            subRequest.reply.body = {};
        if (subRequest.reply.outcome == TargetReply::ReplyOutcome::Answered && !mayRetryElsewhere(subRequest.reply))
            fail(subRequest);
        else
            retry(environment, index, now);
    }
    if (ran)
        m_wakeupChanged = true;
    resumeDeferred(environment, now);
    finishIfDone(environment, now);
}

void CallRun::handleCapacityAvailable(CallEnvironment& environment, std::size_t index, Instant now)
{
    if (m_finished || !m_subRequests[index].waiting)
        return;
    tryAttempt(environment, index, m_subRequests[index].attemptCount > 0, now);
    resumeDeferred(environment, now);
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
        auto delegated = *std::exchange(m_delegated, std::nullopt);
        for (std::size_t index : delegated.subRequests) {
            if (!m_finished)
                sendOrDefer(environment, index, now);
        }
    } else if (reply.outcome == TargetReply::ReplyOutcome::Answered && isSuccess(reply.status) && reply.missingShards < m_delegated->subRequests.size()) {
        // The reply does not say which shards are missing, so each of them may have run.
        for (std::size_t index : m_delegated->subRequests)
            m_subRequests[index].mayHaveRun = true;
        m_anyReplied = true;
        m_succeededCount += m_delegated->subRequests.size() - reply.missingShards;
        m_failedCount += reply.missingShards;
        m_delegateReply = std::move(reply);
        m_delegated.reset();
    } else {
        failDelegated();
    }
    resumeDeferred(environment, now);
    finishIfDone(environment, now);
}

bool CallRun::mayHedge(const SubRequest& subRequest) const
{
    // While no shard has replied, it is not a single target that is slow.
    bool slowTarget = m_anyReplied || (!m_oneAtATime && m_subRequests.size() == 1);
    return slowTarget && m_route->idempotent && !subRequest.succeeded && !subRequest.failed && subRequest.outstanding.size() == 1 && hasAttemptsLeft(subRequest);
}

void CallRun::hedge(CallEnvironment& environment, Instant now)
{
    for (std::size_t i = 0; i < m_subRequests.size(); ++i) {
        SubRequest& subRequest = m_subRequests[i];
        if (!mayHedge(subRequest) || now < subRequest.lastSentAt + m_stragglerThreshold)
            continue;
        Instant previousSentAt = subRequest.lastSentAt;
        tryAttempt(environment, i, true, now);
        // If no hedge could be sent, the sub-request goes on waiting for its reply; a hedge is considered again after another straggler threshold.
        if (subRequest.lastSentAt == previousSentAt)
            subRequest.lastSentAt = now;
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
    for (SubRequest& subRequest : m_subRequests) {
        if (subRequest.waiting && now >= waitDeadline())
            fail(subRequest);
    }
    resumeDeferred(environment, now);
    if (m_finished)
        return;
    hedge(environment, now);
    m_wakeupChanged = true;
    finishIfDone(environment, now);
}

void CallRun::handleShutdown(CallEnvironment& environment, Instant now)
{
    if (!m_finished) {
        m_abortReason = "process is stopping";
        finish(environment, now);
    }
}

bool CallRun::coverageSuffices(std::size_t answered) const
{
    // If another host delegated only some of the shards, the shards that it runs itself count as covered.
    std::size_t total = std::max(m_subRequests.size(), m_route->shards.size());
    std::size_t missing = m_subRequests.size() - answered;
    return answered > 0 && Fraction(static_cast<double>(total - missing) / static_cast<double>(total)).reaches(m_route->minCoverage);
}

Instant CallRun::partialAnswerAt() const
{
    Duration elapsed = m_request->delegation ? m_request->delegation->elapsed : Duration(0);
    return m_request->arrivedAt + scaled(m_route->objective, 1 - objectiveMarginFraction) - objectiveMargin - elapsed;
}

Instant CallRun::delegateDeadline() const
{
    if (!m_delegated->acknowledged)
        return m_delegated->acknowledgementDeadline;
    return m_startedAt + std::max(scaled(m_route->objective, delegateObjectiveMultiple), scaled(m_request->timeout, delegateTimeoutFraction));
}

Instant CallRun::waitDeadline() const
{
    bool anySent = m_delegated || std::any_of(m_subRequests.begin(), m_subRequests.end(), [](const SubRequest& subRequest) { return subRequest.attemptCount > 0 || subRequest.mayHaveRun; });
    if (anySent)
        return m_deadline;
    return m_startedAt + scaled(m_route->objective, maxWaitFraction);
}

void CallRun::finishIfDone(CallEnvironment& environment, Instant now)
{
    if (m_finished)
        return;
    std::size_t possible = m_subRequests.size() - m_failedCount;
    bool ended = m_succeededCount + m_failedCount == m_subRequests.size();
    if (!m_route->isFanOut()) {
        if (ended)
            finish(environment, now);
        return;
    }
    if (ended || !coverageSuffices(possible) || (coverageSuffices(m_succeededCount) && now >= partialAnswerAt()))
        finish(environment, now);
}

Instant CallRun::nextWakeup() const
{
    Instant wakeup = m_deadline - answerMargin;
    if (m_delegated)
        wakeup = std::min(wakeup, delegateDeadline());
    for (const SubRequest& subRequest : m_subRequests) {
        if (mayHedge(subRequest))
            wakeup = std::min(wakeup, subRequest.lastSentAt + m_stragglerThreshold);
        if (subRequest.waiting)
            wakeup = std::min(wakeup, waitDeadline());
    }
    if (m_route->isFanOut() && coverageSuffices(m_succeededCount))
        wakeup = std::min(wakeup, partialAnswerAt());
    return wakeup;
}

void CallRun::finish(CallEnvironment& environment, Instant now)
{
    m_finished = true;
    if (m_delegated) {
        environment.release(m_delegated->attempt, false, now);
        failDelegated();
    }
    for (SubRequest& subRequest : m_subRequests) {
        for (AttemptNumber attempt : subRequest.outstanding) {
            subRequest.mayHaveRun = true;
            environment.release(attempt, false, now);
        }
        subRequest.outstanding.clear();
        subRequest.waiting = false;
    }
    if (m_route->isFanOut())
        answerFanOut();
    else
        answerSingle();
}

void CallRun::answerSingle()
{
    SubRequest& subRequest = m_subRequests.front();
    bool targetAnswered = subRequest.reply.outcome == TargetReply::ReplyOutcome::Answered && !subRequest.reply.notRun && subRequest.reply.status;
    if (subRequest.succeeded || (targetAnswered && !m_abortReason)) {
        m_answer.status = subRequest.reply.status;
        m_answer.headers = std::move(subRequest.reply.headers);
        m_answer.body = std::move(subRequest.reply.body);
        m_answer.reason = subRequest.succeeded ? "answered" : "target replied with a failure";
        return;
    }
    answerFailure(m_abortReason ? m_abortReason : "no target replied");
}

void CallRun::answerFanOut()
{
    if (!coverageSuffices(m_succeededCount)) {
        answerFailure(m_abortReason ? m_abortReason : "too few shards can reply for the required coverage");
        return;
    }
    std::vector<std::string_view> bodies;
    if (!m_delegateReply.subRequestSignatures.empty()) {
        bodies.push_back(m_delegateReply.body);
        m_answer.subRequestSignatures = m_delegateReply.subRequestSignatures;
    }
    for (const SubRequest& subRequest : m_subRequests) {
        if (!subRequest.succeeded)
            continue;
        bodies.push_back(subRequest.reply.body);
        m_answer.subRequestSignatures += (m_answer.subRequestSignatures.empty() ? "" : ", ") + subRequest.reply.signature;
    }
    m_answer.status = 200;
    m_answer.isFanOut = true;
    m_answer.missingShards = static_cast<unsigned>(m_subRequests.size() - m_succeededCount);
    m_answer.body = topRecords(bodies, m_route->topRecords);
    m_answer.reason = m_answer.missingShards ? "answered with missing shards" : "answered";
}

void CallRun::answerFailure(const char* reason)
{
    if (m_quarantined)
        reason = "request is quarantined: targets crashed while they ran it";
    bool mayHaveRun = std::any_of(m_subRequests.begin(), m_subRequests.end(), [](const SubRequest& subRequest) { return subRequest.succeeded || subRequest.mayHaveRun; });
    m_answer.reason = reason;
    if (!mayHaveRun) {
        m_answer.status = serviceUnavailable;
        m_answer.retryAfter = m_retryDelay;
    } else {
        m_answer.status = m_abortReason ? gatewayTimeout : badGateway;
    }
}

} // namespace pimentopoint
