#include "CallEngine.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// A send that takes longer than this share of all does is late; the rest fits the budget of repeats with room for retries.
    constexpr double lateQuantile = 0.92;
    /// Bounds on the time after which a send is late, as parts of the objective; the lower one also covers a busy network.
    constexpr double earliestLate = 0.12;
    constexpr double latestLate = 0.5;
    /// Expected time before the first reply, as a part of the objective.
    constexpr double firstGuess = 0.15;
    constexpr double meanRate = 0.02;
    /// Multiple of the late time after which a send that is given up speaks against its target.
    constexpr int silentMultiple = 2;
    constexpr unsigned unavailable = 503;
    /// Until a process knows its routes: it reads them within a few round trips to the platform.
    constexpr Duration startupRetry = std::chrono::milliseconds(200);

    constexpr std::string_view statusLabels[] = { "", "status=\"1xx\"", "status=\"2xx\"", "status=\"3xx\"", "status=\"4xx\"", "status=\"5xx\"" };

} // namespace

class CallEngine::Environment : public CallEnvironment {
public:
    Environment(CallEngine& engine, CallId id, CallRun& run, CallActions& actions)
        : m_engine(engine)
        , m_id(id)
        , m_run(run)
        , m_actions(actions)
    {
    }

    Obstacle send(std::size_t index, bool extra, Instant now) override
    {
        CallPart& part = m_run.part(index);
        TargetPool::Shortage shortage = TargetPool::Shortage::None;
        auto choice = m_engine.m_pool.choose(part.service, part.tried, now, shortage);
        if (!choice)
            return shortage == TargetPool::Shortage::Busy ? Obstacle::Busy : Obstacle::Absent;
        // A repeat to a target that stands still as well helps nobody.
        if (extra && !part.outstanding.empty() && !choice->steady)
            return Obstacle::NoBudget;
        if (extra && !m_engine.m_repeats.spend(part.service))
            return Obstacle::NoBudget;
        SendId id(++m_engine.m_lastSend);
        Duration late = m_run.lateAfter();
        m_engine.m_sends.emplace(id, SendState { m_id, index, choice->name, part.service, m_run.route().name, now, late });
        m_engine.m_pool.sent(choice->name, id, m_engine.expected(m_run.route()), late, now);
        m_actions.sends.push_back({ id, choice->name, choice->endpoint, m_run.requestPointer(), m_run.deadline(), !m_run.route().fansOut() });
        part.tried.push_back(choice->name);
        part.outstanding.push_back(id);
        ++part.arrivals;
        if (extra)
            m_engine.m_metrics.add("pimentopoint_extra_sends_total", "");
        return Obstacle::None;
    }

    void release(SendId send, Instant now) override
    {
        auto found = m_engine.m_sends.find(send);
        if (found == m_engine.m_sends.end())
            return;
        found->second.released = true;
        m_engine.m_timers.push({ now + m_engine.m_limits.releaseTime, CallId(0), send });
    }

private:
    CallEngine& m_engine;
    CallId m_id;
    CallRun& m_run;
    CallActions& m_actions;
};

CallEngine::CallEngine(TargetPool& pool, Metrics& metrics, CallLimits limits, Recorder recorder)
    : m_pool(pool)
    , m_metrics(metrics)
    , m_limits(limits)
    , m_recorder(std::move(recorder))
    , m_repeats(limits.repeats)
{
}

void CallEngine::setRouting(RoutingTablePointer routing)
{
    m_routing = std::move(routing);
    m_pool.setRouting(m_routing);
}

CallEngine::RouteState& CallEngine::routeState(const RouteName& name)
{
    auto& state = m_routes[name];
    if (!state)
        state = std::make_unique<RouteState>(lateQuantile);
    return *state;
}

ServiceName CallEngine::chooseService(const RoutePolicy& route)
{
    // Smooth weighted turns: each service gains its weight, the one with most is taken and pays the sum.
    auto& turns = routeState(route.name).turns;
    double sum = 0;
    const WeightedService* best = nullptr;
    for (const WeightedService& each : route.services) {
        double& turn = turns[each.service.value()];
        turn += each.weight;
        sum += each.weight;
        if (!best || turn > turns[best->service.value()])
            best = &each;
    }
    turns[best->service.value()] -= sum;
    return best->service;
}

Duration CallEngine::lateAfter(const RoutePolicy& route) const
{
    auto found = m_routes.find(route.name);
    Duration guess = scaled(route.objective, 2 * firstGuess);
    Duration late = found == m_routes.end() ? guess : found->second->latencies.quantile(guess);
    return std::clamp(late, scaled(route.objective, earliestLate), scaled(route.objective, latestLate));
}

Duration CallEngine::expected(const RoutePolicy& route) const
{
    auto found = m_routes.find(route.name);
    if (found == m_routes.end() || found->second->mean <= 0)
        return scaled(route.objective, firstGuess);
    return Duration(static_cast<Duration::rep>(found->second->mean));
}

void CallEngine::learn(const SendState& send, Duration taken)
{
    RouteState& state = routeState(send.route);
    state.latencies.add(taken);
    auto micros = static_cast<double>(std::min(taken, 2 * send.late).count());
    state.mean = state.mean <= 0 ? micros : state.mean + meanRate * (micros - state.mean);
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

void CallEngine::begin(CallId id, std::shared_ptr<const CallerRequest> request, Instant now, CallActions& actions)
{
    constexpr unsigned notFound = 404;
    if (!m_open) {
        // Half of a short patience is left for another try elsewhere.
        Instant until = request->arrivedAt + std::min(m_limits.startHold, request->patience / 2);
        m_timers.push({ until, CallId(0), SendId(0) });
        m_held.push_back({ id, std::move(request), until });
        return;
    }
    std::string_view path(request->target);
    const RoutePolicy* route = m_routing->match(request->host, path.substr(0, path.find('?')));
    if (!route) {
        refuse(id, *request, notFound, "no route matches", Duration(0), now, actions);
        return;
    }
    std::vector<ServiceName> services = route->fansOut() ? route->shards : std::vector<ServiceName> { chooseService(*route) };
    for (const ServiceName& service : services)
        m_repeats.earn(service, now);
    auto [at, fresh] = m_calls.try_emplace(id);
    Call& call = at->second;
    call.run = std::make_unique<CallRun>(std::move(request), m_routing, *route, std::move(services), lateAfter(*route), now);
    Environment environment(*this, id, *call.run, actions);
    call.run->begin(environment, now);
    noteWaiting(id, *call.run);
    if (call.run->finished())
        finish(id, now, actions);
    else
        reschedule(id, call);
}

void CallEngine::open(Instant now, CallActions& actions)
{
    if (m_open || !m_routing)
        return;
    m_open = true;
    auto held = std::exchange(m_held, {});
    for (Held& each : held)
        begin(each.call, std::move(each.request), now, actions);
}

void CallEngine::refuseHeld(Instant now, CallActions& actions)
{
    std::erase_if(m_held, [&](const Held& held) {
        if (now < held.until)
            return false;
        refuse(held.call, *held.request, unavailable, "the routes are not known yet", startupRetry, now, actions);
        return true;
    });
}

void CallEngine::noteWaiting(CallId id, const CallRun& run)
{
    for (std::size_t i = 0; i < run.parts().size(); ++i) {
        if (run.parts()[i].waiting)
            m_waiting[run.parts()[i].service].emplace_back(id, i);
    }
}

void CallEngine::reschedule(CallId id, Call& call)
{
    if (!call.run->takeWakeChanged())
        return;
    Instant wake = call.run->nextWake();
    if (wake == call.wake)
        return;
    call.wake = wake;
    m_timers.push({ wake, id, SendId(0) });
}

void CallEngine::finish(CallId id, Instant now, CallActions& actions)
{
    auto found = m_calls.find(id);
    CallRun& run = *found->second.run;
    CallerAnswer answer = run.takeAnswer();
    m_metrics.observe("pimentopoint_call_milliseconds", statusLabels[std::min(answer.status / 100, 5U)], now - run.request().arrivedAt);
    std::string last;
    for (const CallPart& part : run.parts()) {
        if (!part.done && !part.tried.empty())
            last = part.tried.back().value();
    }
    m_recorder({ run.request(), run.route().name.value(), run.routing().version(), answer.status, answer.reason, now - run.request().arrivedAt, answer.missingParts, run.extraSends(), last, run.lateAfter() });
    actions.answers.push_back({ id, std::move(answer) });
    m_calls.erase(found);
}

void CallEngine::ended(SendId id, TargetReply reply, Instant now, CallActions& actions)
{
    auto found = m_sends.find(id);
    if (found == m_sends.end())
        return;
    SendState send = std::move(found->second);
    m_sends.erase(found);
    bool served = reply.end == TargetReply::End::Answered && !reply.notRun && reply.status < 500;
    m_pool.ended(send.target, id, reply, now);
    if (served)
        learn(send, now - send.sentAt);
    auto call = m_calls.find(send.call);
    if (call != m_calls.end() && !send.released) {
        CallRun& run = *call->second.run;
        Environment environment(*this, send.call, run, actions);
        run.replied(environment, send.part, id, std::move(reply), now);
        if (run.part(send.part).waiting)
            m_waiting[send.service].emplace_back(send.call, send.part);
        if (run.finished())
            finish(send.call, now, actions);
        else
            reschedule(send.call, call->second);
    }
    resumeWaiting(send.service, now, actions);
}

void CallEngine::resumeWaiting(const ServiceName& service, Instant now, CallActions& actions)
{
    auto queue = m_waiting.find(service);
    if (queue == m_waiting.end() || queue->second.empty())
        return;
    // The most urgent first, among equals the one that came first.
    auto& waiting = queue->second;
    std::erase_if(waiting, [this](const auto& entry) {
        auto call = m_calls.find(entry.first);
        return call == m_calls.end() || !call->second.run->part(entry.second).waiting;
    });
    auto rank = [this](const auto& entry) { return m_calls.at(entry.first).run->route().priority; };
    auto first = std::min_element(waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (first == waiting.end())
        return;
    auto [id, part] = *first;
    waiting.erase(first);
    Call& call = m_calls.at(id);
    Environment environment(*this, id, *call.run, actions);
    call.run->resume(environment, part, now);
    if (call.run->part(part).waiting)
        waiting.emplace_front(id, part);
    if (call.run->finished())
        finish(id, now, actions);
    else
        reschedule(id, call);
}

void CallEngine::callerLeft(CallId id, Instant now, CallActions& actions)
{
    constexpr const char* left = "the caller closed its connection";
    auto held = std::find_if(m_held.begin(), m_held.end(), [id](const Held& each) { return each.call == id; });
    if (held != m_held.end()) {
        record(*held->request, 0, left, now);
        m_held.erase(held);
    }
    auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    CallRun& run = *found->second.run;
    Environment environment(*this, id, run, actions);
    for (const CallPart& part : run.parts()) {
        for (SendId send : part.outstanding)
            environment.release(send, now);
    }
    m_recorder({ run.request(), run.route().name.value(), run.routing().version(), 0, left, now - run.request().arrivedAt, 0, run.extraSends(), "", run.lateAfter() });
    m_metrics.add("pimentopoint_callers_left_total", "");
    m_calls.erase(found);
}

void CallEngine::tick(Instant now, CallActions& actions)
{
    refuseHeld(now, actions);
    while (!m_timers.empty() && m_timers.top().at <= now) {
        Timer timer = m_timers.top();
        m_timers.pop();
        if (timer.call == CallId(0)) {
            auto found = m_sends.find(timer.send);
            if (found == m_sends.end())
                continue;
            SendState send = std::move(found->second);
            m_sends.erase(found);
            m_pool.abandoned(send.target, timer.send, now - send.sentAt > silentMultiple * send.late, now);
            routeState(send.route).latencies.add(now - send.sentAt);
            actions.aborts.push_back(timer.send);
            resumeWaiting(send.service, now, actions);
            continue;
        }
        auto found = m_calls.find(timer.call);
        if (found == m_calls.end() || found->second.wake != timer.at)
            continue;
        found->second.wake = Instant::max();
        Environment environment(*this, timer.call, *found->second.run, actions);
        found->second.run->timer(environment, now);
        if (found->second.run->finished())
            finish(timer.call, now, actions);
        else
            reschedule(timer.call, found->second);
    }
}

void CallEngine::expireAll(Instant now, CallActions& actions)
{
    for (const Held& held : std::exchange(m_held, {}))
        refuse(held.call, *held.request, unavailable, "the process stops", Duration(0), now, actions);
    std::vector<CallId> ids;
    for (auto& [id, call] : m_calls)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (CallId id : ids) {
        Call& call = m_calls.at(id);
        Environment environment(*this, id, *call.run, actions);
        call.run->expire(environment, now);
        finish(id, now, actions);
    }
}

std::optional<Instant> CallEngine::nextWake() const
{
    return m_timers.empty() ? std::nullopt : std::optional(m_timers.top().at);
}

} // namespace pimentopoint
