/// \file
/// Simulation of the membership of a large fleet. It runs Membership on one thread with simulated time and without a network,
/// and depends on Core and Peer.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pimentopoint {

/// \class MembershipFleet
/// \brief Hosts in several data centres that exchange datagrams and member lists, which arrive without delay unless they are dropped.
class MembershipFleet {
public:
    struct Options {
        std::size_t hosts = 300;
        std::size_t dataCentres = 5;
        bool lists = true; ///< Whether hosts compare member lists, as edge hosts do.
        std::uint64_t seed = 1;
    };

    explicit MembershipFleet(Options options);

    /// Runs the hosts for \a duration. A host that has not been started yet starts within the first 300 ms.
    void step(Duration duration);
    /// Restarts \a host, which then knows nothing but the seeds.
    void restart(std::size_t host);
    /// Stops \a host without notice.
    void stop(std::size_t host) { m_hosts[host].running = false; }
    /// Runs the others while \a host is paused: it receives what was sent to it meanwhile after its next tick.
    void pause(std::size_t host, Duration duration);
    /// Sets which messages are lost, by sender and receiver.
    void setLoss(std::function<bool(std::size_t from, std::size_t to)> isLost) { m_isLost = std::move(isLost); }

    std::size_t size() const { return m_hosts.size(); }
    std::size_t dataCentreOf(std::size_t host) const { return host % m_options.dataCentres; }
    DataCentreName dataCentreName(std::size_t index) const { return DataCentreName("dc-" + std::to_string(index)); }
    MemberName nameOf(std::size_t host) const;
    const Membership& membership(std::size_t host) const { return *m_hosts[host].membership; }
    /// \returns the state of \a subject as \a viewer uses it; Dead if it is unknown
    MemberState stateOf(std::size_t viewer, std::size_t subject) const;
    /// \returns the number of running hosts that know every running host as usable
    std::size_t informedHosts() const;
    /// \returns datagram bytes sent per running host and second since the last call, with UDP and IP headers
    double datagramBytesPerSecond();
    /// \returns bytes of member lists received per running host since the last call
    double listBytesPerHost();
    std::size_t runningHosts() const;

private:
    struct Host {
        std::unique_ptr<Membership> membership;
        Duration startsAt { 0 };
        bool running = true;
        bool paused = false;
        std::vector<std::pair<std::size_t, std::string>> pending {}; ///< Sender and bytes of the datagrams that arrived during a pause.
    };

    Endpoint endpointOf(std::size_t host) const;
    std::size_t hostAt(const Endpoint& endpoint) const;
    std::unique_ptr<Membership> createMembership(std::size_t host);
    void perform(std::size_t host, const MembershipActions& actions);
    void exchangeLists(std::size_t from, std::size_t to);
    void receive(std::size_t host, std::size_t from, const std::string& bytes);

    Options m_options;
    ManualClock m_clock;
    Duration m_elapsed { 0 };
    Duration m_measuredSince { 0 };
    std::vector<Host> m_hosts;
    std::function<bool(std::size_t, std::size_t)> m_isLost = [](std::size_t, std::size_t) { return false; };
    std::uint64_t m_lastIncarnation = 1796362954884909;
    std::uint64_t m_datagramBytes = 0;
    std::uint64_t m_listBytes = 0;
};

} // namespace pimentopoint
