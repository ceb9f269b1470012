#pragma once

#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pimentopoint {

/// A service that receives a fraction of a route's requests.
struct WeightedService {
    ServiceName service;
    double weight = 1;
};

/// Configuration of the requests under one HTTP host and path prefix.
struct RoutePolicy {
    RouteName name;
    std::string host; ///< Lower case, without port.
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = true; ///< Whether a request may run more than once.
    unsigned maxAttempts = 1; ///< Most targets to which one request is sent; for a fan-out, per shard.
    Duration timeout { 0 }; ///< Longest time until a request is answered.
    Duration objective { 0 }; ///< Latency objective; answers within it are worth most.
    unsigned priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services; ///< One of them serves each request; empty for a fan-out.
    std::vector<ServiceName> shards; ///< All of them serve each request; empty if one service does.
    std::size_t topRecords = 0; ///< Number of records in the answer of a fan-out.
    Fraction minCoverage { 1 }; ///< Least fraction of the shards that an answer must cover.

    bool isFanOut() const { return !shards.empty(); }
};

/// Configuration of a service.
struct ServicePolicy {
    ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< Most connections to one target from all hosts together.
    double coldRequestsPerSecond = 0; ///< Requests per second that a cold target accepts from all hosts together; 0: no limit.
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(256) * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace pimentopoint
