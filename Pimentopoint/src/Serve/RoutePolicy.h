#pragma once

#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace pimentopoint {

/// A service that takes a part of a route's requests.
struct WeightedService {
    ServiceName service;
    double weight = 1;
};

/// What operators say of the requests under one host and path prefix.
struct RoutePolicy {
    RouteName name;
    std::string host; ///< Lower case, without port.
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = true; ///< Whether a request may run more than once.
    unsigned maxAttempts = 1; ///< Targets to which one request may be sent; for a fan-out, per shard.
    Duration timeout { 0 }; ///< Longest time that a request is kept waiting.
    Duration objective { 0 }; ///< Answers within it are worth most.
    unsigned priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services; ///< One of them serves a request; empty for a fan-out.
    std::vector<ServiceName> shards; ///< All of them are asked; empty if one service serves a request.
    std::size_t topRecords = 0; ///< Records in the answer of a fan-out.
    Fraction minCoverage { 1 }; ///< Least share of the shards in an answer.

    bool isFanOut() const { return !shards.empty(); }
};

/// What operators say of a service.
struct ServicePolicy {
    ServiceName name;
    std::string healthPath;
    unsigned maxConnections = 0; ///< A target's, from all hosts together.
    double coldRequestsPerSecond = 0; ///< Tolerated by a cold target; 0: no limit.
};

/// Limits on what a caller may send.
struct CallerLimits {
    std::size_t headerBytes = std::size_t(16) * 1024;
    std::size_t bodyBytes = std::size_t(256) * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

} // namespace pimentopoint
