#pragma once

#include "../Caller/LatencyWindow.h"
#include "RoutePolicy.h"
#include "ShardAvailability.h"

#include <map>

namespace pimentopoint {

/// \class RouteStatistics
/// \ingroup Serve
/// \brief Statistics of one route on this host: latencies of its attempts, state of the weighted round-robin, cached shard availability.
class RouteStatistics {
public:
    RouteStatistics();

    /// \returns the time after which an attempt counts as a straggler
    Duration stragglerThreshold(const RoutePolicy& route) const;
    Duration expectedLatency(const RoutePolicy& route) const;
    /// Records an attempt with straggler threshold \a stragglerThreshold whose reply came after \a latency.
    void recordLatency(Duration latency, Duration stragglerThreshold);
    /// Records an attempt that was given up after \a elapsed.
    void recordAbandoned(Duration elapsed) { m_latencies.add(elapsed); }
    /// \returns the service of the next request, by weighted round-robin over the services of \a route
    ServiceName nextService(const RoutePolicy& route);

    ShardAvailability shardAvailability; ///< Availability of the route's shards in shardAvailabilityVersion, computed at shardAvailabilityAt.
    Instant shardAvailabilityAt = Instant::min();
    ConfigurationVersion shardAvailabilityVersion;

private:
    LatencyWindow m_latencies;
    double m_meanMicroseconds = 0; ///< Smoothed mean latency; 0 before the first reply.
    std::map<ServiceName, double> m_serviceCredits;
};

} // namespace pimentopoint
