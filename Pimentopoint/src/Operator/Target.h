#pragma once

#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <cstddef>

namespace pimentopoint {

/// \class Target
/// \ingroup Operator
/// \brief A configured target: its address, its data centre and the target set that defines its limits.
class Target {
public:
    Target(TargetName name, Endpoint endpoint, DataCentreName dataCentre, std::size_t set)
        : m_name(std::move(name))
        , m_id(targetIdOf(m_name))
        , m_endpoint(std::move(endpoint))
        , m_dataCentre(std::move(dataCentre))
        , m_set(set)
    {
    }

    const TargetName& name() const { return m_name; }
    TargetId id() const { return m_id; }
    const Endpoint& endpoint() const { return m_endpoint; }
    const DataCentreName& dataCentre() const { return m_dataCentre; }
    /// \returns the index of the target set in Configuration::targetSets()
    std::size_t set() const { return m_set; }

private:
    TargetName m_name;
    TargetId m_id;
    Endpoint m_endpoint;
    DataCentreName m_dataCentre;
    std::size_t m_set;
};

} // namespace pimentopoint
