#pragma once

#include "../Core/Ids.h"
#include "Shard.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// \class ShardGroup
/// \ingroup Operator
/// \brief A partition of the whole key space into shards, and the index version that the shards serve.
class ShardGroup {
public:
    ShardGroup(std::string name, SnapshotVersion snapshot)
        : m_name(std::move(name))
        , m_snapshot(snapshot)
    {
    }

    const std::string& name() const { return m_name; }
    SnapshotVersion snapshot() const { return m_snapshot; }
    const std::vector<Shard>& shards() const { return m_shards; }
    ShardGroup& addShard(Shard shard)
    {
        m_shards.push_back(std::move(shard));
        return *this;
    }

private:
    std::string m_name;
    SnapshotVersion m_snapshot;
    std::vector<Shard> m_shards;
};

} // namespace pimentopoint
