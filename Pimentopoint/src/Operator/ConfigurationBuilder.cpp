#include "ConfigurationBuilder.h"

#include "../Core/util/Constants.h"
#include "ConfigurationText.h"
#include "InvalidDocument.h"

namespace pimentopoint {

ConfigurationBuilder::ConfigurationBuilder(ConfigurationVersion version)
{
    m_contents.version = version;
}

ConfigurationBuilder& ConfigurationBuilder::addDataCentre(DataCentre dataCentre)
{
    m_contents.dataCentres.push_back(std::move(dataCentre));
    return *this;
}

ConfigurationBuilder& ConfigurationBuilder::addTargetSet(TargetSet set)
{
    m_contents.targetSets.push_back(std::move(set));
    return *this;
}

ConfigurationBuilder& ConfigurationBuilder::addTarget(const std::string& name, const Endpoint& endpoint, const std::string& dataCentre)
{
    if (m_contents.targetSets.empty())
        throw InvalidDocument("builder", { Problem(0, "targets", name + " without a target set", "a call of addTargetSet() before addTarget()") });
    m_contents.targets.emplace_back(TargetName(name), endpoint, DataCentreName(dataCentre), m_contents.targetSets.size() - 1);
    return *this;
}

ConfigurationBuilder& ConfigurationBuilder::addShardGroup(const std::string& name, SnapshotVersion snapshot,
    const std::vector<std::vector<std::string>>& replicas)
{
    ShardGroup group(name, snapshot);
    std::uint64_t begin = 0;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        std::uint64_t end = keySpaceEnd / replicas.size() * (i + 1);
        if (i + 1 == replicas.size())
            end = keySpaceEnd;
        std::vector<TargetId> ids;
        for (const std::string& replica : replicas[i])
            ids.push_back(targetIdOf(TargetName(replica)));
        group.addShard(Shard(KeyRange(begin, end), std::move(ids)));
        begin = end;
    }
    m_contents.shardGroups.push_back(std::move(group));
    return *this;
}

ConfigurationBuilder& ConfigurationBuilder::addSearchFront(const std::string& name, const std::string& group,
    const std::function<void(SearchFront&)>& policy)
{
    std::size_t index = 0;
    while (index < m_contents.shardGroups.size() && m_contents.shardGroups[index].name() != group)
        ++index;
    if (index == m_contents.shardGroups.size())
        throw InvalidDocument("builder", { Problem(0, "searchFronts", group, "the name of a shard group") });
    SearchFront front(SearchFrontName(name), index);
    if (policy)
        policy(front);
    m_contents.searchFronts.push_back(std::move(front));
    return *this;
}

ConfigurationPointer ConfigurationBuilder::build() const
{
    return readConfiguration(print(), "builder");
}

std::string ConfigurationBuilder::print() const
{
    Configuration configuration(m_contents);
    for (const ShardGroup& group : configuration.shardGroups()) {
        for (const Shard& shard : group.shards()) {
            for (TargetId replica : shard.replicas()) {
                if (!configuration.target(replica))
                    throw InvalidDocument("builder", { Problem(0, "shardGroups." + group.name(), "an unknown target", "targets added with addTarget()") });
            }
        }
    }
    std::string text = printConfiguration(configuration);
    readConfiguration(text, "builder");
    return text;
}

} // namespace pimentopoint
