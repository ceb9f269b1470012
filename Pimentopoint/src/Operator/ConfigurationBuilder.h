#pragma once

#include "Configuration.h"

#include <functional>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class ConfigurationBuilder
/// \ingroup Operator
/// \brief Puts a configuration together; what it prints has passed the same check that every process makes.
/// \sa printConfiguration
class ConfigurationBuilder {
public:
    explicit ConfigurationBuilder(ConfigurationVersion version);

    ConfigurationBuilder& addDataCentre(DataCentre dataCentre);
    /// Adds \a set; targets added after it belong to it.
    ConfigurationBuilder& addTargetSet(TargetSet set);
    ConfigurationBuilder& addTarget(const std::string& name, const Endpoint& endpoint, const std::string& dataCentre);
    /// Adds a shard group that divides the key space evenly; \a replicas holds the target names of each shard.
    ConfigurationBuilder& addShardGroup(const std::string& name, SnapshotVersion snapshot,
        const std::vector<std::vector<std::string>>& replicas);
    /// Adds a search front over the shard group called \a group; \a policy may set what differs from the defaults.
    ConfigurationBuilder& addSearchFront(const std::string& name, const std::string& group,
        const std::function<void(SearchFront&)>& policy = {});

    /// \returns the configuration
    /// \throws InvalidDocument if it would be refused when published
    ConfigurationPointer build() const;
    /// \returns the document to publish
    /// \throws InvalidDocument if it would be refused
    std::string print() const;

private:
    Configuration::Contents m_contents;
};

} // namespace pimentopoint
