#include "TargetConnectionPool.h"

#include <algorithm>
#include <iterator>

namespace pimentopoint {

TargetConnectionPool::TargetConnectionPool(boost::asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, Metrics& metrics, MemoryBudget& memory, CompletedHook onCompleted, OpenCountHook onOpenCountChanged)
    : m_context(context)
    , m_clock(clock)
    , m_headerNames(headerNames)
    , m_metrics(metrics)
    , m_memory(memory)
    , m_onCompleted(std::move(onCompleted))
    , m_onOpenCountChanged(std::move(onOpenCountChanged))
{
}

void TargetConnectionPool::send(const CallActions::Attempt& attempt)
{
    ConnectionPointer connection;
    auto& idle = m_idle[attempt.target];
    while (!idle.empty() && !connection) {
        ConnectionPointer candidate = idle.back();
        idle.pop_back();
        if (candidate->endpoint() == attempt.endpoint && candidate->reusable(m_clock.now()))
            connection = candidate;
        else
            candidate->close();
    }
    if (!connection)
        connection = createConnection(attempt.target, attempt.endpoint);
    m_active.emplace(attempt.id, connection);
    connection->start(attempt);
}

void TargetConnectionPool::open(const TargetName& target, const Endpoint& endpoint)
{
    createConnection(target, endpoint)->open(target);
}

TargetConnectionPool::ConnectionPointer TargetConnectionPool::createConnection(const TargetName& target, const Endpoint& endpoint)
{
    m_metrics.add("pimentopoint_target_connections_total", "");
    TargetConnection::Hooks hooks;
    hooks.idle = [this](const ConnectionPointer& connection) {
        m_idle[connection->target()].push_back(connection);
        finishCheck(connection, true);
    };
    hooks.closed = [this](const ConnectionPointer& connection) { handleClosed(connection); };
    hooks.acknowledged = [this](AttemptNumber id) { m_onAcknowledged(id); };
    hooks.completed = [this](AttemptNumber id, TargetReply reply) {
        m_active.erase(id);
        m_onCompleted(id, std::move(reply));
    };
    setOpenCount(target, m_openCounts[target] + 1);
    return std::make_shared<TargetConnection>(m_context, m_clock, m_headerNames, m_memory, endpoint, std::move(hooks));
}

void TargetConnectionPool::handleClosed(const ConnectionPointer& connection)
{
    auto idle = m_idle.find(connection->target());
    if (idle != m_idle.end())
        std::erase(idle->second, connection);
    setOpenCount(connection->target(), m_openCounts[connection->target()] - 1);
    finishCheck(connection, false);
}

void TargetConnectionPool::check(AttemptNumber attempt, const TargetName& target, const Endpoint& endpoint, std::function<void(AttemptNumber, bool)> onChecked)
{
    ConnectionPointer connection = createConnection(target, endpoint);
    m_checks[connection] = { attempt, std::move(onChecked) };
    connection->open(target);
}

void TargetConnectionPool::finishCheck(const ConnectionPointer& connection, bool accepted)
{
    auto check = m_checks.extract(connection);
    if (check)
        check.mapped().onChecked(check.mapped().attempt, accepted);
}

void TargetConnectionPool::setOpenCount(const TargetName& target, std::size_t open)
{
    m_openCounts[target] = open;
    if (!open)
        m_openCounts.erase(target);
    m_onOpenCountChanged(target, open);
}

void TargetConnectionPool::abort(AttemptNumber attempt)
{
    auto found = m_active.find(attempt);
    if (found == m_active.end())
        return;
    ConnectionPointer connection = found->second;
    m_active.erase(found);
    connection->abort();
}

void TargetConnectionPool::closeExpired(Instant now)
{
    std::vector<ConnectionPointer> stale;
    for (const auto& [target, connections] : m_idle)
        std::copy_if(connections.begin(), connections.end(), std::back_inserter(stale), [now](const ConnectionPointer& connection) { return !connection->reusable(now); });
    for (const ConnectionPointer& connection : stale)
        connection->close();
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace pimentopoint
