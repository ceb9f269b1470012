#pragma once

#include "../Core/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace pimentopoint {

/// Where the shards of a fan-out have targets that nothing speaks against.
struct ShardAvailability {
    std::map<DataCentreName, std::size_t> shardCounts; ///< How many of all shards each data centre has.
    std::vector<std::size_t> remoteOnlyShards; ///< Indexes of the shards that the home data centre lacks.
    std::map<DataCentreName, std::size_t> remoteOnlyShardCounts; ///< How many of those each data centre has.
};

} // namespace pimentopoint
