#pragma once

#include "Configuration.h"
#include "DocumentReader.h"

#include <map>

namespace pimentopoint::internal {

/// \class ConfigurationReader
/// \ingroup Operator
/// \brief Reads the contents of a configuration from a YAML document and checks the references between them.
class ConfigurationReader {
public:
    explicit ConfigurationReader(Problems& problems)
        : m_problems(problems)
    {
    }

    Configuration::Contents read(const YAML::Node& root);

private:
    void readDataCentre(DocumentReader& reader);
    void readTargetSet(DocumentReader& reader);
    void readTarget(DocumentReader& reader, std::size_t set);
    void readShardGroup(DocumentReader& reader);
    void readShard(DocumentReader& reader, ShardGroup& group, std::uint64_t& covered);
    void readSearchFront(DocumentReader& reader);
    void checkGateways(DocumentReader& root);
    /// Records a problem if an earlier object of the same \a kind has the same \a name.
    void requireUnique(DocumentReader& reader, const std::string& kind, const std::string& name);

    Problems& m_problems;
    Configuration::Contents m_contents;
    std::map<std::string, std::size_t> m_usedNames;
    std::map<std::string, std::size_t> m_groupIndex;
    std::map<TargetName, TargetId> m_targets;
};

} // namespace pimentopoint::internal
