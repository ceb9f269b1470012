#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <cstdint>
#include <string>

namespace pimentopoint {

/// Entry of a target in the platform's store.
struct DiscoveredTarget {
    TargetName name; ///< Name of the target; together with \c startedAt it identifies one run of it.
    ServiceName service;
    Endpoint endpoint;
    DataCentreName dataCentre;
    unsigned slots = 1; ///< Most requests that the target works on at a time.
    bool draining = false; ///< Whether the target accepts no new requests.
    Duration coldFor { 0 }; ///< Remaining warm-up time when the entry was written.
    std::int64_t startedAt = 0; ///< Unix time in milliseconds; 0 if the entry does not state it.
};

} // namespace pimentopoint
