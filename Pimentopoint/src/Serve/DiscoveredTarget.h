#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <cstdint>
#include <string>

namespace pimentopoint {

/// What a target says of itself where targets are discovered.
struct DiscoveredTarget {
    TargetName name; ///< Of one start of a target, with \c startedAt.
    ServiceName service;
    Endpoint endpoint;
    DataCentreName dataCentre;
    unsigned slots = 1; ///< Requests that it works on at a time.
    bool draining = false; ///< It takes no new requests.
    Duration coldFor { 0 }; ///< How much longer it is cold, when it said so.
    std::int64_t startedAt = 0; ///< Unix time in milliseconds; 0 if it did not say.
};

} // namespace pimentopoint
