#pragma once

#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// \class Settings
/// \ingroup Operator
/// \brief What one process is told of itself: its name, data centre, addresses, seeds and log level.
class Settings {
public:
    /// \brief Reads and checks a settings document.
    /// \throws InvalidDocument with every problem in it
    static Settings read(const std::string& text, const std::string& source);

    const MemberName& name() const { return m_name; }
    const DataCentreName& dataCentre() const { return m_dataCentre; }
    const Endpoint& http() const { return m_http; }
    const Endpoint& tcp() const { return m_tcp; }
    const Endpoint& udp() const { return m_udp; }
    /// \returns the UDP endpoints of members to ask first
    const std::vector<Endpoint>& seeds() const { return m_seeds; }
    const Endpoint& platform() const { return m_platform; }
    /// \returns the least severity that is logged: 0 info, 1 warning, 2 error
    int logLevel() const { return m_logLevel; }
    /// \returns the number of threads that serve HTTP
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
