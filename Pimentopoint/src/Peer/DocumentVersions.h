#pragma once

#include "../Core/Ids.h"

#include <algorithm>

namespace pimentopoint {

/// \class DocumentVersions
/// \ingroup Peer
/// \brief The versions and digests of the active documents of a process.
/// \details Sent with every datagram and every batch of sub-queries or replies. Version 0 means that there is no document.
class DocumentVersions {
public:
    DocumentVersions() = default;
    DocumentVersions(ConfigurationVersion configuration, Digest configurationDigest, HostListVersion hosts, Digest hostsDigest)
        : m_configuration(configuration)
        , m_configurationDigest(configurationDigest)
        , m_hosts(hosts)
        , m_hostsDigest(hostsDigest)
    {
    }

    ConfigurationVersion configuration() const { return m_configuration; }
    Digest configurationDigest() const { return m_configurationDigest; }
    HostListVersion hosts() const { return m_hosts; }
    Digest hostsDigest() const { return m_hostsDigest; }

    /// \returns whether at least one document is newer than the one in \a other
    bool newerThan(const DocumentVersions& other) const
    {
        return m_configuration > other.m_configuration || m_hosts > other.m_hosts;
    }
    /// \returns whether a document has the same version as the one in \a other, but different content
    bool conflictsWith(const DocumentVersions& other) const
    {
        bool configurationDiffers = m_configuration == other.m_configuration && m_configurationDigest != other.m_configurationDigest;
        bool hostsDiffer = m_hosts == other.m_hosts && m_hostsDigest != other.m_hostsDigest;
        return configurationDiffers || hostsDiffer;
    }

    bool operator==(const DocumentVersions&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_configuration, m_configurationDigest, m_hosts, m_hostsDigest);
    }

private:
    ConfigurationVersion m_configuration;
    Digest m_configurationDigest;
    HostListVersion m_hosts;
    Digest m_hostsDigest;
};

} // namespace pimentopoint
