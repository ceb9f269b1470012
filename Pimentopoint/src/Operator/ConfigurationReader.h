#pragma once

#include "Configuration.h"
#include "DocumentReader.h"

#include <map>

namespace pimentopoint::internal {

/// \class ConfigurationReader
/// \ingroup Operator
/// \brief Turns a document into the parts of a configuration and checks what refers to what.
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
    /// Notes a problem if \a name was used before among \a kind.
    void requireUnique(DocumentReader& reader, const std::string& kind, const std::string& name);

    Problems& m_problems;
    Configuration::Contents m_contents;
    std::map<std::string, std::size_t> m_usedNames;
    std::map<std::string, std::size_t> m_groupIndex;
    std::map<TargetName, TargetId> m_targets;
};

} // namespace pimentopoint::internal
