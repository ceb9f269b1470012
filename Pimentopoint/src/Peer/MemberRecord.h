#pragma once

#include "../Core/Endpoint.h"
#include "../Core/Ids.h"
#include "WireArchive.h"

#include <cstdint>
#include <tuple>

namespace pimentopoint {

/// Role of a member process.
enum class MemberRole : std::uint8_t {
    Front,
    Gateway,
};

/// Known state of a member; at equal incarnation and revision the larger value takes precedence.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// \class MemberRecord
/// \ingroup Peer
/// \brief Description and state of one member, as members exchange it by gossip.
class MemberRecord {
public:
    MemberRecord() = default;
    MemberRecord(MemberName name, MemberRole role, DataCentreName dataCentre, Incarnation incarnation)
        : m_name(std::move(name))
        , m_role(role)
        , m_dataCentre(std::move(dataCentre))
        , m_incarnation(incarnation)
    {
    }

    const MemberName& name() const { return m_name; }
    MemberRole role() const { return m_role; }
    const DataCentreName& dataCentre() const { return m_dataCentre; }
    Incarnation incarnation() const { return m_incarnation; }

    const Endpoint& udp() const { return m_udp; }
    const Endpoint& tcp() const { return m_tcp; }
    const Endpoint& http() const { return m_http; }
    MemberRecord& setEndpoints(Endpoint udp, Endpoint tcp, Endpoint http)
    {
        m_udp = std::move(udp);
        m_tcp = std::move(tcp);
        m_http = std::move(http);
        return *this;
    }

    /// \returns the processor capacity of the member (thousandths of a core)
    std::uint32_t millicores() const { return m_millicores; }
    void setMillicores(std::uint32_t millicores) { m_millicores = millicores; }

    std::uint32_t revision() const { return m_revision; }
    void setRevision(std::uint32_t revision) { m_revision = revision; }
    MemberState state() const { return m_state; }
    void setState(MemberState state) { m_state = state; }

    /// \returns whether this record replaces \a other, a record of the same member
    bool supersedes(const MemberRecord& other) const
    {
        return std::tie(m_incarnation, m_revision, m_state) > std::tie(other.m_incarnation, other.m_revision, other.m_state);
    }
    /// \returns whether new requests may be sent to the member
    bool usable() const { return m_state == MemberState::Alive || m_state == MemberState::Suspect; }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_name, m_dataCentre, m_udp, m_tcp, m_http, m_incarnation, m_revision, m_millicores);
        serializeEnumeration(archive, m_role, MemberRole::Gateway);
        serializeEnumeration(archive, m_state, MemberState::Dead);
    }

private:
    MemberName m_name;
    MemberRole m_role = MemberRole::Front;
    DataCentreName m_dataCentre;
    Endpoint m_udp;
    Endpoint m_tcp;
    Endpoint m_http;
    Incarnation m_incarnation;
    std::uint32_t m_revision = 0;
    std::uint32_t m_millicores = 1000;
    MemberState m_state = MemberState::Alive;
};

} // namespace pimentopoint
