#pragma once

#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// \class Settings
/// \ingroup Operator
/// \brief Local settings of one process: its name, data centre, addresses, seed members and log level.
class Settings {
public:
    /// \brief Parses and validates a settings document.
    /// \throws InvalidDocument with all problems of the document
    static Settings read(const std::string& text, const std::string& source);

    const MemberName& name() const { return m_name; }
    const DataCentreName& dataCentre() const { return m_dataCentre; }
    const Endpoint& http() const { return m_http; }
    const Endpoint& tcp() const { return m_tcp; }
    const Endpoint& udp() const { return m_udp; }
    /// \returns the UDP endpoints of the members to contact at startup
    const std::vector<Endpoint>& seeds() const { return m_seeds; }
    const Endpoint& platform() const { return m_platform; }
    /// \returns the lowest severity that is logged: 0 info, 1 warning, 2 error
    int logLevel() const { return m_logLevel; }
    /// \returns the number of HTTP worker threads
    unsigned threads() const { return m_threads; }

private:
    MemberName m_name;
    DataCentreName m_dataCentre;
    Endpoint m_http;
    Endpoint m_tcp;
    Endpoint m_udp;
    std::vector<Endpoint> m_seeds;
    Endpoint m_platform;
    int m_logLevel = 0;
    unsigned m_threads = 0;
};

} // namespace pimentopoint
