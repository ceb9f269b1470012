#include "CallEngineEnvironment.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time for a host to begin what it runs for this one: a new connection, and its processor busy for a moment; more where the objective allows.
    constexpr Duration shortestAcknowledgement = std::chrono::milliseconds(50);
    constexpr double acknowledgementPart = 0.25;

} // namespace

CallEnvironment::Obstacle CallEngine::Environment::send(std::size_t index, bool extra, Instant now)
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
    if (part.tried.empty())
        m_engine.m_repeats.earn(part.service, m_run.route().fansOut(), now);
    m_engine.m_load.add(1, now);
    SendId id(++m_engine.m_lastSend);
    Duration late = m_run.lateAfter();
    m_engine.m_sends.emplace(id, SendState { m_id, index, choice->name, part.service, m_run.route().name, now, late });
    m_engine.m_pool.sent(choice->name, id, m_engine.memory(m_run.route().name).expected(m_run.route()), late, now);
    m_actions.sends.push_back({ id, choice->name, choice->endpoint, m_run.requestPointer(), m_run.deadline(), !m_run.route().fansOut() });
    part.tried.push_back(choice->name);
    part.outstanding.push_back(id);
    ++part.arrivals;
    if (extra)
        m_engine.m_metrics.add("pimentopoint_extra_sends_total", "");
    return Obstacle::None;
}

std::optional<CallEnvironment::Group> CallEngine::Environment::delegate(Instant now)
{
    if (m_engine.m_aggregators.empty())
        return std::nullopt;
    const RoutePolicy& route = m_run.route();
    const ShardReach& reach = m_engine.reach(route, now);
    bool onlyAway = m_run.request().delegation.has_value();
    auto choice = m_engine.m_aggregators.choose(reach, onlyAway, now);
    if (!choice)
        return std::nullopt;
    SendId id(++m_engine.m_lastSend);
    TargetName target(choice->name.value());
    m_engine.m_sends.emplace(id, SendState { m_id, 0, target, ServiceName(), route.name, now, route.objective, choice->name });
    m_engine.m_aggregators.sent(choice->name, id, route.objective, now);
    m_engine.m_calls.at(m_id).aggregator = choice->name;
    m_engine.m_metrics.add("pimentopoint_delegated_calls_total", "");
    Group group { id, {}, now + std::max(shortestAcknowledgement, scaled(route.objective, acknowledgementPart) + 2 * choice->ways) };
    Delegation delegation { m_run.routing().version(), now - m_run.request().arrivedAt + choice->ways, {} };
    if (choice->scope == AggregatorPool::Scope::AwayShards) {
        group.parts = reach.away;
        delegation.shards = reach.away;
    } else {
        for (std::size_t i = 0; i < m_run.parts().size(); ++i)
            group.parts.push_back(i);
    }
    m_actions.sends.push_back({ id, target, choice->endpoint, m_run.requestPointer(), m_run.deadline(), false, std::move(delegation) });
    return group;
}

void CallEngine::Environment::release(SendId send, bool silent, Instant now)
{
    auto found = m_engine.m_sends.find(send);
    if (found == m_engine.m_sends.end())
        return;
    if (found->second.aggregator) {
        // That host in turn gives its targets the time to end.
        m_engine.m_aggregators.abandoned(*found->second.aggregator, send, silent, now);
        m_engine.m_sends.erase(found);
        m_actions.aborts.push_back(send);
        return;
    }
    found->second.released = true;
    m_engine.m_timers.push({ now + m_engine.m_limits.releaseTime, CallId(0), send });
}

} // namespace pimentopoint
