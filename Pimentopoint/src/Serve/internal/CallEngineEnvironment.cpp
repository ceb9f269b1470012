#include "CallEngineEnvironment.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time for a host to begin what it runs for this one: a new connection, and its processor busy for a moment; more where the objective allows.
    constexpr Duration shortestAcknowledgement = std::chrono::milliseconds(50);
    constexpr double acknowledgementPart = 0.25;

} // namespace

CallEnvironment::AttemptResult CallEngine::Environment::startAttempt(std::size_t index, bool extra, Instant now)
{
    SubRequest& part = m_run.subRequest(index);
    TargetPool::ChoiceStatus shortage = TargetPool::ChoiceStatus::Chosen;
    auto choice = m_engine.m_pool.choose(part.service, part.triedTargets, now, shortage);
    if (!choice)
        return shortage == TargetPool::ChoiceStatus::Saturated ? AttemptResult::Saturated : AttemptResult::NoTarget;
    // A repeat to a target that stands still as well helps nobody.
    if (extra && !part.outstanding.empty() && !choice->healthy)
        return AttemptResult::BudgetExhausted;
    if (extra && !m_engine.m_extraAttemptBudgets.tryAcquire(part.service))
        return AttemptResult::BudgetExhausted;
    if (part.triedTargets.empty())
        m_engine.m_extraAttemptBudgets.recordRequest(part.service, m_run.route().isFanOut(), now);
    m_engine.m_recentAttempts.add(1, now);
    AttemptNumber id(++m_engine.m_lastAttemptId);
    Duration late = m_run.stragglerThreshold();
    m_engine.m_attempts.emplace(id, AttemptState { m_id, index, choice->name, part.service, m_run.route().name, now, late });
    m_engine.m_pool.recordAttempt(choice->name, id, m_engine.routeStatistics(m_run.route().name).expectedLatency(m_run.route()), late, now);
    m_actions.attempts.push_back({ id, choice->name, choice->endpoint, m_run.requestPointer(), m_run.deadline(), !m_run.route().isFanOut() });
    part.triedTargets.push_back(choice->name);
    part.outstanding.push_back(id);
    ++part.attemptCount;
    if (extra)
        m_engine.m_metrics.add("pimentopoint_extra_sends_total", "");
    return AttemptResult::Started;
}

std::optional<CallEnvironment::DelegatedGroup> CallEngine::Environment::delegate(Instant now)
{
    if (m_engine.m_aggregators.empty())
        return std::nullopt;
    const RoutePolicy& route = m_run.route();
    const ShardAvailability& reach = m_engine.shardAvailability(route, now);
    bool onlyAway = m_run.request().delegation.has_value();
    auto choice = m_engine.m_aggregators.choose(reach, onlyAway, now);
    if (!choice)
        return std::nullopt;
    AttemptNumber id(++m_engine.m_lastAttemptId);
    TargetName target(choice->name.value());
    m_engine.m_attempts.emplace(id, AttemptState { m_id, 0, target, ServiceName(), route.name, now, route.objective, choice->name });
    m_engine.m_aggregators.recordAttempt(choice->name, id, route.objective, now);
    m_engine.m_calls.at(m_id).aggregator = choice->name;
    m_engine.m_metrics.add("pimentopoint_delegated_calls_total", "");
    DelegatedGroup group { id, {}, now + std::max(shortestAcknowledgement, scaled(route.objective, acknowledgementPart) + 2 * choice->networkDelay) };
    Delegation delegation { m_run.routing().version(), now - m_run.request().arrivedAt + choice->networkDelay, {} };
    if (choice->scope == AggregatorPool::Scope::RemoteOnlyShards) {
        group.subRequests = reach.remoteOnlyShards;
        delegation.shards = reach.remoteOnlyShards;
    } else {
        for (std::size_t i = 0; i < m_run.subRequests().size(); ++i)
            group.subRequests.push_back(i);
    }
    m_actions.attempts.push_back({ id, target, choice->endpoint, m_run.requestPointer(), m_run.deadline(), false, std::move(delegation) });
    return group;
}

void CallEngine::Environment::release(AttemptNumber send, bool silent, Instant now)
{
    auto found = m_engine.m_attempts.find(send);
    if (found == m_engine.m_attempts.end())
        return;
    if (found->second.aggregator) {
        // That host in turn gives its targets the time to end.
        m_engine.m_aggregators.recordAbandoned(*found->second.aggregator, send, silent, now);
        m_engine.m_attempts.erase(found);
        m_actions.aborts.push_back(send);
        return;
    }
    found->second.released = true;
    m_engine.m_timers.push({ now + m_engine.m_limits.releaseTimeout, CallId(0), send });
}

} // namespace pimentopoint
