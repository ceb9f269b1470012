#include "MembershipFleet.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);
    constexpr Duration startSpread = std::chrono::milliseconds(300);
    constexpr std::uint64_t udpOverheadBytes = 28; ///< UDP and IPv4 headers.
    constexpr std::size_t hostsPerNetwork = 200;
    constexpr std::size_t seeds = 3;

} // namespace

MembershipFleet::MembershipFleet(Options options)
    : m_options(options)
    , m_hosts(options.hosts)
{
    Random random(options.seed);
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i].membership = createMembership(i);
        m_hosts[i].startsAt = scaled(startSpread, random.fraction());
    }
}

Endpoint MembershipFleet::endpointOf(std::size_t host) const
{
    return { "10.0." + std::to_string(host / hostsPerNetwork) + "." + std::to_string(host % hostsPerNetwork), 7000 };
}

std::size_t MembershipFleet::hostAt(const Endpoint& endpoint) const
{
    std::size_t third = endpoint.address().find('.', 5);
    return std::stoul(endpoint.address().substr(5, third - 5)) * hostsPerNetwork + std::stoul(endpoint.address().substr(third + 1));
}

MemberName MembershipFleet::nameOf(std::size_t host) const
{
    return MemberName("host-" + std::to_string(dataCentreOf(host)) + "-" + std::to_string(host));
}

std::unique_ptr<Membership> MembershipFleet::createMembership(std::size_t host)
{
    MemberRecord self(nameOf(host), MemberRole::Front, dataCentreName(dataCentreOf(host)), Incarnation(++m_lastIncarnation));
    self.setEndpoints(endpointOf(host), endpointOf(host), endpointOf(host));
    std::vector<Endpoint> seedEndpoints;
    for (std::size_t i = 0; i < std::min(seeds, m_hosts.size()); ++i)
        seedEndpoints.push_back(endpointOf(i));
    MembershipTiming timing;
    if (m_options.lists)
        timing.minListInterval = std::chrono::milliseconds(500);
    return std::make_unique<Membership>(self, seedEndpoints, timing, m_options.seed * 1000 + host);
}

void MembershipFleet::restart(std::size_t host)
{
    m_hosts[host].membership = createMembership(host);
    m_hosts[host].running = true;
}

void MembershipFleet::step(Duration duration)
{
    for (Duration until = m_elapsed + duration; m_elapsed < until;) {
        m_elapsed += tickInterval;
        m_clock.advance(tickInterval);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_hosts[i].running && !m_hosts[i].paused && m_elapsed >= m_hosts[i].startsAt)
                perform(i, m_hosts[i].membership->tick(m_clock.now()));
        }
    }
}

void MembershipFleet::perform(std::size_t host, const MembershipActions& actions)
{
    if (actions.requestMembersFrom && m_options.lists)
        exchangeLists(host, hostAt(actions.requestMembersFrom->tcp()));
    for (const MembershipActions::Datagram& datagram : actions.datagrams) {
        m_datagramBytes += datagram.bytes.size() + udpOverheadBytes;
        std::size_t to = hostAt(datagram.destination);
        bool started = m_elapsed >= m_hosts[to].startsAt;
        if (started && m_hosts[to].running && !m_isLost(host, to))
            receive(to, host, datagram.bytes);
    }
}

void MembershipFleet::receive(std::size_t host, std::size_t from, const std::string& bytes)
{
    if (m_hosts[host].paused)
        m_hosts[host].pending.emplace_back(from, bytes);
    else
        perform(host, m_hosts[host].membership->handleDatagram(bytes, endpointOf(from), m_clock.now()));
}

void MembershipFleet::pause(std::size_t host, Duration duration)
{
    m_hosts[host].paused = true;
    step(duration);
    m_hosts[host].paused = false;
    // After a pause, timers may expire before the datagrams that arrived meanwhile are read.
    perform(host, m_hosts[host].membership->tick(m_clock.now()));
    for (const auto& [from, bytes] : std::exchange(m_hosts[host].pending, {}))
        receive(host, from, bytes);
}

void MembershipFleet::exchangeLists(std::size_t from, std::size_t to)
{
    const Membership& other = *m_hosts[to].membership;
    bool reachable = m_hosts[to].running && !m_hosts[to].paused && !m_isLost(from, to) && !m_isLost(to, from);
    if (!reachable || other.digest() == m_hosts[from].membership->digest())
        return;
    MembersReply list { other.members() };
    list.members.push_back(other.self());
    m_listBytes += encodeDatagram(list).size();
    perform(from, m_hosts[from].membership->merge(list.members, m_clock.now()));
}

MemberState MembershipFleet::stateOf(std::size_t viewer, std::size_t subject) const
{
    for (const MemberRecord& record : membership(viewer).members()) {
        if (record.name() == nameOf(subject))
            return record.state();
    }
    return MemberState::Dead;
}

std::size_t MembershipFleet::runningHosts() const
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const Host& host) { return host.running; }));
}

std::size_t MembershipFleet::informedHosts() const
{
    std::vector<std::pair<MemberName, bool>> running;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        running.emplace_back(nameOf(i), m_hosts[i].running);
    std::size_t informed = 0;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (!m_hosts[i].running)
            continue;
        auto isKnown = [&](const auto& each) {
            const MemberRecord* record = membership(i).member(each.first);
            return !each.second || each.first == nameOf(i) || (record && record->usable());
        };
        informed += std::all_of(running.begin(), running.end(), isKnown);
    }
    return informed;
}

double MembershipFleet::datagramBytesPerSecond()
{
    double seconds = std::chrono::duration<double>(m_elapsed - m_measuredSince).count();
    m_measuredSince = m_elapsed;
    return static_cast<double>(std::exchange(m_datagramBytes, 0)) / static_cast<double>(runningHosts()) / seconds;
}

double MembershipFleet::listBytesPerHost()
{
    return static_cast<double>(std::exchange(m_listBytes, 0)) / static_cast<double>(runningHosts());
}

} // namespace pimentopoint
