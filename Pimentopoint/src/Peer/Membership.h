#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"
#include "DataCentreContacts.h"
#include "GossipQueue.h"
#include "Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// Intervals of the membership protocol.
struct MembershipTiming {
    Duration protocolPeriod = std::chrono::seconds(1); ///< Interval between two probes.
    Duration ackTimeout = std::chrono::milliseconds(300); ///< Time without an acknowledgement after which other members are requested to probe.
    Duration seedInterval = std::chrono::seconds(5); ///< Interval between probes of seeds and dead members.
    Duration deadRetention = std::chrono::minutes(10); ///< Time for which the record of a dead or leaving member is kept.
    unsigned suspicionPeriods = 4; ///< Protocol periods after which a suspected member is declared dead.
    unsigned indirectProbes = 3; ///< Number of members requested to probe on behalf of this one.
    unsigned noticeFanout = 4; ///< Number of members notified at once of a newer document.
    Duration minListInterval { 0 }; ///< Shortest interval between two requests for a member list; 0: a list is requested only once, after the start.
    Duration maxListInterval = std::chrono::seconds(30); ///< Longest such interval; reached while lists bring no changes.
    Duration unreachableRetention = std::chrono::minutes(2); ///< Time after which the members of an unreachable data centre are declared dead.
};

/// Actions that the caller of Membership has to execute.
struct MembershipActions {
    struct Datagram {
        Endpoint destination;
        std::string bytes;
    };
    std::vector<Datagram> datagrams;
    std::vector<MemberRecord> changedMembers; ///< Members whose record changed.
    std::optional<MemberRecord> requestDocumentsFrom; ///< A member that has newer documents than this one.
    std::optional<MemberRecord> requestMembersFrom; ///< A member to request the full member list from.
    std::vector<DataCentreName> unreachableDataCentres; ///< Data centres that became unreachable.
    std::vector<DataCentreName> reachableDataCentres; ///< Data centres that are reachable again.
    bool confirmed = false; ///< A probe sent since the last revalidate() was acknowledged.
    bool superseded = false; ///< A process with a later incarnation uses this member's name.
    bool documentConflict = false; ///< A member has a document of the same version with different content.
};

/// \class Membership
/// \ingroup Peer
/// \brief Failure detection and dissemination of member records by gossip (SWIM).
/// \details Records are ordered by incarnation and revision. Takes datagrams and returns actions; uses no socket, clock or lock.
/// The load of one member does not depend on the number of members. Gossip may miss members when many records change at once;
/// lists of all records are therefore compared as well, mostly within a data centre.
///
/// A data centre of which no member replies is unreachable, as after a partition or a loss of power. Each member observes that for
/// itself, and no record changes, so that hundreds of records need not be spread when it begins and when it ends.
class Membership {
public:
    Membership(MemberRecord self, std::vector<Endpoint> seeds, MembershipTiming timing, std::uint64_t seed);

    /// Sends the probes that are due, declares suspected members dead after the timeout and drops old records.
    MembershipActions tick(Instant now);
    /// Handles a datagram; \throws MalformedMessage if it is not a membership message
    MembershipActions handleDatagram(const std::string& bytes, const Endpoint& from, Instant now);
    /// Applies the full list of a member. Its records are not gossiped, as the other members have them already.
    MembershipActions merge(const std::vector<MemberRecord>& records, Instant now);
    /// Applies and gossips the record of a member that requested the member list.
    MembershipActions handleIntroduction(const MemberRecord& record, Instant now);
    /// Sets the versions of the active documents; notifies some members at once if one is newer.
    MembershipActions setVersions(const DocumentVersions& versions, Instant now);
    /// Probes several members at once to check whether the active documents are current.
    MembershipActions revalidate(Instant now);
    /// Sets the state of this member to leaving and notifies other members.
    MembershipActions leave(Instant now);

    const MemberRecord& self() const { return m_self; }
    const DocumentVersions& versions() const { return m_versions; }
    /// \returns all members except this one, dead ones included; members of unreachable data centres are at best suspected
    std::vector<MemberRecord> members() const;
    /// \returns the record of \a name as it was received, or null if the member is unknown
    const MemberRecord* member(const MemberName& name) const;
    /// \returns the number of members that are alive or suspected
    std::size_t usableCount() const;
    const DataCentreContacts& contacts() const { return m_contacts; }
    /// \returns a digest of the records of all members, this one included; equal lists have equal digests
    std::uint64_t digest() const;

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
    /// A probe that finds out whether this member still reaches a data centre.
    struct ContactProbe {
        DataCentreName dataCentre;
        Instant sentAt;
    };
    struct RelayedProbe {
        std::uint64_t originalSequence;
        Endpoint origin;
        Instant receivedAt;
        std::optional<DataCentreName> dataCentre; ///< Data centre of the probed member, until its acknowledgement is overdue.
    };
    /// \returns whether \a record replaced the known one or was the first of its member
    bool applyRecord(const MemberRecord& record, Instant now, MembershipActions& actions);
    void applyGossipedRecord(const MemberRecord& record, Instant now, MembershipActions& actions);
    void handleOwnRecord(const MemberRecord& record, MembershipActions& actions);
    /// \param from address of the member that sent the gossip; an acknowledgement may be relayed
    void applyGossip(const Gossip& gossip, const Endpoint& from, Instant now, MembershipActions& actions);
    void handleProbe(const Probe& probe, const Endpoint& from, Instant now, MembershipActions& actions);
    void handleAck(const ProbeAck& ack, const Endpoint& from, Instant now, MembershipActions& actions);
    void handleIndirectProbe(const IndirectProbe& request, const Endpoint& from, Instant now, MembershipActions& actions);
    void queueForGossip(const MemberRecord& record);
    void setState(Entry& entry, MemberState state, Instant now, MembershipActions& actions);
    void expireEntries(Instant now, MembershipActions& actions);
    void handlePause(Duration pause);
    void checkPendingProbe(Instant now, MembershipActions& actions);
    void checkRelayedProbes(Instant now, MembershipActions& actions);
    void checkContacts(Instant now, MembershipActions& actions);
    /// Doubts the data centre of a member that has not acknowledged a probe sent at \a sentAt, and others from which nothing was received of late.
    void doubtSilent(const DataCentreName& dataCentre, Instant sentAt, Instant now, MembershipActions& actions);
    bool doubt(const DataCentreName& dataCentre, Instant since, Instant now, MembershipActions& actions);
    void sendIndirectProbes(const MemberRecord& subject, MembershipActions& actions);
    /// \returns whether a failed probe of \a subject is due to this member alone: others of its data centre reply, or there are none
    bool failsAlone(const MemberRecord& subject, Instant sentAt) const;
    void probeUnreachable(MembershipActions& actions);
    void reportMembersOf(const DataCentreName& dataCentre, MembershipActions& actions) const;
    MemberRecord observed(const MemberRecord& record) const;
    void probeNext(Instant now, MembershipActions& actions);
    void probeSeeds(Instant now, MembershipActions& actions);
    void requestList(Instant now, MembershipActions& actions);
    void sendProbe(const Endpoint& to, std::uint64_t sequence, MembershipActions& actions);
    void sendNotices(unsigned count, MembershipActions& actions);
    Gossip gossip();
    std::vector<MemberRecord> randomUsableMembers(unsigned count, const MemberName& except, const std::function<bool(const MemberRecord&)>& isEligible = {});
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
    GossipQueue m_gossipQueue;
    DataCentreContacts m_contacts;
    std::optional<ContactProbe> m_contactProbe;
    Instant m_nextContactProbe {};
    std::optional<Instant> m_lastTick;
    Duration m_listInterval;
    Instant m_nextListRequest {};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_firstRevalidationSequence = 0;
    Instant m_nextProbe {};
    Instant m_nextSeedProbe {};
    Instant m_nextExpiry {};
};

} // namespace pimentopoint
