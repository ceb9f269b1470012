/// \file
/// Simulation of many members for the capacity bench, on one thread. Depends on Core and Peer.
#pragma once

#include "../Measure.h"
#include "DesignSize.h"

#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace pimentopoint::bench {

using namespace std::chrono_literals;

/// Members that exchange datagrams in memory on a manual clock; every datagram arrives without delay or loss.
class SimulatedMembers {
public:
    explicit SimulatedMembers(std::size_t count)
    {
        std::vector<MemberRecord> records;
        for (std::size_t i = 0; i < count; ++i)
            records.push_back(record(i, 1));
        HeapUsage before = heapUsage();
        for (std::size_t i = 0; i < count; ++i) {
            m_members.push_back(std::make_unique<Membership>(records[i], std::vector<Endpoint> { endpointOf(0), endpointOf(1) }, MembershipTiming(), i + 1));
            m_members.back()->merge(records, m_clock.now());
        }
        bytesPerMember = static_cast<double>(heapUsage().bytes - before.bytes) / static_cast<double>(count);
        adoptedAt.resize(count);
        m_down.resize(count);
        settle(10s);
    }
    static Endpoint endpointOf(std::size_t index) { return { "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200), 7000 }; }
    static MemberRecord record(std::size_t index, std::uint64_t incarnation)
    {
        MemberRecord member(MemberName("member-" + std::to_string(index)), index % 2 ? MemberRole::Front : MemberRole::Gateway, DataCentreName(dataCentreName(index)),
            Incarnation(1796362954884909 + incarnation));
        Endpoint endpoint = endpointOf(index);
        return member.setEndpoints(endpoint, { endpoint.address(), 7001 }, { endpoint.address(), 7002 });
    }
    void step(Duration duration)
    {
        constexpr Duration tick = 50ms;
        for (Duration elapsed(0); elapsed < duration; elapsed += tick) {
            m_clock.advance(tick);
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                if (!m_down[i])
                    deliver(i, m_members[i]->tick(m_clock.now()));
            }
            adoptFetchedVersions();
        }
    }
    /// Stops the members \a begin to \a end without notifying the others.
    void stopMembers(std::size_t begin, std::size_t end)
    {
        for (std::size_t i = begin; i < end; ++i)
            m_down[i] = true;
    }
    /// Drops all datagrams between the members of region 0 and the others while \a partitioned.
    void setPartitioned(bool partitioned) { m_partitioned = partitioned; }
    static bool inPartitionedRegion(std::size_t index) { return index % static_cast<std::size_t>(dataCentres) % 3 == 0; }
    /// \returns whether every live member holds the state \a expected for every member that \a selected returns true for
    bool allObserve(const std::function<bool(std::size_t viewer, std::size_t subject)>& selected, MemberState expected) const
    {
        std::vector<MemberName> names;
        for (std::size_t i = 0; i < m_members.size(); ++i)
            names.push_back(record(i, 1).name());
        for (std::size_t viewer = 0; viewer < m_members.size(); ++viewer) {
            for (std::size_t subject = 0; !m_down[viewer] && subject < m_members.size(); ++subject) {
                if (viewer == subject || !selected(viewer, subject))
                    continue;
                const MemberRecord* known = m_members[viewer]->member(names[subject]);
                if (!known || known->state() != expected)
                    return false;
            }
        }
        return true;
    }
    void restart(std::size_t index)
    {
        m_members[index] = std::make_unique<Membership>(record(index, ++m_incarnation), std::vector<Endpoint> { endpointOf(0), endpointOf(1) }, MembershipTiming(), index);
        m_members[index]->merge(m_members[0]->members(), m_clock.now());
    }
    void setVersion(std::size_t index, std::uint64_t version)
    {
        adoptedAt[index] = m_clock.now();
        deliver(index, m_members[index]->setVersions({ ConfigurationVersion(version), Digest(version), HostListVersion(1), Digest(1) }, m_clock.now()));
    }
    Instant now() const { return m_clock.now(); }
    double liveCount() const { return static_cast<double>(std::count(m_down.begin(), m_down.end(), false)); }

    double bytesPerMember = 0;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::vector<Instant> adoptedAt;

private:
    void settle(Duration duration)
    {
        step(duration);
        bytes = 0;
        datagrams = 0;
    }
    void deliver(std::size_t from, const MembershipActions& actions)
    {
        if (actions.requestDocumentsFrom) {
            std::size_t at = indexOf(actions.requestDocumentsFrom->udp());
            std::uint64_t version = m_members[at]->versions().configuration().value();
            m_pendingFetches.emplace(m_clock.now() + fetchTime, std::pair(from, version));
        }
        for (const MembershipActions::Datagram& datagram : actions.datagrams) {
            bytes += datagram.bytes.size() + udpOverheadBytes;
            ++datagrams;
            std::size_t to = indexOf(datagram.destination);
            bool crossesPartition = m_partitioned && to < m_members.size() && inPartitionedRegion(from) != inPartitionedRegion(to);
            if (to < m_members.size() && !m_down[to] && !crossesPartition)
                deliver(to, m_members[to]->handleDatagram(datagram.bytes, endpointOf(from), m_clock.now()));
        }
    }
    static std::size_t indexOf(const Endpoint& endpoint)
    {
        std::size_t third = endpoint.address().find('.', 5);
        return std::stoul(endpoint.address().substr(5, third - 5)) * 200 + std::stoul(endpoint.address().substr(third + 1));
    }
    void adoptFetchedVersions()
    {
        while (!m_pendingFetches.empty() && m_pendingFetches.begin()->first <= m_clock.now()) {
            auto [index, version] = m_pendingFetches.begin()->second;
            m_pendingFetches.erase(m_pendingFetches.begin());
            if (m_members[index]->versions().configuration().value() < version)
                setVersion(index, version);
        }
    }

    static constexpr Duration fetchTime = 150ms; // Request, reply and parsing of a document.
    static constexpr std::uint64_t udpOverheadBytes = 28; // UDP and IPv4 headers.
    ManualClock m_clock;
    std::vector<std::unique_ptr<Membership>> m_members;
    std::vector<bool> m_down;
    bool m_partitioned = false;
    std::multimap<Instant, std::pair<std::size_t, std::uint64_t>> m_pendingFetches;
    std::uint64_t m_incarnation = 1;
};

} // namespace pimentopoint::bench
