#include "Membership.h"

#include "Frame.h"

#include <algorithm>
#include <bit>
#include <set>

namespace pimentopoint {

namespace {

    /// Limit on the size of the member records in one datagram (bytes).
    constexpr std::size_t maxGossipBytes = 900;
    /// Members notified directly when this one leaves; the others receive the record by gossip.
    constexpr unsigned leaveFanout = 16;
    /// Members probed at once by revalidate().
    constexpr unsigned revalidationProbes = 3;
    /// Members of a data centre that are probed when one of them does not acknowledge.
    constexpr unsigned contactProbes = 3;
    /// Time between two ticks after which this process is assumed to have been paused; longer than a busy host needs.
    constexpr Duration maxTickInterval = std::chrono::milliseconds(250);
    /// Checks of all entries for timeouts, which are multiples of the protocol period.
    constexpr int expiryChecksPerPeriod = 4;
    /// One of this many member lists is requested from any data centre, the others from the local one.
    constexpr std::uint64_t remoteListPeriod = 8;

} // namespace

Membership::Membership(MemberRecord self, std::vector<Endpoint> seeds, MembershipTiming timing, std::uint64_t seed)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_timing(timing)
    , m_random(seed)
    , m_listInterval(timing.minListInterval)
{
    std::erase(m_seeds, m_self.udp());
}

std::vector<MemberRecord> Membership::members() const
{
    std::vector<MemberRecord> records;
    records.reserve(m_entries.size());
    for (const auto& [name, entry] : m_entries)
        records.push_back(observed(entry.record));
    return records;
}

MemberRecord Membership::observed(const MemberRecord& record) const
{
    MemberRecord result = record;
    if (result.state() == MemberState::Alive && !m_contacts.isReachable(result.dataCentre()))
        result.setState(MemberState::Suspect);
    return result;
}

const MemberRecord* Membership::member(const MemberName& name) const
{
    auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::size_t Membership::usableCount() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [](const auto& entry) { return entry.second.record.usable(); }));
}

unsigned Membership::transmissionLimit() const
{
    return 2 * static_cast<unsigned>(std::bit_width(m_entries.size() + 1));
}

void Membership::queueForGossip(const MemberRecord& record)
{
    m_gossipQueue.push(record, transmissionLimit());
}

Gossip Membership::gossip()
{
    return { m_self, m_versions, m_gossipQueue.takeForDatagram(maxGossipBytes) };
}

std::uint64_t Membership::digest() const
{
    std::string bytes;
    auto append = [&bytes](const MemberRecord& record) { bytes += record.name().value() + '/' + std::to_string(record.incarnation().value()) + '/' + std::to_string(record.revision()) + '/' + std::to_string(static_cast<unsigned>(record.state())) + ' '; };
    bool selfAppended = false;
    for (const auto& [name, entry] : m_entries) {
        if (!selfAppended && m_self.name() < name) {
            append(m_self);
            selfAppended = true;
        }
        append(entry.record);
    }
    if (!selfAppended)
        append(m_self);
    return hashOf(bytes);
}

void Membership::sendProbe(const Endpoint& to, std::uint64_t sequence, MembershipActions& actions)
{
    actions.datagrams.push_back({ to, encodeDatagram(Probe { sequence, gossip() }) });
}

std::vector<MemberRecord> Membership::randomUsableMembers(unsigned count, const MemberName& except, const std::function<bool(const MemberRecord&)>& isEligible)
{
    std::vector<MemberRecord> candidates;
    for (const auto& [name, entry] : m_entries) {
        if (entry.record.usable() && name != except && (!isEligible || isEligible(entry.record)))
            candidates.push_back(entry.record);
    }
    std::vector<MemberRecord> chosen;
    while (chosen.size() < count && !candidates.empty()) {
        std::size_t index = m_random.below(candidates.size());
        chosen.push_back(candidates[index]);
        candidates[index] = candidates.back();
        candidates.pop_back();
    }
    return chosen;
}

MembershipActions Membership::tick(Instant now)
{
    MembershipActions actions;
    if (m_lastTick && now - *m_lastTick > maxTickInterval)
        handlePause(now - *m_lastTick);
    m_lastTick = now;
    checkPendingProbe(now, actions);
    checkRelayedProbes(now, actions);
    checkContacts(now, actions);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + m_timing.protocolPeriod / expiryChecksPerPeriod;
        expireEntries(now, actions);
    }
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_timing.protocolPeriod;
        probeNext(now, actions);
        probeUnreachable(actions);
    }
    if (now >= m_nextSeedProbe) {
        m_nextSeedProbe = now + m_timing.seedInterval;
        probeSeeds(now, actions);
    }
    if (m_timing.minListInterval > Duration(0) && now >= m_nextListRequest)
        requestList(now, actions);
    return actions;
}

void Membership::requestList(Instant now, MembershipActions& actions)
{
    std::vector<MemberRecord> local;
    std::vector<MemberRecord> all;
    for (const auto& [name, entry] : m_entries) {
        if (!entry.record.usable())
            continue;
        all.push_back(entry.record);
        if (entry.record.dataCentre() == m_self.dataCentre())
            local.push_back(entry.record);
    }
    const std::vector<MemberRecord>& candidates = local.empty() || m_random.below(remoteListPeriod) == 0 ? all : local;
    if (candidates.empty())
        return;
    actions.requestMembersFrom = candidates[m_random.below(candidates.size())];
    // The interval is random, so that members that start together don't send their requests together.
    m_nextListRequest = now + scaled(m_listInterval, (1 + m_random.fraction()) / 2);
    m_listInterval = std::min(2 * m_listInterval, m_timing.maxListInterval);
}

void Membership::checkPendingProbe(Instant now, MembershipActions& actions)
{
    if (!m_pendingProbe)
        return;
    Duration waited = now - m_pendingProbe->sentAt;
    auto found = m_entries.find(m_pendingProbe->subject);
    if (found == m_entries.end()) {
        m_pendingProbe.reset();
        return;
    }
    const MemberRecord& subject = found->second.record;
    if (!m_pendingProbe->indirectSent && waited >= m_timing.ackTimeout) {
        m_pendingProbe->indirectSent = true;
        sendIndirectProbes(subject, actions);
        doubtSilent(subject.dataCentre(), m_pendingProbe->sentAt, now, actions);
    }
    if (waited >= m_timing.protocolPeriod) {
        bool suspect = subject.state() == MemberState::Alive && failsAlone(subject, m_pendingProbe->sentAt);
        m_pendingProbe.reset();
        if (suspect)
            setState(found->second, MemberState::Suspect, now, actions);
    }
}

void Membership::sendIndirectProbes(const MemberRecord& subject, MembershipActions& actions)
{
    // One of the helpers is a neighbour, which learns at the same time whether it reaches the subject's data centre itself.
    std::vector<MemberRecord> helpers = randomUsableMembers(1, subject.name(), [this](const MemberRecord& member) { return member.dataCentre() == m_self.dataCentre(); });
    for (MemberRecord& helper : randomUsableMembers(m_timing.indirectProbes, subject.name(), [this](const MemberRecord& member) { return m_contacts.isReachable(member.dataCentre()); })) {
        if (helpers.size() < m_timing.indirectProbes && (helpers.empty() || helper.name() != helpers.front().name()))
            helpers.push_back(std::move(helper));
    }
    for (const MemberRecord& helper : helpers) {
        IndirectProbe request { m_pendingProbe->sequence, subject.udp(), gossip() };
        actions.datagrams.push_back({ helper.udp(), encodeDatagram(request) });
    }
}

bool Membership::failsAlone(const MemberRecord& subject, Instant sentAt) const
{
    // What was received before the acknowledgement was due does not show that the data centre still replied then.
    if (m_contacts.heardSince(subject.dataCentre(), sentAt + m_timing.ackTimeout))
        return true;
    return std::none_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        const MemberRecord& record = entry.second.record;
        return record.usable() && record.dataCentre() == subject.dataCentre() && record.name() != subject.name();
    });
}

void Membership::handlePause(Duration pause)
{
    // Replies that arrived meanwhile have not been received yet.
    if (m_pendingProbe)
        m_pendingProbe->sentAt += pause;
    if (m_contactProbe)
        m_contactProbe->sentAt += pause;
    for (auto& [sequence, relay] : m_relayedProbes)
        relay.receivedAt += pause;
    m_contacts.handlePause(pause);
}

void Membership::checkRelayedProbes(Instant now, MembershipActions& actions)
{
    for (auto& [sequence, relay] : m_relayedProbes) {
        if (!relay.dataCentre || now - relay.receivedAt < m_timing.ackTimeout)
            continue;
        doubtSilent(*relay.dataCentre, relay.receivedAt, now, actions);
        relay.dataCentre.reset();
    }
    std::erase_if(m_relayedProbes, [&](const auto& relay) { return now - relay.second.receivedAt > m_timing.protocolPeriod; });
}

void Membership::doubtSilent(const DataCentreName& dataCentre, Instant sentAt, Instant now, MembershipActions& actions)
{
    if (!doubt(dataCentre, sentAt, now, actions))
        return;
    // A partition often separates from several data centres at once.
    std::set<DataCentreName> others;
    for (const auto& [name, entry] : m_entries)
        others.insert(entry.record.dataCentre());
    for (const DataCentreName& other : others)
        doubt(other, now - m_timing.ackTimeout, now, actions);
    // Neighbours that probe the data centre on request learn without a probe of their own whether they reach it.
    auto subjects = randomUsableMembers(1, m_self.name(), [&](const MemberRecord& each) { return each.dataCentre() == dataCentre; });
    for (const MemberRecord& neighbour : randomUsableMembers(contactProbes, subjects.front().name(), [this](const MemberRecord& each) { return each.dataCentre() == m_self.dataCentre(); }))
        actions.datagrams.push_back({ neighbour.udp(), encodeDatagram(IndirectProbe { ++m_sequence, subjects.front().udp(), gossip() }) });
}

bool Membership::doubt(const DataCentreName& dataCentre, Instant since, Instant now, MembershipActions& actions)
{
    std::vector<MemberRecord> probed = randomUsableMembers(contactProbes, m_self.name(), [&](const MemberRecord& each) { return each.dataCentre() == dataCentre; });
    if (probed.empty() || !m_contacts.doubt(dataCentre, since, now))
        return false;
    for (const MemberRecord& member : probed)
        sendProbe(member.udp(), ++m_sequence, actions);
    return true;
}

void Membership::checkContacts(Instant now, MembershipActions& actions)
{
    if (m_contactProbe && now - m_contactProbe->sentAt >= m_timing.ackTimeout) {
        ContactProbe probe = *std::exchange(m_contactProbe, std::nullopt);
        doubtSilent(probe.dataCentre, probe.sentAt, now, actions);
    }
    if (!m_contactProbe && now >= m_nextContactProbe && !m_contacts.heardElsewhereSince(m_self.dataCentre(), now - m_timing.protocolPeriod)) {
        m_nextContactProbe = now + m_timing.protocolPeriod;
        for (const MemberRecord& member : randomUsableMembers(1, m_self.name(), [this](const MemberRecord& each) { return each.dataCentre() != m_self.dataCentre() && m_contacts.isReachable(each.dataCentre()); })) {
            m_contactProbe = ContactProbe { member.dataCentre(), now };
            sendProbe(member.udp(), ++m_sequence, actions);
        }
    }
    for (const DataCentreName& dataCentre : m_contacts.takeUnreachable(m_timing.ackTimeout, now)) {
        actions.unreachableDataCentres.push_back(dataCentre);
        reportMembersOf(dataCentre, actions);
    }
}

void Membership::reportMembersOf(const DataCentreName& dataCentre, MembershipActions& actions) const
{
    for (const auto& [name, entry] : m_entries) {
        if (entry.record.dataCentre() == dataCentre)
            actions.changedMembers.push_back(observed(entry.record));
    }
}

void Membership::probeUnreachable(MembershipActions& actions)
{
    for (const DataCentreName& dataCentre : m_contacts.unreachable()) {
        for (const MemberRecord& member : randomUsableMembers(1, m_self.name(), [&](const MemberRecord& each) { return each.dataCentre() == dataCentre; }))
            sendProbe(member.udp(), ++m_sequence, actions);
    }
}

void Membership::expireEntries(Instant now, MembershipActions& actions)
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        MemberState state = entry->second.record.state();
        Duration age = now - entry->second.changedAt;
        auto unreachableSince = m_contacts.unreachableSince(entry->second.record.dataCentre());
        bool expiredSuspicion = !unreachableSince && state == MemberState::Suspect && age >= m_timing.protocolPeriod * m_timing.suspicionPeriods;
        if (expiredSuspicion) {
            setState(entry->second, MemberState::Dead, now, actions);
        } else if (unreachableSince && entry->second.record.usable() && now - *unreachableSince >= m_timing.unreachableRetention) {
            // Every member concludes this for itself.
            entry->second.record.setState(MemberState::Dead);
            entry->second.changedAt = now;
            actions.changedMembers.push_back(entry->second.record);
        }
        bool expired = (state == MemberState::Dead || state == MemberState::Leaving) && age >= m_timing.deadRetention;
        entry = expired ? m_entries.erase(entry) : std::next(entry);
    }
}

void Membership::probeNext(Instant now, MembershipActions& actions)
{
    for (std::size_t examined = 0; examined <= m_entries.size(); ++examined) {
        if (m_probeIndex >= m_probeOrder.size()) {
            m_probeOrder.clear();
            for (const auto& [name, entry] : m_entries)
                m_probeOrder.push_back(name);
            for (std::size_t i = m_probeOrder.size(); i > 1; --i)
                std::swap(m_probeOrder[i - 1], m_probeOrder[m_random.below(i)]);
            m_probeIndex = 0;
        }
        if (m_probeOrder.empty())
            return;
        auto found = m_entries.find(m_probeOrder[m_probeIndex++]);
        if (found == m_entries.end() || !found->second.record.usable())
            continue;
        m_pendingProbe = PendingProbe { ++m_sequence, found->first, now };
        sendProbe(found->second.record.udp(), m_pendingProbe->sequence, actions);
        return;
    }
}

void Membership::probeSeeds(Instant, MembershipActions& actions)
{
    std::vector<Endpoint> unreachedEndpoints;
    for (const Endpoint& seed : m_seeds) {
        auto known = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.second.record.udp() == seed; });
        if (known == m_entries.end())
            unreachedEndpoints.push_back(seed);
    }
    for (const auto& [name, entry] : m_entries) {
        if (entry.record.state() == MemberState::Dead)
            unreachedEndpoints.push_back(entry.record.udp());
    }
    if (m_entries.empty()) {
        for (const Endpoint& seed : unreachedEndpoints)
            sendProbe(seed, ++m_sequence, actions);
    } else if (!unreachedEndpoints.empty()) {
        sendProbe(unreachedEndpoints[m_random.below(unreachedEndpoints.size())], ++m_sequence, actions);
    }
}

void Membership::setState(Entry& entry, MemberState state, Instant now, MembershipActions& actions)
{
    entry.record.setState(state);
    entry.changedAt = now;
    queueForGossip(entry.record);
    actions.changedMembers.push_back(entry.record);
}

void Membership::handleOwnRecord(const MemberRecord& record, MembershipActions& actions)
{
    if (record.incarnation() > m_self.incarnation()) {
        actions.superseded = true;
        return;
    }
    bool currentIncarnation = record.incarnation() == m_self.incarnation();
    if (!currentIncarnation || m_self.state() == MemberState::Leaving || !record.supersedes(m_self))
        return;
    m_self.setRevision(record.revision() + 1);
    queueForGossip(m_self);
}

bool Membership::applyRecord(const MemberRecord& record, Instant now, MembershipActions& actions)
{
    if (record.name() == m_self.name()) {
        handleOwnRecord(record, actions);
        return false;
    }
    auto [found, added] = m_entries.try_emplace(record.name(), Entry { record, now });
    if (!added && !record.supersedes(found->second.record))
        return false;
    found->second = { record, now };
    actions.changedMembers.push_back(record);
    return true;
}

void Membership::applyGossipedRecord(const MemberRecord& record, Instant now, MembershipActions& actions)
{
    if (applyRecord(record, now, actions))
        queueForGossip(record);
    else
        m_gossipQueue.recordDuplicate(record);
}

void Membership::applyGossip(const Gossip& gossip, const Endpoint& from, Instant now, MembershipActions& actions)
{
    if (gossip.sender.name() == m_self.name())
        return handleOwnRecord(gossip.sender, actions);
    bool hadNoMembers = m_entries.empty();
    bool isDirect = from == gossip.sender.udp();
    if (isDirect && m_contacts.recordHeard(gossip.sender.dataCentre(), now)) {
        actions.reachableDataCentres.push_back(gossip.sender.dataCentre());
        reportMembersOf(gossip.sender.dataCentre(), actions);
        // A probe sent before that says nothing about its subject.
        m_pendingProbe.reset();
    }
    if (applyRecord(gossip.sender, now, actions))
        queueForGossip(gossip.sender);
    for (const MemberRecord& record : gossip.records)
        applyGossipedRecord(record, now, actions);
    if (hadNoMembers)
        actions.requestMembersFrom = gossip.sender;
    if (gossip.versions.newerThan(m_versions))
        actions.requestDocumentsFrom = gossip.sender;
    if (gossip.versions.conflictsWith(m_versions))
        actions.documentConflict = true;
}

MembershipActions Membership::handleDatagram(const std::string& bytes, const Endpoint& from, Instant now)
{
    MembershipActions actions;
    Frame frame = Frame::parse(bytes);
    switch (frame.type()) {
    case MessageType::Probe:
        handleProbe(frame.decode<Probe>(), from, now, actions);
        break;
    case MessageType::ProbeAck:
        handleAck(frame.decode<ProbeAck>(), from, now, actions);
        break;
    case MessageType::IndirectProbe:
        handleIndirectProbe(frame.decode<IndirectProbe>(), from, now, actions);
        break;
    case MessageType::Notice:
        applyGossip(frame.decode<Notice>().gossip, from, now, actions);
        break;
    default:
        throw MalformedMessage(MalformedMessage::Cause::UnknownType, "message type is not allowed over UDP");
    }
    return actions;
}

void Membership::handleProbe(const Probe& probe, const Endpoint& from, Instant now, MembershipActions& actions)
{
    applyGossip(probe.gossip, from, now, actions);
    // A sender that is recorded here as suspected or dead receives that record with the reply and refutes it with a higher
    // revision.
    auto known = m_entries.find(probe.gossip.sender.name());
    if (known != m_entries.end() && known->second.record.supersedes(probe.gossip.sender))
        queueForGossip(known->second.record);
    actions.datagrams.push_back({ from, encodeDatagram(ProbeAck { probe.sequence, gossip() }) });
}

void Membership::handleAck(const ProbeAck& ack, const Endpoint& from, Instant now, MembershipActions& actions)
{
    applyGossip(ack.gossip, from, now, actions);
    auto relay = m_relayedProbes.find(ack.sequence);
    if (relay != m_relayedProbes.end()) {
        ProbeAck forwarded { relay->second.originalSequence, ack.gossip };
        actions.datagrams.push_back({ relay->second.origin, encodeDatagram(forwarded) });
        m_relayedProbes.erase(relay);
        return;
    }
    if (m_firstRevalidationSequence && ack.sequence >= m_firstRevalidationSequence)
        actions.confirmed = true;
    if (m_pendingProbe && m_pendingProbe->sequence == ack.sequence)
        m_pendingProbe.reset();
}

void Membership::handleIndirectProbe(const IndirectProbe& request, const Endpoint& from, Instant now, MembershipActions& actions)
{
    applyGossip(request.gossip, from, now, actions);
    std::uint64_t sequence = ++m_sequence;
    auto subject = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.second.record.udp() == request.subject; });
    auto dataCentre = subject == m_entries.end() ? std::nullopt : std::optional(subject->second.record.dataCentre());
    m_relayedProbes[sequence] = { request.sequence, from, now, dataCentre };
    sendProbe(request.subject, sequence, actions);
}

MembershipActions Membership::merge(const std::vector<MemberRecord>& records, Instant now)
{
    MembershipActions actions;
    for (const MemberRecord& record : records)
        applyRecord(record, now, actions);
    if (!actions.changedMembers.empty()) {
        m_listInterval = m_timing.minListInterval;
        m_nextListRequest = std::min(m_nextListRequest, now + m_listInterval);
    }
    return actions;
}

MembershipActions Membership::handleIntroduction(const MemberRecord& record, Instant now)
{
    MembershipActions actions;
    applyGossipedRecord(record, now, actions);
    return actions;
}

void Membership::sendNotices(unsigned count, MembershipActions& actions)
{
    for (const MemberRecord& record : randomUsableMembers(count, m_self.name()))
        actions.datagrams.push_back({ record.udp(), encodeDatagram(Notice { gossip() }) });
}

MembershipActions Membership::setVersions(const DocumentVersions& versions, Instant)
{
    MembershipActions actions;
    bool newer = versions.newerThan(m_versions);
    m_versions = versions;
    if (newer)
        sendNotices(m_timing.noticeFanout, actions);
    return actions;
}

MembershipActions Membership::revalidate(Instant now)
{
    MembershipActions actions;
    m_pendingProbe.reset();
    m_nextProbe = now + m_timing.protocolPeriod;
    m_firstRevalidationSequence = m_sequence + 1;
    for (auto& [name, entry] : m_entries) {
        // Nothing was received during a pause, so it must not count towards the suspicion timeout.
        if (entry.record.state() == MemberState::Suspect)
            entry.changedAt = now;
    }
    for (const MemberRecord& record : randomUsableMembers(revalidationProbes, m_self.name()))
        sendProbe(record.udp(), ++m_sequence, actions);
    return actions;
}

MembershipActions Membership::leave(Instant)
{
    MembershipActions actions;
    m_self.setRevision(m_self.revision() + 1);
    m_self.setState(MemberState::Leaving);
    sendNotices(leaveFanout, actions);
    return actions;
}

} // namespace pimentopoint
