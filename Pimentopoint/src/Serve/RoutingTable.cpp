#include "RoutingTable.h"

#include <algorithm>
#include <cctype>

namespace pimentopoint {

RoutingTable::RoutingTable(Contents contents)
    : m_contents(std::move(contents))
{
    for (std::size_t i = 0; i < m_contents.routes.size(); ++i)
        m_routesByHost[canonicalHost(m_contents.routes[i].host)].push_back(i);
    for (auto& [host, indexes] : m_routesByHost)
        std::stable_sort(indexes.begin(), indexes.end(),
            [this](std::size_t a, std::size_t b) { return m_contents.routes[a].prefix.size() > m_contents.routes[b].prefix.size(); });
    for (std::size_t i = 0; i < m_contents.services.size(); ++i)
        m_serviceIndexes[m_contents.services[i].name] = i;
}

const RoutePolicy* RoutingTable::match(std::string_view host, std::string_view path) const
{
    auto found = m_routesByHost.find(canonicalHost(host));
    if (found == m_routesByHost.end())
        return nullptr;
    for (std::size_t index : found->second) {
        if (path.starts_with(m_contents.routes[index].prefix))
            return &m_contents.routes[index];
    }
    return nullptr;
}

const ServicePolicy* RoutingTable::service(const ServiceName& service) const
{
    auto found = m_serviceIndexes.find(service);
    return found == m_serviceIndexes.end() ? nullptr : &m_contents.services[found->second];
}

std::string canonicalHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace pimentopoint
