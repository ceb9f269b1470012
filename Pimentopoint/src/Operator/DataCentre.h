#pragma once

#include "../Core/Ids.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// \class DataCentre
/// \ingroup Operator
/// \brief A data centre: its region, its gateways and whether operators have taken it out of service.
class DataCentre {
public:
    DataCentre(DataCentreName name, std::string region)
        : m_name(std::move(name))
        , m_region(std::move(region))
    {
    }

    const DataCentreName& name() const { return m_name; }
    const std::string& region() const { return m_region; }
    /// \returns the names of the gateways that divide the targets of the data centre among them
    const std::vector<MemberName>& gateways() const { return m_gateways; }
    DataCentre& addGateway(MemberName gateway)
    {
        m_gateways.push_back(std::move(gateway));
        return *this;
    }
    bool takenOut() const { return m_takenOut; }
    DataCentre& setTakenOut(bool takenOut)
    {
        m_takenOut = takenOut;
        return *this;
    }

private:
    DataCentreName m_name;
    std::string m_region;
    std::vector<MemberName> m_gateways;
    bool m_takenOut = false;
};

} // namespace pimentopoint
