#pragma once

#include "../Core/Ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace pimentopoint {

/// Where the shards of a fan-out have targets that nothing speaks against.
struct ShardReach {
    std::map<DataCentreName, std::size_t> shards; ///< How many of all shards each data centre has.
    std::vector<std::size_t> away; ///< Indexes of the shards that the home data centre lacks.
    std::map<DataCentreName, std::size_t> awayShards; ///< How many of those each data centre has.
};

} // namespace pimentopoint
