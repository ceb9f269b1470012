#include "TargetLinks.h"

#include <algorithm>

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
        if (last->endpoint() == send.endpoint && last->fresh(m_clock.now())) {
            link = last;
        } else {
            last->close();
            count(send.target, -1);
        }
    }
    if (!link) {
        link = make(send.endpoint);
        count(send.target, 1);
    }
    m_busy.emplace(send.send, link);
    link->start(send);
}

void TargetLinks::open(const TargetName& target, const Endpoint& endpoint)
{
    Pointer link = make(endpoint);
    count(target, 1);
    link->open(target);
}

TargetLinks::Pointer TargetLinks::make(const Endpoint& endpoint)
{
    m_metrics.add("pimentopoint_target_connections_total", "");
    TargetLink::Hooks hooks;
    hooks.idle = [this](const Pointer& freed, bool usable) { this->idle(freed, usable); };
    hooks.ended = [this](SendId id, TargetReply reply) {
        m_busy.erase(id);
        m_ended(id, std::move(reply));
    };
    return std::make_shared<TargetLink>(m_context, m_clock, m_dialect, endpoint, std::move(hooks));
}

void TargetLinks::count(const TargetName& target, int change)
{
    std::size_t& open = m_open[target];
    open += static_cast<std::size_t>(change);
    std::size_t left = open;
    if (!left)
        m_open.erase(target);
    m_changed(target, left);
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

void TargetLinks::idle(const Pointer& link, bool usable)
{
    auto& idle = m_idle[link->target()];
    std::erase(idle, link);
    if (usable)
        idle.push_back(link);
    else
        count(link->target(), -1);
}

void TargetLinks::sweep(Instant now)
{
    for (auto& [target, links] : m_idle) {
        std::erase_if(links, [&](const Pointer& link) {
            if (link->fresh(now))
                return false;
            link->close();
            count(link->target(), -1);
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

void TargetLinks::closeAll()
{
    for (auto& [id, link] : m_busy)
        link->close();
    for (auto& [target, links] : m_idle) {
        for (const Pointer& link : links)
            link->close();
    }
    m_busy.clear();
    m_idle.clear();
}

} // namespace pimentopoint
