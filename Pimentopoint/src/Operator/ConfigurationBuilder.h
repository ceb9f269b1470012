#pragma once

#include "Configuration.h"

#include <functional>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class ConfigurationBuilder
/// \ingroup Operator
/// \brief Builds a configuration; build() and print() apply the validation that every process applies to published documents.
/// \sa printConfiguration
class ConfigurationBuilder {
public:
    explicit ConfigurationBuilder(ConfigurationVersion version);

    ConfigurationBuilder& addDataCentre(DataCentre dataCentre);
    /// Adds \a set; the targets added next belong to it.
    ConfigurationBuilder& addTargetSet(TargetSet set);
    ConfigurationBuilder& addTarget(const std::string& name, const Endpoint& endpoint, const std::string& dataCentre);
    /// Adds a shard group that divides the key space evenly; \a replicas lists the target names of each shard.
    ConfigurationBuilder& addShardGroup(const std::string& name, SnapshotVersion snapshot,
        const std::vector<std::vector<std::string>>& replicas);
    /// Adds a search front for the shard group named \a group; \a policy may change the default policy.
    ConfigurationBuilder& addSearchFront(const std::string& name, const std::string& group,
        const std::function<void(SearchFront&)>& policy = {});

    /// \returns the configuration
    /// \throws InvalidDocument if the configuration is invalid
    ConfigurationPointer build() const;
    /// \returns the configuration as a YAML document
    /// \throws InvalidDocument if the configuration is invalid
    std::string print() const;

private:
    Configuration::Contents m_contents;
};

} // namespace pimentopoint
