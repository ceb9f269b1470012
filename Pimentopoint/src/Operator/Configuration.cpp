#include "Configuration.h"

#include <algorithm>

namespace pimentopoint {

Configuration::Configuration(Contents contents)
    : m_contents(std::move(contents))
{
    for (std::size_t i = 0; i < m_contents.targets.size(); ++i)
        m_targetIndex.emplace(m_contents.targets[i].id(), i);
    for (std::size_t i = 0; i < m_contents.dataCentres.size(); ++i)
        m_dataCentreIndex.emplace(m_contents.dataCentres[i].name(), i);
    for (std::size_t i = 0; i < m_contents.searchFronts.size(); ++i) {
        m_searchFrontIndex.emplace(m_contents.searchFronts[i].name(), i);
        m_longestDeadline = std::max(m_longestDeadline, m_contents.searchFronts[i].deadline());
    }
}

const Target* Configuration::target(TargetId id) const
{
    auto found = m_targetIndex.find(id);
    return found == m_targetIndex.end() ? nullptr : &m_contents.targets[found->second];
}

const SearchFront* Configuration::searchFront(const SearchFrontName& name) const
{
    auto found = m_searchFrontIndex.find(name);
    return found == m_searchFrontIndex.end() ? nullptr : &m_contents.searchFronts[found->second];
}

const DataCentre* Configuration::dataCentre(const DataCentreName& name) const
{
    auto found = m_dataCentreIndex.find(name);
    return found == m_dataCentreIndex.end() ? nullptr : &m_contents.dataCentres[found->second];
}

bool Configuration::takenOut(const DataCentreName& name) const
{
    const DataCentre* found = dataCentre(name);
    return found && found->takenOut();
}

} // namespace pimentopoint
