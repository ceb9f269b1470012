#pragma once

#include "../Operator/Configuration.h"
#include "../Operator/HostList.h"
#include "../Peer/Messages.h"

#include <optional>
#include <utility>
#include <vector>

namespace pimentopoint {

/// A route to a target through a gateway.
struct Route {
    TargetId target;
    MemberName gateway;
    Endpoint endpoint; ///< Endpoint of the gateway for frames.
    WarmthHint hint;
    Urgency urgency = Urgency::Ordinary; ///< Urgency of the sub-query.
};

/// Targets and routes that must not be chosen.
struct RouteExclusions {
    std::vector<TargetId> targets;
    std::vector<std::pair<TargetId, MemberName>> routes;

    bool excludes(TargetId target, const MemberName& gateway) const;
};

/// The documents that a query is planned with.
struct PinnedDocuments {
    ConfigurationPointer configuration;
    HostListPointer hosts;
};

/// \class Router
/// \ingroup Caller
/// \brief Chooses a replica and a gateway for each sub-query and takes the outcomes of earlier ones into account.
class Router {
public:
    virtual ~Router() = default;
    /// \returns a route to a replica of \a shard for a sub-query of \a urgency, or nothing if none is available
    virtual std::optional<Route> choose(const PinnedDocuments& documents, const Shard& shard, Urgency urgency, const RouteExclusions& exclusions) = 0;
    virtual void recordSent(const Route& route) = 0;
    /// Records that the reply to a sub-query on \a route is no longer awaited; this is not a failure of the route.
    virtual void recordAbandoned(const Route& route) = 0;
    /// Records the end of a sub-query on \a route; \a reply is null if the connection was lost.
    virtual void recordEnd(const Route& route, const SubReply* reply) = 0;
};

} // namespace pimentopoint
