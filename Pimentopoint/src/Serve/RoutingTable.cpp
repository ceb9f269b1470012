#include "RoutingTable.h"

#include <algorithm>
#include <cctype>

namespace pimentopoint {

RoutingTable::RoutingTable(Parts parts)
    : m_parts(std::move(parts))
{
    for (std::size_t i = 0; i < m_parts.routes.size(); ++i)
        m_byHost[canonicalHost(m_parts.routes[i].host)].push_back(i);
    for (auto& [host, indexes] : m_byHost)
        std::stable_sort(indexes.begin(), indexes.end(),
            [this](std::size_t a, std::size_t b) { return m_parts.routes[a].prefix.size() > m_parts.routes[b].prefix.size(); });
    for (std::size_t i = 0; i < m_parts.services.size(); ++i)
        m_services[m_parts.services[i].name] = i;
}

const RoutePolicy* RoutingTable::match(std::string_view host, std::string_view path) const
{
    auto found = m_byHost.find(canonicalHost(host));
    if (found == m_byHost.end())
        return nullptr;
    for (std::size_t index : found->second) {
        if (path.starts_with(m_parts.routes[index].prefix))
            return &m_parts.routes[index];
    }
    return nullptr;
}

const ServicePolicy* RoutingTable::service(const ServiceName& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &m_parts.services[found->second];
}

std::string canonicalHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace pimentopoint
