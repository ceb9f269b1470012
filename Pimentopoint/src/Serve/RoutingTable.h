#pragma once

#include "RoutePolicy.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace pimentopoint {

/// \class RoutingTable
/// \ingroup Serve
/// \brief Immutable set of all routes, services and limits of one configuration version.
class RoutingTable {
public:
    struct Contents {
        ConfigurationVersion version;
        std::vector<RoutePolicy> routes;
        std::vector<ServicePolicy> services;
        CallerLimits limits;
    };

    explicit RoutingTable(Contents contents);

    ConfigurationVersion version() const { return m_contents.version; }
    const std::vector<RoutePolicy>& routes() const { return m_contents.routes; }
    const CallerLimits& limits() const { return m_contents.limits; }
    /// \returns the route of \a host with the longest prefix of \a path, or null
    const RoutePolicy* match(std::string_view host, std::string_view path) const;
    /// \returns the policy of \a service, or null
    const ServicePolicy* service(const ServiceName& service) const;

private:
    Contents m_contents;
    std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost; ///< Indexes of each HTTP host's routes, longest prefix first.
    std::map<ServiceName, std::size_t> m_serviceIndexes;
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

/// \returns \a host in lower case and without its port
std::string canonicalHost(std::string_view host);

} // namespace pimentopoint
