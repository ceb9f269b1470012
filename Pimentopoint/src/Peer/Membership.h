#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"
#include "Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// Intervals of the membership protocol.
struct MembershipTiming {
    Duration protocolPeriod = std::chrono::seconds(1); ///< Between two probes.
    Duration ackTimeout = std::chrono::milliseconds(300); ///< Until a probe is repeated through others.
    Duration seedInterval = std::chrono::seconds(5); ///< Between probes of seeds and of members held for dead.
    Duration deadRetention = std::chrono::minutes(10); ///< For which a dead member is remembered.
    unsigned suspicionPeriods = 4; ///< Periods from suspicion to death.
    unsigned indirectProbes = 3; ///< Members asked to probe in the sender's stead.
    unsigned noticeFanout = 4; ///< Members told at once of a newer document.
};

/// What the caller of Membership is to do.
struct MembershipActions {
    struct Datagram {
        Endpoint destination;
        std::string bytes;
    };
    std::vector<Datagram> datagrams;
    std::vector<MemberRecord> changedMembers; ///< Members whose record changed.
    std::optional<MemberRecord> requestDocumentsFrom; ///< A member with newer documents than ours.
    std::optional<MemberRecord> requestMembersFrom; ///< A member to ask for its full list.
    bool confirmed = false; ///< A probe sent since the last revalidate() was answered.
    bool superseded = false; ///< A later process bears our name.
    bool documentConflict = false; ///< A member has a document of our version with other content.
};

/// \class Membership
/// \ingroup Peer
/// \brief Failure detection and spread of news by probes (SWIM), with records ordered by incarnation and revision.
/// \details Datagrams in, actions out; holds no socket and reads no clock. The load of one member does not depend
/// on the number of members.
class Membership {
public:
    Membership(MemberRecord self, std::vector<Endpoint> seeds, MembershipTiming timing, std::uint64_t seed);

    /// Probes what is due and ages suspicions.
    MembershipActions tick(Instant now);
    /// Takes a datagram; \throws MalformedMessage if it is none of ours
    MembershipActions handleDatagram(const std::string& bytes, const Endpoint& from, Instant now);
    /// Takes a full list from a member; it is no news to the others and is not spread.
    MembershipActions merge(const std::vector<MemberRecord>& records, Instant now);
    /// Takes the record of a member that introduced itself.
    MembershipActions handleIntroduction(const MemberRecord& record, Instant now);
    /// Sets what we have in force; a newer version is told to some members at once.
    MembershipActions setVersions(const DocumentVersions& versions, Instant now);
    /// Probes several members at once, to learn whether what we hold is current.
    MembershipActions revalidate(Instant now);
    /// Tells members that we leave.
    MembershipActions leave(Instant now);

    const MemberRecord& self() const { return m_self; }
    const DocumentVersions& versions() const { return m_versions; }
    /// \returns all members but ourselves, dead ones included
    std::vector<MemberRecord> members() const;
    /// \returns the record of \a name, or null
    const MemberRecord* member(const MemberName& name) const;
    std::size_t usableCount() const;

private:
    struct Entry {
        MemberRecord record;
        Instant changedAt;
    };
    struct PendingProbe {
        std::uint64_t sequence;
        MemberName subject;
        Instant sentAt;
        bool indirectSent = false;
    };
    struct RelayedProbe {
        std::uint64_t originalSequence;
        Endpoint origin;
        Instant receivedAt;
    };
    struct GossipEntry {
        MemberRecord record;
        unsigned transmissionsLeft;
    };

    /// \returns whether \a record was new
    bool applyRecord(const MemberRecord& record, Instant now, MembershipActions& actions);
    void applyGossipedRecord(const MemberRecord& record, Instant now, MembershipActions& actions);
    void handleOwnRecord(const MemberRecord& record, MembershipActions& actions);
    void applyGossip(const Gossip& gossip, Instant now, MembershipActions& actions);
    void handleProbe(const Probe& probe, const Endpoint& from, Instant now, MembershipActions& actions);
    void handleAck(const ProbeAck& ack, Instant now, MembershipActions& actions);
    void handleIndirectProbe(const IndirectProbe& request, const Endpoint& from, Instant now, MembershipActions& actions);
    void queueForGossip(const MemberRecord& record);
    void setState(Entry& entry, MemberState state, Instant now, MembershipActions& actions);
    void expireEntries(Instant now, MembershipActions& actions);
    void checkPendingProbe(Instant now, MembershipActions& actions);
    void probeNext(Instant now, MembershipActions& actions);
    void probeSeeds(Instant now, MembershipActions& actions);
    void sendProbe(const Endpoint& to, std::uint64_t sequence, MembershipActions& actions);
    void sendNotices(unsigned count, MembershipActions& actions);
    Gossip gossip();
    std::vector<MemberRecord> randomUsableMembers(unsigned count, const MemberName& except);
    unsigned transmissionLimit() const;

    MemberRecord m_self;
    std::vector<Endpoint> m_seeds;
    MembershipTiming m_timing;
    Random m_random;
    DocumentVersions m_versions;
    std::map<MemberName, Entry> m_entries;
    std::vector<MemberName> m_probeOrder;
    std::size_t m_probeIndex = 0;
    std::optional<PendingProbe> m_pendingProbe;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::vector<GossipEntry> m_gossipQueue;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_firstRevalidationSequence = 0;
    Instant m_nextProbe {};
    Instant m_nextSeedProbe {};
};

} // namespace pimentopoint
