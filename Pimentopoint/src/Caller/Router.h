#pragma once

#include "../Operator/Configuration.h"
#include "../Operator/HostList.h"
#include "../Peer/Messages.h"

#include <optional>
#include <utility>
#include <vector>

namespace pimentopoint {

/// A way to a target: through which gateway.
struct Route {
    TargetId target;
    MemberName gateway;
    Endpoint endpoint; ///< The gateway's, for frames.
    WarmthHint hint;
    Urgency urgency = Urgency::Ordinary; ///< Of the sub-query that goes this way.
};

/// What a choice of route must avoid.
struct RouteExclusions {
    std::vector<TargetId> targets;
    std::vector<std::pair<TargetId, MemberName>> routes;

    bool excludes(TargetId target, const MemberName& gateway) const;
};

/// The documents that a query was planned with.
struct PinnedDocuments {
    ConfigurationPointer configuration;
    HostListPointer hosts;
};

/// \class Router
/// \ingroup Caller
/// \brief Chooses a replica and a gateway for a sub-query and learns from what becomes of it.
class Router {
public:
    virtual ~Router() = default;
    /// \returns a route to a replica of \a shard for a sub-query of \a urgency, or nothing if there is none
    virtual std::optional<Route> choose(const PinnedDocuments& documents, const Shard& shard, Urgency urgency, const RouteExclusions& exclusions) = 0;
    virtual void recordSent(const Route& route) = 0;
    /// Notes that a sub-query on \a route is no longer waited for, which says nothing against the route.
    virtual void recordAbandoned(const Route& route) = 0;
    /// Notes the end of a sub-query on \a route; \a reply is null if its connection was lost
    virtual void recordEnd(const Route& route, const SubReply* reply) = 0;
};

} // namespace pimentopoint
