#pragma once

#include "../Core/Ids.h"
#include "../Core/KeyRange.h"

#include <vector>

namespace pimentopoint {

/// \class Shard
/// \ingroup Operator
/// \brief A key range and the targets that hold a replica of it.
class Shard {
public:
    Shard(KeyRange range, std::vector<TargetId> replicas)
        : m_range(range)
        , m_replicas(std::move(replicas))
    {
    }

    const KeyRange& range() const { return m_range; }
    const std::vector<TargetId>& replicas() const { return m_replicas; }

private:
    KeyRange m_range;
    std::vector<TargetId> m_replicas;
};

} // namespace pimentopoint
