#include "CallEngineEnvironment.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time for an aggregator to acknowledge delegated sub-requests: covers a new connection and a briefly busy processor; longer where the objective allows.
    constexpr Duration minAcknowledgementTimeout = std::chrono::milliseconds(50);
    constexpr double acknowledgementFraction = 0.25;

} // namespace

CallEnvironment::AttemptResult CallEngine::Environment::startAttempt(std::size_t index, bool extra, Instant now)
{
    SubRequest& subRequest = m_run.subRequest(index);
    if (m_engine.quarantineOf(m_run.request(), now))
        return AttemptResult::Quarantined;
    TargetPool::ChoiceStatus status = TargetPool::ChoiceStatus::Chosen;
    auto choice = m_engine.m_pool.choose(subRequest.service, subRequest.triedTargets, now, status);
    if (!choice) {
        if (status == TargetPool::ChoiceStatus::Saturated)
            return AttemptResult::Saturated;
        return status == TargetPool::ChoiceStatus::Limited ? AttemptResult::Limited : AttemptResult::NoTarget;
    }
    // A hedge at a target that is stalled, avoided or leaving would not help.
    if (extra && !subRequest.outstanding.empty() && !choice->healthy)
        return AttemptResult::ExtraDenied;
    // Without the attempts that show whether a request crashes targets, its next call would cost a target of each shard again.
    if (extra && !m_engine.m_extraAttemptBudgets.tryAcquire(subRequest.service, m_run.probing()))
        return AttemptResult::ExtraDenied;
    if (subRequest.triedTargets.empty())
        m_engine.m_extraAttemptBudgets.recordRequest(subRequest.service, m_run.route().isFanOut(), now);
    m_engine.m_recentAttempts.add(1, now);
    AttemptNumber id(++m_engine.m_lastAttemptId);
    Duration stragglerThreshold = m_run.stragglerThreshold();
    m_engine.m_attempts.emplace(id, AttemptState { m_id, index, choice->name, subRequest.service, m_run.route().name, now, stragglerThreshold, m_engine.m_calls.at(m_id).run, choice->endpoint });
    m_engine.m_pool.recordAttempt(choice->name, id, m_engine.routeStatistics(m_run.route().name).expectedLatency(m_run.route()), stragglerThreshold, now);
    m_actions.attempts.push_back({ id, choice->name, choice->endpoint, m_run.requestPointer(), m_run.deadline(), !m_run.route().isFanOut() });
    subRequest.triedTargets.push_back(choice->name);
    subRequest.outstanding.push_back(id);
    ++subRequest.attemptCount;
    if (extra)
        m_engine.m_metrics.add("pimentopoint_extra_sends_total", "");
    return AttemptResult::Started;
}

std::optional<Duration> CallEngine::Environment::limitWait(std::size_t index, Instant now)
{
    if (!m_engine.m_pool.hasRequestLimits(now))
        return std::nullopt;
    const SubRequest& subRequest = m_run.subRequest(index);
    TargetPool::ChoiceStatus status = TargetPool::ChoiceStatus::Chosen;
    m_engine.m_pool.choose(subRequest.service, subRequest.triedTargets, now, status);
    return status == TargetPool::ChoiceStatus::Limited ? std::optional(m_engine.m_pool.limitWait(subRequest.service, now)) : std::nullopt;
}

std::optional<CallEnvironment::DelegatedGroup> CallEngine::Environment::delegate(Instant now)
{
    if (m_engine.m_aggregators.empty())
        return std::nullopt;
    const RoutePolicy& route = m_run.route();
    const ShardAvailability& availability = m_engine.shardAvailability(route, now);
    bool remoteOnly = m_run.request().delegation.has_value();
    auto choice = m_engine.m_aggregators.choose(availability, remoteOnly, now);
    if (!choice)
        return std::nullopt;
    AttemptNumber id(++m_engine.m_lastAttemptId);
    TargetName target(choice->name.value());
    m_engine.m_attempts.emplace(id, AttemptState { m_id, 0, target, ServiceName(), route.name, now, route.objective, m_engine.m_calls.at(m_id).run, choice->endpoint, choice->name });
    m_engine.m_aggregators.recordAttempt(choice->name, id, route.objective, now);
    m_engine.m_calls.at(m_id).aggregator = choice->name;
    m_engine.m_metrics.add("pimentopoint_delegated_calls_total", "");
    DelegatedGroup group { id, {}, now + std::max(minAcknowledgementTimeout, scaled(route.objective, acknowledgementFraction) + 2 * choice->networkDelay) };
    Delegation delegation { m_run.routing().version(), now - m_run.request().arrivedAt + choice->networkDelay, {} };
    if (choice->scope == AggregatorPool::Scope::RemoteOnlyShards) {
        group.subRequests = availability.remoteOnlyShards;
        delegation.shards = availability.remoteOnlyShards;
    } else {
        for (std::size_t i = 0; i < m_run.subRequests().size(); ++i)
            group.subRequests.push_back(i);
    }
    m_actions.attempts.push_back({ id, target, choice->endpoint, m_run.requestPointer(), m_run.deadline(), false, std::move(delegation) });
    return group;
}

void CallEngine::Environment::release(AttemptNumber attempt, bool unresponsive, Instant now)
{
    auto found = m_engine.m_attempts.find(attempt);
    if (found == m_engine.m_attempts.end())
        return;
    if (found->second.aggregator) {
        // The aggregator in turn lets its own attempts run until their release timeout.
        m_engine.m_aggregators.recordAbandoned(*found->second.aggregator, attempt, unresponsive, now);
        m_engine.m_attempts.erase(found);
        m_actions.aborts.push_back(attempt);
        return;
    }
    found->second.released = true;
    m_engine.m_timers.push({ now + m_engine.m_limits.releaseTimeout, CallId(0), attempt });
}

} // namespace pimentopoint
