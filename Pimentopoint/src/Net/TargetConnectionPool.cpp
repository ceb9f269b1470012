#include "TargetConnectionPool.h"

#include <algorithm>
#include <iterator>

namespace pimentopoint {

TargetConnectionPool::TargetConnectionPool(boost::asio::io_context& context, const Clock& clock, const HeaderNames& dialect, Metrics& metrics, CompletedHook ended, OpenCountHook changed)
    : m_context(context)
    , m_clock(clock)
    , m_headerNames(dialect)
    , m_metrics(metrics)
    , m_onCompleted(std::move(ended))
    , m_onOpenCountChanged(std::move(changed))
{
}

void TargetConnectionPool::send(const CallActions::Attempt& send)
{
    ConnectionPointer link;
    auto& idle = m_idle[send.target];
    while (!idle.empty() && !link) {
        ConnectionPointer last = idle.back();
        idle.pop_back();
        if (last->endpoint() == send.endpoint && last->reusable(m_clock.now()))
            link = last;
        else
            last->close();
    }
    if (!link)
        link = createConnection(send.target, send.endpoint);
    m_active.emplace(send.id, link);
    link->start(send);
}

void TargetConnectionPool::open(const TargetName& target, const Endpoint& endpoint)
{
    createConnection(target, endpoint)->open(target);
}

TargetConnectionPool::ConnectionPointer TargetConnectionPool::createConnection(const TargetName& target, const Endpoint& endpoint)
{
    m_metrics.add("pimentopoint_target_connections_total", "");
    TargetConnection::Hooks hooks;
    hooks.idle = [this](const ConnectionPointer& link) { m_idle[link->target()].push_back(link); };
    hooks.closed = [this](const ConnectionPointer& link) { handleClosed(link); };
    hooks.acknowledged = [this](AttemptNumber id) { m_onAcknowledged(id); };
    hooks.completed = [this](AttemptNumber id, TargetReply reply) {
        m_active.erase(id);
        m_onCompleted(id, std::move(reply));
    };
    setOpenCount(target, m_openCounts[target] + 1);
    return std::make_shared<TargetConnection>(m_context, m_clock, m_headerNames, endpoint, std::move(hooks));
}

void TargetConnectionPool::handleClosed(const ConnectionPointer& link)
{
    auto idle = m_idle.find(link->target());
    if (idle != m_idle.end())
        std::erase(idle->second, link);
    setOpenCount(link->target(), m_openCounts[link->target()] - 1);
}

void TargetConnectionPool::setOpenCount(const TargetName& target, std::size_t open)
{
    m_openCounts[target] = open;
    if (!open)
        m_openCounts.erase(target);
    m_onOpenCountChanged(target, open);
}

void TargetConnectionPool::abort(AttemptNumber send)
{
    auto found = m_active.find(send);
    if (found == m_active.end())
        return;
    ConnectionPointer link = found->second;
    m_active.erase(found);
    link->abort();
}

void TargetConnectionPool::closeExpired(Instant now)
{
    std::vector<ConnectionPointer> stale;
    for (const auto& [target, links] : m_idle)
        std::copy_if(links.begin(), links.end(), std::back_inserter(stale), [now](const ConnectionPointer& link) { return !link->reusable(now); });
    for (const ConnectionPointer& link : stale)
        link->close();
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace pimentopoint
