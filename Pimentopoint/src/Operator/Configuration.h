#pragma once

#include "../Core/Ids.h"
#include "DataCentre.h"
#include "SearchFront.h"
#include "ShardGroup.h"
#include "Target.h"
#include "TargetSet.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class Configuration
/// \ingroup Operator
/// \brief The configuration that operators publish; validated as a whole and immutable.
/// \sa ConfigurationBuilder, readConfiguration
class Configuration {
public:
    struct Contents {
        ConfigurationVersion version;
        std::vector<DataCentre> dataCentres;
        std::vector<TargetSet> targetSets;
        std::vector<Target> targets;
        std::vector<ShardGroup> shardGroups;
        std::vector<SearchFront> searchFronts;
    };

    explicit Configuration(Contents contents);

    ConfigurationVersion version() const { return m_contents.version; }
    const std::vector<DataCentre>& dataCentres() const { return m_contents.dataCentres; }
    const std::vector<TargetSet>& targetSets() const { return m_contents.targetSets; }
    const std::vector<Target>& targets() const { return m_contents.targets; }
    const std::vector<ShardGroup>& shardGroups() const { return m_contents.shardGroups; }
    const std::vector<SearchFront>& searchFronts() const { return m_contents.searchFronts; }

    /// \returns the target with \a id, or a null pointer
    const Target* target(TargetId id) const;
    /// \returns the search front named \a name, or a null pointer
    const SearchFront* searchFront(const SearchFrontName& name) const;
    /// \returns the data centre named \a name, or a null pointer
    const DataCentre* dataCentre(const DataCentreName& name) const;
    /// \returns the target set of \a target, which holds its limits
    const TargetSet& limits(const Target& target) const { return m_contents.targetSets[target.set()]; }
    /// \returns whether operators have taken the data centre named \a name out of service
    bool takenOut(const DataCentreName& name) const;
    /// \returns the longest deadline of all search fronts
    Duration longestDeadline() const { return m_longestDeadline; }

private:
    Contents m_contents;
    std::unordered_map<TargetId, std::size_t> m_targetIndex;
    std::map<SearchFrontName, std::size_t> m_searchFrontIndex;
    std::map<DataCentreName, std::size_t> m_dataCentreIndex;
    Duration m_longestDeadline { 0 };
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

} // namespace pimentopoint
