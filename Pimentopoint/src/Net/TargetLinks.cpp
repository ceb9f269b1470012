#include "TargetLinks.h"

#include <algorithm>
#include <iterator>

namespace pimentopoint {

TargetLinks::TargetLinks(boost::asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, Metrics& metrics, Ended ended, Changed changed)
    : m_context(context)
    , m_clock(clock)
    , m_dialect(dialect)
    , m_metrics(metrics)
    , m_ended(std::move(ended))
    , m_changed(std::move(changed))
{
}

void TargetLinks::send(const CallActions::Send& send)
{
    Pointer link;
    auto& idle = m_idle[send.target];
    while (!idle.empty() && !link) {
        Pointer last = idle.back();
        idle.pop_back();
        if (last->endpoint() == send.endpoint && last->fresh(m_clock.now()))
            link = last;
        else
            last->close();
    }
    if (!link)
        link = make(send.target, send.endpoint);
    m_busy.emplace(send.send, link);
    link->start(send);
}

void TargetLinks::open(const TargetName& target, const Endpoint& endpoint)
{
    make(target, endpoint)->open(target);
}

TargetLinks::Pointer TargetLinks::make(const TargetName& target, const Endpoint& endpoint)
{
    m_metrics.add("pimentopoint_target_connections_total", "");
    TargetLink::Hooks hooks;
    hooks.free = [this](const Pointer& link) { m_idle[link->target()].push_back(link); };
    hooks.closed = [this](const Pointer& link) { closed(link); };
    hooks.begun = [this](SendId id) { m_begun(id); };
    hooks.ended = [this](SendId id, TargetReply reply) {
        m_busy.erase(id);
        m_ended(id, std::move(reply));
    };
    setOpen(target, m_open[target] + 1);
    return std::make_shared<TargetLink>(m_context, m_clock, m_dialect, endpoint, std::move(hooks));
}

void TargetLinks::closed(const Pointer& link)
{
    auto idle = m_idle.find(link->target());
    if (idle != m_idle.end())
        std::erase(idle->second, link);
    setOpen(link->target(), m_open[link->target()] - 1);
}

void TargetLinks::setOpen(const TargetName& target, std::size_t open)
{
    m_open[target] = open;
    if (!open)
        m_open.erase(target);
    m_changed(target, open);
}

void TargetLinks::abort(SendId send)
{
    auto found = m_busy.find(send);
    if (found == m_busy.end())
        return;
    Pointer link = found->second;
    m_busy.erase(found);
    link->abort();
}

void TargetLinks::sweep(Instant now)
{
    std::vector<Pointer> stale;
    for (const auto& [target, links] : m_idle)
        std::copy_if(links.begin(), links.end(), std::back_inserter(stale), [now](const Pointer& link) { return !link->fresh(now); });
    for (const Pointer& link : stale)
        link->close();
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace pimentopoint
