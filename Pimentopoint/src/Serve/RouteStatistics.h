#pragma once

#include "../Caller/LatencyWindow.h"
#include "RoutePolicy.h"
#include "ShardAvailability.h"

#include <map>

namespace pimentopoint {

/// \class RouteMemory
/// \ingroup Serve
/// \brief What this host has learnt of a route: how long its targets take, and whose turn it is among weighted services.
class RouteStatistics {
public:
    RouteStatistics();

    /// \returns the time after which a send counts as late
    Duration stragglerThreshold(const RoutePolicy& route) const;
    /// \returns the usual time of a send
    Duration expectedLatency(const RoutePolicy& route) const;
    /// Notes that a send that was late after \a late was answered after \a taken.
    void recordLatency(Duration taken, Duration late);
    /// Notes that a send was given up after \a taken.
    void recordAbandoned(Duration taken) { m_latencies.add(taken); }
    /// \returns the service whose turn it is, by the weights of \a route
    ServiceName nextService(const RoutePolicy& route);

    ShardAvailability shardAvailability; ///< Of the route's shards in reachVersion, as of reachAt.
    Instant shardAvailabilityAt = Instant::min();
    ConfigurationVersion shardAvailabilityVersion;

private:
    LatencyWindow m_latencies;
    double m_meanMicroseconds = 0; ///< Microseconds; 0 before the first reply.
    std::map<ServiceName, double> m_serviceCredits;
};

} // namespace pimentopoint
