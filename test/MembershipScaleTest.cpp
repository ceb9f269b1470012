// Membership of fleets of hundreds of hosts: what every host knows after a burst of changes, and the bytes that it takes.
#include "MembershipFleet.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

/// Bytes per second that one host may spend on control, sent plus received; every byte is sent by one host and received by another.
constexpr double controlBytesPerSecond = 3072;

} // namespace

TEST_CASE("Hosts of a large fleet that start together all know each other within ten seconds, within the bytes allowed for control")
{
    for (std::size_t hosts : { 300, 1000 }) {
        INFO(hosts << " hosts");
        MembershipFleet::Options options;
        options.hosts = hosts;
        MembershipFleet fleet(options);
        fleet.step(10s);
        CHECK(fleet.informedHosts() == hosts);
        fleet.datagramBytesPerSecond();
        fleet.listBytesPerHost();
        fleet.step(10s);
        double datagramBytes = fleet.datagramBytesPerSecond();
        double listBytes = fleet.listBytesPerHost() / 10;
        INFO("per host: " << datagramBytes << " B/s of datagrams sent, " << listBytes << " B/s of lists received");
        CHECK(2 * (datagramBytes + listBytes) <= controlBytesPerSecond);
    }
}

TEST_CASE("Half of a large fleet restarts at once: all hosts know each other within ten seconds")
{
    MembershipFleet fleet({});
    fleet.step(20s);
    REQUIRE(fleet.informedHosts() == fleet.size());
    for (std::size_t i = 0; i < fleet.size(); i += 2)
        fleet.restart(i);
    fleet.step(10s);
    CHECK(fleet.informedHosts() == fleet.size());
}

TEST_CASE("A member that gossip has missed is learnt from a member list")
{
    // Every datagram of host 7 to others than the seeds is lost, and the seeds send no gossip about it.
    MembershipFleet::Options options;
    options.hosts = 40;
    MembershipFleet fleet(options);
    fleet.setLoss([](std::size_t from, std::size_t to) { return (from == 7 && to > 0) || (to == 7 && from > 0); });
    fleet.step(2s);
    fleet.setLoss([](std::size_t, std::size_t) { return false; });
    fleet.step(40s);
    CHECK(fleet.informedHosts() == fleet.size());
}
