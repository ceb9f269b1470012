#pragma once

#include "../Core/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace pimentopoint {

/// Data centres in which the shards of a fan-out have usable targets that are neither leaving nor avoided.
struct ShardAvailability {
    std::map<DataCentreName, std::size_t> shardCounts; ///< Number of shards available in each data centre.
    std::vector<std::size_t> remoteOnlyShards; ///< Indexes of the shards that are available only outside the local data centre.
    std::map<DataCentreName, std::size_t> remoteOnlyShardCounts; ///< Number of the remote-only shards available in each data centre.
};

} // namespace pimentopoint
