#include "CallEngine.h"

#include "RequestFingerprint.h"
#include "internal/CallEngineEnvironment.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Multiple of the straggler threshold after which an attempt that is given up counts as a failure of its target.
    constexpr int unresponsiveMultiple = 2;
    /// Time for which the shard availability of a route is cached; short enough that an outdated value causes little traffic between data centres.
    constexpr Duration availabilityCacheTime = std::chrono::milliseconds(200);
    constexpr unsigned serviceUnavailable = 503;
    /// Retry delay stated in refusals during startup and of delegations; a starting process reads its routes within a few round trips to the platform.
    constexpr Duration startupRetryDelay = std::chrono::milliseconds(200);

    /// Most checks of targets at a time; more connections fail at a time only when many targets do.
    constexpr std::size_t maxTargetChecks = 64;

    constexpr std::string_view statusLabels[] = { "", "status=\"1xx\"", "status=\"2xx\"", "status=\"3xx\"", "status=\"4xx\"", "status=\"5xx\"" };

} // namespace

CallEngine::CallEngine(TargetPool& pool, AggregatorPool& aggregators, Metrics& metrics, CallLimits limits, Recorder recorder, RequestQuarantine quarantine)
    : m_pool(pool)
    , m_aggregators(aggregators)
    , m_metrics(metrics)
    , m_limits(limits)
    , m_recorder(std::move(recorder))
    , m_extraAttemptBudgets(limits.extraAttempts)
    , m_quarantine(std::move(quarantine))
{
}

void CallEngine::setRouting(RoutingTablePointer routing)
{
    m_routing = std::move(routing);
    m_pool.setRouting(m_routing);
}

RouteStatistics& CallEngine::routeStatistics(const RouteName& name)
{
    auto& statistics = m_routeStatistics[name];
    if (!statistics)
        statistics = std::make_unique<RouteStatistics>();
    return *statistics;
}

const ShardAvailability& CallEngine::shardAvailability(const RoutePolicy& route, Instant now)
{
    RouteStatistics& statistics = routeStatistics(route.name);
    bool current = statistics.shardAvailabilityAt != Instant::min() && statistics.shardAvailabilityVersion == m_routing->version() && now - statistics.shardAvailabilityAt < availabilityCacheTime;
    if (!current) {
        statistics.shardAvailability = m_pool.shardAvailability(route.shards, now);
        statistics.shardAvailabilityAt = now;
        statistics.shardAvailabilityVersion = m_routing->version();
    }
    return statistics.shardAvailability;
}

std::vector<ServiceName> CallEngine::servicesOf(const CallerRequest& request, const RoutePolicy& route)
{
    if (!route.isFanOut())
        return { routeStatistics(route.name).nextService(route) };
    if (!request.delegation || request.delegation->shards.empty())
        return route.shards;
    std::vector<ServiceName> services;
    for (std::size_t index : request.delegation->shards) {
        if (index >= route.shards.size())
            return {};
        services.push_back(route.shards[index]);
    }
    return services;
}

const char* CallEngine::delegationRefusal(const Delegation& delegation, Instant now)
{
    if (!m_serving)
        return "routes are not known yet";
    if (delegation.version != m_routing->version())
        return "another configuration version is active";
    if (m_recentAttempts.value(now) > m_limits.delegationAttemptRate)
        return "attempt rate limit for delegations is reached";
    return nullptr;
}

void CallEngine::refuse(CallId call, const CallerRequest& request, unsigned status, const char* reason, Duration retryAfter, Instant now, CallActions& actions)
{
    CallerAnswer answer;
    answer.status = status;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    actions.answers.push_back({ call, answer });
    m_metrics.add("pimentopoint_refusals_total", "");
    record(request, status, reason, now);
}

void CallEngine::record(const CallerRequest& request, unsigned status, const char* reason, Instant now)
{
    ConfigurationVersion version = m_routing ? m_routing->version() : ConfigurationVersion(0);
    m_recorder({ request, "", version, status, reason, now - request.arrivedAt, 0, 0, "", Duration(0) });
}

void CallEngine::handleRequest(CallId id, std::shared_ptr<const CallerRequest> request, Instant now, CallActions& actions)
{
    constexpr unsigned badRequest = 400;
    constexpr unsigned notFound = 404;
    if (request->delegation) {
        if (const char* reason = delegationRefusal(*request->delegation, now)) {
            refuse(id, *request, serviceUnavailable, reason, startupRetryDelay, now, actions);
            return;
        }
    }
    if (!m_serving) {
        // Leaves at least half of the caller's timeout for a retry at another host.
        Instant until = request->arrivedAt + std::min(m_limits.startupWait, request->timeout / 2);
        m_timers.push({ until, CallId(0), AttemptNumber(0) });
        m_heldRequests.push_back({ id, std::move(request), until });
        return;
    }
    std::string_view path(request->requestTarget);
    const RoutePolicy* route = m_routing->match(request->host, path.substr(0, path.find('?')));
    if (!route) {
        refuse(id, *request, notFound, "no route matches", Duration(0), now, actions);
        return;
    }
    if (auto remaining = quarantineOf(*request, now)) {
        m_metrics.add("pimentopoint_quarantine_refusals_total", "");
        refuse(id, *request, serviceUnavailable, "request is quarantined: targets crashed while they ran it", *remaining, now, actions);
        return;
    }
    // A request that isn't idempotent must not be cut off while it may run; others are answered by their objective if they can be.
    Duration expected = route->idempotent ? route->objective : std::min(route->timeout, request->timeout);
    if (m_answersUntil && now + expected > *m_answersUntil) {
        refuse(id, *request, serviceUnavailable, "process is stopping", Duration(0), now, actions);
        return;
    }
    std::vector<ServiceName> services = servicesOf(*request, *route);
    if (services.empty()) {
        refuse(id, *request, badRequest, "delegated shards are not in the route", Duration(0), now, actions);
        return;
    }
    bool oneAtATime = !m_quarantine.empty() && m_quarantine.isSuspected(fingerprintOf(*request), now);
    auto [at, inserted] = m_calls.try_emplace(id);
    Call& call = at->second;
    call.run = std::make_shared<CallRun>(std::move(request), m_routing, *route, std::move(services), routeStatistics(route->name).stragglerThreshold(*route), oneAtATime, now);
    Environment environment(*this, id, *call.run, actions);
    call.run->begin(environment, now);
    enqueueWaiting(id, *call.run);
    if (call.run->finished())
        finish(id, now, actions);
    else
        reschedule(id, call);
}

void CallEngine::startServing(Instant now, CallActions& actions)
{
    if (m_serving || !m_routing)
        return;
    m_serving = true;
    auto held = std::exchange(m_heldRequests, {});
    for (HeldRequest& each : held)
        handleRequest(each.call, std::move(each.request), now, actions);
}

void CallEngine::refuseHeldRequests(Instant now, CallActions& actions)
{
    std::erase_if(m_heldRequests, [&](const HeldRequest& held) {
        if (now < held.until)
            return false;
        refuse(held.call, *held.request, serviceUnavailable, "routes are not known yet", startupRetryDelay, now, actions);
        return true;
    });
}

void CallEngine::enqueueWaiting(CallId id, const CallRun& run)
{
    for (std::size_t i = 0; i < run.subRequests().size(); ++i) {
        if (!run.subRequests()[i].waiting)
            continue;
        auto& queue = m_waiting[run.subRequests()[i].service];
        if (std::find(queue.begin(), queue.end(), std::pair(id, i)) == queue.end())
            queue.emplace_back(id, i);
    }
}

void CallEngine::reschedule(CallId id, Call& call)
{
    if (!call.run->takeWakeupChanged())
        return;
    Instant wakeup = call.run->nextWakeup();
    if (wakeup == call.nextWakeup)
        return;
    call.nextWakeup = wakeup;
    m_timers.push({ wakeup, id, AttemptNumber(0) });
}

void CallEngine::finish(CallId id, Instant now, CallActions& actions)
{
    auto found = m_calls.find(id);
    CallRun& run = *found->second.run;
    CallerAnswer answer = run.takeAnswer();
    m_metrics.observe("pimentopoint_call_milliseconds", statusLabels[std::min(answer.status / 100, 5U)], now - run.request().arrivedAt);
    std::string lastTarget;
    for (const SubRequest& subRequest : run.subRequests()) {
        if (!subRequest.succeeded && !subRequest.triedTargets.empty())
            lastTarget = subRequest.triedTargets.back().value();
    }
    m_recorder({ run.request(), run.route().name.value(), run.routing().version(), answer.status, answer.reason, now - run.request().arrivedAt, answer.missingShards, run.extraAttempts(), lastTarget, run.stragglerThreshold(), found->second.aggregator, run.lostAttempts() });
    actions.answers.push_back({ id, std::move(answer) });
    m_calls.erase(found);
}

void CallEngine::handleReply(AttemptNumber id, TargetReply reply, Instant now, CallActions& actions)
{
    auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    AttemptState attempt = std::move(found->second);
    m_attempts.erase(found);
    if (attempt.aggregator) {
        handleDelegateReply(attempt, id, std::move(reply), now, actions);
        return;
    }
    bool served = reply.outcome == TargetReply::ReplyOutcome::Answered && !reply.notRun && reply.status < 500;
    m_pool.recordReply(attempt.target, id, reply, now);
    if (reply.connectionFailed && !attempt.run->anyReplied())
        startTargetCheck(attempt, id, now, actions);
    bool ran = reply.outcome == TargetReply::ReplyOutcome::Answered && !reply.notRun;
    if (ran && !m_quarantine.empty()) {
        RequestFingerprint fingerprint = fingerprintOf(attempt.run->request());
        if (m_quarantine.recordReply(fingerprint))
            actions.clearedRequests.push_back(fingerprint);
    }
    if (served)
        routeStatistics(attempt.route).recordLatency(now - attempt.sentAt, attempt.stragglerThreshold);
    auto call = m_calls.find(attempt.call);
    if (call != m_calls.end() && !attempt.released) {
        CallRun& run = *call->second.run;
        Environment environment(*this, attempt.call, run, actions);
        run.handleReply(environment, attempt.subRequest, id, std::move(reply), now);
        enqueueWaiting(attempt.call, run);
        if (run.finished())
            finish(attempt.call, now, actions);
        else
            reschedule(attempt.call, call->second);
    }
    resumeNextWaiting(attempt.service, now, actions);
}

void CallEngine::startTargetCheck(const AttemptState& attempt, AttemptNumber id, Instant now, CallActions& actions)
{
    if (m_targetChecks.size() >= maxTargetChecks)
        return;
    m_targetChecks[id] = { { fingerprintOf(attempt.run->request()), attempt.sentAt, now }, attempt.run };
    actions.targetChecks.push_back({ id, attempt.target, attempt.endpoint });
}

void CallEngine::handleTargetCheck(AttemptNumber attempt, bool accepted, Instant now, CallActions& actions)
{
    auto check = m_targetChecks.extract(attempt);
    // A request to which another target has replied meanwhile did not crash this one.
    if (!check || accepted || check.mapped().run->anyReplied())
        return;
    m_metrics.add("pimentopoint_request_crashes_total", "");
    auto effect = m_quarantine.recordCrash(check.mapped().crash, now);
    if (effect.quarantined)
        actions.quarantined.push_back(*effect.quarantined);
    else if (effect.report)
        actions.crashReports.push_back(*effect.report);
}

std::optional<Duration> CallEngine::quarantineOf(const CallerRequest& request, Instant now) const
{
    return m_quarantine.empty() ? std::nullopt : m_quarantine.remaining(fingerprintOf(request), now);
}

void CallEngine::handleAcknowledgement(AttemptNumber attempt, Instant now)
{
    auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || !found->second.aggregator)
        return;
    auto call = m_calls.find(found->second.call);
    if (call == m_calls.end())
        return;
    call->second.run->handleDelegateAcknowledgement(now);
    reschedule(call->first, call->second);
}

void CallEngine::handleDelegateReply(const AttemptState& attempt, AttemptNumber id, TargetReply reply, Instant now, CallActions& actions)
{
    m_aggregators.recordReply(*attempt.aggregator, id, reply, now);
    auto call = m_calls.find(attempt.call);
    if (call == m_calls.end())
        return;
    CallRun& run = *call->second.run;
    Environment environment(*this, attempt.call, run, actions);
    run.handleDelegateReply(environment, std::move(reply), now);
    enqueueWaiting(attempt.call, run);
    if (run.finished())
        finish(attempt.call, now, actions);
    else
        reschedule(attempt.call, call->second);
}

void CallEngine::resumeNextWaiting(const ServiceName& service, Instant now, CallActions& actions)
{
    auto queue = m_waiting.find(service);
    if (queue == m_waiting.end() || queue->second.empty())
        return;
    // The most urgent sub-request goes first; among equally urgent ones, the one that has waited longest.
    auto& waiting = queue->second;
    std::erase_if(waiting, [this](const auto& entry) {
        auto call = m_calls.find(entry.first);
        return call == m_calls.end() || !call->second.run->subRequest(entry.second).waiting;
    });
    auto rank = [this](const auto& entry) { return m_calls.at(entry.first).run->route().priority; };
    auto first = std::min_element(waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (first == waiting.end())
        return;
    auto [id, index] = *first;
    waiting.erase(first);
    Call& call = m_calls.at(id);
    Environment environment(*this, id, *call.run, actions);
    call.run->handleCapacityAvailable(environment, index, now);
    if (call.run->subRequest(index).waiting)
        waiting.emplace_front(id, index);
    if (call.run->finished())
        finish(id, now, actions);
    else
        reschedule(id, call);
}

void CallEngine::handleCallerDisconnected(CallId id, Instant now, CallActions& actions)
{
    constexpr const char* disconnectedReason = "caller disconnected";
    auto held = std::find_if(m_heldRequests.begin(), m_heldRequests.end(), [id](const HeldRequest& each) { return each.call == id; });
    if (held != m_heldRequests.end()) {
        record(*held->request, 0, disconnectedReason, now);
        m_heldRequests.erase(held);
    }
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    CallRun& run = *found->second.run;
    Environment environment(*this, id, run, actions);
    if (run.delegated())
        environment.release(run.delegated()->attempt, false, now);
    for (const SubRequest& subRequest : run.subRequests()) {
        for (AttemptNumber attempt : subRequest.outstanding)
            environment.release(attempt, false, now);
    }
    m_recorder({ run.request(), run.route().name.value(), run.routing().version(), 0, disconnectedReason, now - run.request().arrivedAt, 0, run.extraAttempts(), "", run.stragglerThreshold(), found->second.aggregator, run.lostAttempts() });
    m_metrics.add("pimentopoint_callers_left_total", "");
    m_calls.erase(found);
}

void CallEngine::tick(Instant now, CallActions& actions)
{
    refuseHeldRequests(now, actions);
    while (!m_timers.empty() && m_timers.top().at <= now) {
        Timer timer = m_timers.top();
        m_timers.pop();
        if (timer.call == CallId(0)) {
            auto found = m_attempts.find(timer.attempt);
            if (found == m_attempts.end())
                continue;
            AttemptState attempt = std::move(found->second);
            m_attempts.erase(found);
            m_pool.recordAbandoned(attempt.target, timer.attempt, now - attempt.sentAt > unresponsiveMultiple * attempt.stragglerThreshold, now);
            routeStatistics(attempt.route).recordAbandoned(now - attempt.sentAt);
            actions.aborts.push_back(timer.attempt);
            resumeNextWaiting(attempt.service, now, actions);
            continue;
        }
        auto found = m_calls.find(timer.call);
        if (found == m_calls.end() || found->second.nextWakeup != timer.at)
            continue;
        found->second.nextWakeup = Instant::max();
        Environment environment(*this, timer.call, *found->second.run, actions);
        found->second.run->handleTimer(environment, now);
        if (found->second.run->finished())
            finish(timer.call, now, actions);
        else
            reschedule(timer.call, found->second);
    }
}

void CallEngine::handleShutdown(Instant now, CallActions& actions)
{
    for (const HeldRequest& held : std::exchange(m_heldRequests, {}))
        refuse(held.call, *held.request, serviceUnavailable, "process is stopping", Duration(0), now, actions);
    std::vector<CallId> ids;
    for (auto& [id, call] : m_calls)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (CallId id : ids) {
        Call& call = m_calls.at(id);
        Environment environment(*this, id, *call.run, actions);
        call.run->handleShutdown(environment, now);
        finish(id, now, actions);
    }
}

std::optional<Instant> CallEngine::nextWakeup() const
{
    return m_timers.empty() ? std::nullopt : std::optional(m_timers.top().at);
}

} // namespace pimentopoint
