#include "TargetPool.h"

#include <algorithm>
#include <cmath>

namespace pimentopoint {

namespace {

    /// Weight of the latest reply in the smoothed latency ratio and failure rate; three replies reveal a target that became slow.
    constexpr double smoothingFactor = 0.3;
    /// Fraction of a target's connections that hosts use; the rest covers connections that are being closed.
    constexpr double usableConnectionFraction = 0.85;
    /// Penalties above any score that load and latency produce, so that such targets are used last.
    constexpr double stalledPenalty = 1e3;
    constexpr double avoidedPenalty = 1e4;
    constexpr double leavingPenalty = 1e5;
    /// Penalty of a remote data centre as a multiple of the expected latency: traffic between data centres has a cost.
    constexpr double remotePenalty = 2.5;
    /// Weight of the failure rate in the score.
    constexpr double failureRateWeight = 8;
    /// Cost of a new connection as a multiple of the expected latency: it took 17 ms where requests took 13 ms.
    constexpr double connectPenalty = 1.0;
    /// Relative random spread of scores, so that hosts with equal state choose different targets.
    constexpr double scoreJitter = 0.05;
    /// Fraction of a cold target's rate limit that all hosts together use; the credit that each of them may accumulate for a second
    /// comes on top.
    constexpr double coldRateFraction = 0.6;
    /// Upper bound on the latency ratio of one reply: a pause of the target takes many times the expected latency and does not predict the next reply.
    constexpr double maxLatencyRatio = 8;
    /// Weight of one failure in the failure rate: a target that refuses half of its requests is recognized after two requests.
    constexpr double failureSmoothingFactor = 0.5;

} // namespace

TargetPool::TargetPool(DataCentreName localDataCentre, TargetPoolTiming timing, std::uint64_t seed, Observer observer)
    : m_localDataCentre(std::move(localDataCentre))
    , m_timing(timing)
    , m_random(seed)
    , m_observer(std::move(observer))
{
}

void TargetPool::put(const DiscoveredTarget& target, Instant now)
{
    auto [at, added] = m_targets.try_emplace(target.name);
    TargetState& state = at->second;
    bool restarted = !added && (state.target.endpoint != target.endpoint || state.target.startedAt != target.startedAt || state.target.service != target.service);
    if (restarted) {
        m_observer(target.name, "target-restarted", target.endpoint.text());
        removeFromGroup(state);
        state = TargetState();
    }
    if (added || restarted) {
        ServiceGroup& group = m_groups[target.service];
        group.targets.push_back(&state);
        applyPolicy(target.service, group);
        state.decayedAt = now;
        if (added)
            m_observer(target.name, "target-found", target.endpoint.text());
    }
    if (target.draining && !state.leavingSince) {
        state.leavingSince = now;
        m_observer(target.name, "target-leaving", "target reports that it is draining");
    } else if (!target.draining && state.leavingSince) {
        state.leavingSince.reset();
        m_observer(target.name, "target-back", "target is listed as ready again");
    }
    state.target = target;
    state.coldUntil = std::max(state.coldUntil, now + target.coldFor);
}

void TargetPool::remove(const TargetName& name, Instant now)
{
    auto found = m_targets.find(name);
    if (found == m_targets.end() || found->second.leavingSince)
        return;
    found->second.leavingSince = now;
    m_observer(name, "target-leaving", "target's entry was removed");
}

bool TargetPool::hasStalledRequest(const TargetState& state, Instant now)
{
    return std::any_of(state.outstanding.begin(), state.outstanding.end(), [now](const Outstanding& o) { return now - o.sentAt > o.stragglerThreshold; });
}

void TargetPool::decay(TargetState& state, Instant now) const
{
    double elapsed = std::chrono::duration<double>(now - state.decayedAt) / std::chrono::duration<double>(m_timing.latencyTimeConstant);
    constexpr double minElapsed = 0.01;
    if (elapsed < minElapsed)
        return;
    double factor = std::exp(-elapsed);
    state.latencyRatio = 1 + (state.latencyRatio - 1) * factor;
    state.failureRate *= std::exp(-std::chrono::duration<double>(now - state.decayedAt) / std::chrono::duration<double>(m_timing.failureTimeConstant));
    state.decayedAt = now;
}

void TargetPool::applyPolicy(const ServiceName& service, ServiceGroup& group) const
{
    const ServicePolicy* policy = m_routing ? m_routing->service(service) : nullptr;
    double hostFraction = m_shardServices.contains(service) ? m_fanOutFraction : 1 / static_cast<double>(m_hostCount);
    group.connectionLimit = policy ? std::max<std::size_t>(1, static_cast<std::size_t>(policy->maxConnections * usableConnectionFraction * hostFraction)) : 1;
    group.hostFraction = hostFraction;
    group.coldRequestsPerSecond = policy ? policy->coldRequestsPerSecond : 0;
    group.allHostsMayConnect = group.connectionLimit > 1;
    group.routed = m_routedServices.contains(service);
}

void TargetPool::applyPolicies()
{
    for (auto& [service, group] : m_groups)
        applyPolicy(service, group);
}

void TargetPool::setRouting(RoutingTablePointer routing)
{
    m_routing = std::move(routing);
    m_routedServices.clear();
    m_shardServices.clear();
    for (const RoutePolicy& route : m_routing->routes()) {
        m_routedServices.insert(route.shards.begin(), route.shards.end());
        m_shardServices.insert(route.shards.begin(), route.shards.end());
        for (const WeightedService& each : route.services)
            m_routedServices.insert(each.service);
    }
    applyPolicies();
}

void TargetPool::setHostFractions(std::size_t hosts, double fanOut)
{
    std::size_t hostCount = std::max<std::size_t>(1, hosts);
    if (hostCount == m_hostCount && fanOut == m_fanOutFraction)
        return;
    m_hostCount = hostCount;
    m_fanOutFraction = fanOut;
    applyPolicies();
}

void TargetPool::removeFromGroup(TargetState& state)
{
    m_limitedCount -= state.statements.hasRateLimit();
    auto found = m_groups.find(state.target.service);
    if (found == m_groups.end())
        return;
    std::erase(found->second.targets, &state);
    if (found->second.targets.empty())
        m_groups.erase(found);
}

bool TargetPool::coldLimitAllows(const ServiceGroup& group, TargetState& state, Instant now)
{
    if (group.coldRequestsPerSecond <= 0 || now >= state.coldUntil)
        return true;
    double rate = group.coldRequestsPerSecond * coldRateFraction / static_cast<double>(m_hostCount);
    // A random initial credit keeps the hosts from sending in step.
    if (!state.coldCreditAt)
        state.coldCredit = m_random.fraction();
    else
        state.coldCredit += rate * std::chrono::duration<double>(now - *state.coldCreditAt).count();
    state.coldCreditAt = now;
    // Credit not used within a second is lost: if it accumulated, all hosts might spend it within the same second.
    if (state.coldCredit > 1 + rate)
        state.coldCredit -= std::max(1.0, std::floor(state.coldCredit - rate));
    return state.coldCredit >= 1;
}

bool TargetPool::isUsable(const TargetState& state, Instant now) const
{
    if (m_excludedDataCentres.contains(state.target.dataCentre))
        return false;
    auto maySend = [&](const std::optional<Instant>& since) { return !since || now - *since < m_timing.leavingUseTimeout; };
    return maySend(state.leavingSince) && maySend(state.statements.leavingSince());
}

double TargetPool::score(TargetState& state, Instant now)
{
    decay(state, now);
    double load = static_cast<double>(state.outstanding.size()) / state.target.slots;
    double value = state.latencyRatio * (1 + load) * (1 + failureRateWeight * state.failureRate);
    value += state.target.dataCentre == m_localDataCentre ? 0 : remotePenalty;
    if (state.openConnections <= state.outstanding.size())
        value += connectPenalty;
    value *= 1 + scoreJitter * m_random.fraction();
    if (hasStalledRequest(state, now))
        value += stalledPenalty;
    if (now < state.avoidUntil)
        value += avoidedPenalty;
    if (isLeaving(state))
        value += leavingPenalty;
    return value;
}

std::optional<TargetPool::Choice> TargetPool::choose(const ServiceName& service, const std::vector<TargetName>& tried, Instant now, ChoiceStatus& status)
{
    status = ChoiceStatus::NoTarget;
    auto found = m_groups.find(service);
    if (found == m_groups.end())
        return std::nullopt;
    const ServiceGroup& group = found->second;
    TargetState* best = nullptr;
    double bestScore = 0;
    for (TargetState* candidate : group.targets) {
        TargetState& state = *candidate;
        if (!isUsable(state, now) || std::find(tried.begin(), tried.end(), state.target.name) != tried.end())
            continue;
        if (state.outstanding.size() >= group.connectionLimit || !coldLimitAllows(group, state, now)) {
            status = ChoiceStatus::Saturated;
            continue;
        }
        if (!state.statements.accepts(group.hostFraction, state.outstanding.empty(), now)) {
            if (status == ChoiceStatus::NoTarget)
                status = ChoiceStatus::Limited;
            continue;
        }
        double value = score(state, now);
        if (!best || value < bestScore) {
            best = &state;
            bestScore = value;
        }
    }
    if (!best)
        return std::nullopt;
    status = ChoiceStatus::Chosen;
    return Choice { best->target.name, best->target.endpoint, bestScore < stalledPenalty };
}

void TargetPool::recordAttempt(const TargetName& name, AttemptNumber attempt, Duration expectedLatency, Duration stragglerThreshold, Instant now)
{
    auto found = m_targets.find(name);
    if (found == m_targets.end())
        return;
    TargetState& state = found->second;
    state.outstanding.push_back({ attempt, now, expectedLatency, stragglerThreshold });
    state.statements.recordRequest(now);
    if (state.coldCreditAt && now < state.coldUntil)
        state.coldCredit -= 1;
}

std::optional<TargetPool::Outstanding> TargetPool::removeOutstanding(TargetState& state, AttemptNumber attempt)
{
    auto at = std::find_if(state.outstanding.begin(), state.outstanding.end(), [attempt](const Outstanding& o) { return o.attempt == attempt; });
    if (at == state.outstanding.end())
        return std::nullopt;
    Outstanding removed = *at;
    state.outstanding.erase(at);
    return removed;
}

void TargetPool::recordFailure(TargetState& state, Duration backoff, std::string_view reason, Instant now)
{
    decay(state, now);
    state.failureRate += failureSmoothingFactor * (1 - state.failureRate);
    state.avoidUntil = std::max(state.avoidUntil, now + backoff);
    if (++state.consecutiveFailures == 1)
        m_observer(state.target.name, "target-doubted", reason);
}

void TargetPool::recordReply(const TargetName& name, AttemptNumber attempt, const TargetReply& reply, Instant now)
{
    auto found = m_targets.find(name);
    if (found == m_targets.end())
        return;
    TargetState& state = found->second;
    auto outstanding = removeOutstanding(state, attempt);
    if (!outstanding)
        return;
    if (reply.outcome == TargetReply::ReplyOutcome::Answered && !reply.addressReused)
        recordStatements(state, reply, now);
    Duration backoff = std::min(m_timing.maxBackoff, m_timing.initialBackoff * (1U << std::min(state.consecutiveFailures, 5U)));
    if (reply.addressReused) {
        m_observer(name, "target-replaced", "another target now has its address");
        if (!state.leavingSince)
            state.leavingSince = now - m_timing.leavingUseTimeout;
    } else if (reply.outcome != TargetReply::ReplyOutcome::Answered) {
        recordFailure(state, backoff, reply.cause, now);
    } else if (reply.notRun) {
        recordFailure(state, m_timing.refusalBackoff, "target refused a request", now);
    } else if (reply.status >= 500) {
        recordFailure(state, m_timing.refusalBackoff, "target replied with a server error", now);
    } else {
        decay(state, now);
        double ratio = std::chrono::duration<double>(now - outstanding->sentAt) / std::chrono::duration<double>(std::max(outstanding->expectedLatency, Duration(1)));
        state.latencyRatio += smoothingFactor * (std::min(ratio, maxLatencyRatio) - state.latencyRatio);
        state.failureRate -= smoothingFactor * state.failureRate;
        if (state.consecutiveFailures > 1)
            m_observer(name, "target-trusted", "target replied");
        state.consecutiveFailures = 0;
        state.avoidUntil = now;
    }
}

void TargetPool::recordStatements(TargetState& state, const TargetReply& reply, Instant now)
{
    auto group = m_groups.find(state.target.service);
    double hostFraction = group == m_groups.end() ? 1 : group->second.hostFraction;
    m_limitedCount -= state.statements.hasRateLimit();
    state.statements.record(reply, hostFraction, m_random.fraction(), now, [&](std::string_view event, const std::string& detail) { m_observer(state.target.name, event, detail); });
    m_limitedCount += state.statements.hasRateLimit();
    m_latestRefusalEnd = std::max(m_latestRefusalEnd, state.statements.refusesUntil());
}

Duration TargetPool::limitWait(const ServiceName& service, Instant now)
{
    Duration wait = Duration::max();
    auto found = m_groups.find(service);
    if (found == m_groups.end())
        return Duration(0);
    for (TargetState* state : found->second.targets) {
        if (isUsable(*state, now))
            wait = std::min(wait, state->statements.wait(now).value_or(Duration::max()));
    }
    return wait == Duration::max() ? Duration(0) : wait;
}

void TargetPool::recordAbandoned(const TargetName& name, AttemptNumber attempt, bool unresponsive, Instant now)
{
    auto found = m_targets.find(name);
    if (found == m_targets.end() || !removeOutstanding(found->second, attempt) || !unresponsive)
        return;
    TargetState& state = found->second;
    recordFailure(state, std::min(m_timing.maxBackoff, m_timing.initialBackoff * (1U << std::min(state.consecutiveFailures, 5U))), "target did not reply", now);
}

void TargetPool::setOpenConnections(const TargetName& name, std::size_t open, Instant now)
{
    auto found = m_targets.find(name);
    if (found == m_targets.end())
        return;
    if (open < found->second.openConnections)
        found->second.connectAfter = now + m_timing.reopenDelay;
    found->second.openConnections = open;
}

std::vector<TargetPool::Choice> TargetPool::chooseUnconnected(std::size_t maxCount, Instant now)
{
    std::vector<Choice> choices;
    for (auto& [service, group] : m_groups) {
        if (!group.routed)
            continue;
        auto isHealthy = [&](const TargetState* state) { return isUsable(*state, now) && !isLeaving(*state) && now >= state->avoidUntil && now >= state->coldUntil && now >= state->connectAfter; };
        auto isLocal = [&](const TargetState* state) { return state->target.dataCentre == m_localDataCentre; };
        bool anyConnected = std::any_of(group.targets.begin(), group.targets.end(), [&](const TargetState* state) { return isHealthy(state) && state->openConnections; });
        for (TargetState* state : group.targets) {
            if (choices.size() >= maxCount)
                return choices;
            if (!isHealthy(state) || state->openConnections || !(group.allHostsMayConnect || isLocal(state) || !anyConnected))
                continue;
            choices.push_back({ state->target.name, state->target.endpoint });
            anyConnected = true;
        }
    }
    return choices;
}

ShardAvailability TargetPool::shardAvailability(const std::vector<ServiceName>& services, Instant now) const
{
    ShardAvailability availability;
    for (std::size_t i = 0; i < services.size(); ++i) {
        auto found = m_groups.find(services[i]);
        if (found == m_groups.end())
            continue;
        std::set<DataCentreName> dataCentres;
        for (const TargetState* state : found->second.targets) {
            if (isUsable(*state, now) && !isLeaving(*state) && now >= state->avoidUntil)
                dataCentres.insert(state->target.dataCentre);
        }
        bool remoteOnly = !dataCentres.empty() && !dataCentres.contains(m_localDataCentre);
        if (remoteOnly)
            availability.remoteOnlyShards.push_back(i);
        for (const DataCentreName& dataCentre : dataCentres) {
            ++availability.shardCounts[dataCentre];
            availability.remoteOnlyShardCounts[dataCentre] += remoteOnly;
        }
    }
    return availability;
}

void TargetPool::removeExpired(Instant now)
{
    for (auto each = m_targets.begin(); each != m_targets.end();) {
        TargetState& state = each->second;
        bool expired = state.leavingSince && state.outstanding.empty() && now - *state.leavingSince >= m_timing.removalTimeout;
        if (expired)
            removeFromGroup(state);
        each = expired ? m_targets.erase(each) : std::next(each);
    }
}

} // namespace pimentopoint
