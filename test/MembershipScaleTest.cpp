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

TEST_CASE("A data centre that is cut off is unreachable from all hosts of the others, and they from its hosts, within two seconds, and no longer two seconds after the cut")
{
    struct Case {
        const char* name;
        std::size_t hosts;
        std::size_t dataCentres;
    };
    for (const Case& each : { Case { "300 hosts", 300, 5 }, Case { "six hosts", 6, 3 } }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            INFO(each.name << ", seed " << seed);
            MembershipFleet::Options options;
            options.hosts = each.hosts;
            options.dataCentres = each.dataCentres;
            options.seed = seed;
            MembershipFleet fleet(options);
            fleet.step(15s);
            REQUIRE(fleet.informedHosts() == fleet.size());
            auto agreeing = [&](bool reachable) {
                std::size_t count = 0;
                for (std::size_t host = 0; host < fleet.size(); ++host) {
                    bool agrees = true;
                    for (std::size_t other = 0; other < each.dataCentres; ++other) {
                        bool isAcross = (fleet.dataCentreOf(host) == 1) != (other == 1);
                        agrees = agrees && fleet.membership(host).contacts().isReachable(fleet.dataCentreName(other)) == (reachable || !isAcross);
                    }
                    count += agrees;
                }
                return count;
            };
            CHECK(agreeing(true) == fleet.size());
            fleet.setLoss([&](std::size_t from, std::size_t to) { return (fleet.dataCentreOf(from) == 1) != (fleet.dataCentreOf(to) == 1); });
            fleet.step(2s);
            // A host of a large fleet probes a given data centre every few seconds, so not all hosts of the others have noticed by now.
            std::size_t cutOff = each.hosts / each.dataCentres;
            CHECK(agreeing(false) >= cutOff);
            for (std::size_t host = 0; host < fleet.size(); ++host) {
                if (fleet.dataCentreOf(host) == 1)
                    CHECK_FALSE(fleet.membership(host).contacts().isReachable(fleet.dataCentreName(0)));
            }
            fleet.step(6s);
            CHECK(agreeing(false) == fleet.size());
            fleet.setLoss([](std::size_t, std::size_t) { return false; });
            fleet.step(2s);
            CHECK(agreeing(true) == fleet.size());
            for (std::size_t host = 0; host < fleet.size(); ++host) {
                for (const MemberRecord& record : fleet.membership(host).members())
                    CHECK(record.state() == MemberState::Alive);
            }
        }
    }
}

TEST_CASE("A fleet of 750 hosts that is cut in two: each half is unreachable from the other within 11 s, and again after it, within the bytes allowed for control")
{
    MembershipFleet::Options options;
    options.hosts = 750;
    options.dataCentres = 7;
    MembershipFleet fleet(options);
    fleet.step(15s);
    REQUIRE(fleet.informedHosts() == fleet.size());
    auto isAcross = [&](std::size_t a, std::size_t b) { return (fleet.dataCentreOf(a) % 3 == 0) != (fleet.dataCentreOf(b) % 3 == 0); };
    auto viewsMatch = [&](bool cut) {
        for (std::size_t host = 0; host < fleet.size(); ++host) {
            for (std::size_t other = 0; other < options.dataCentres; ++other) {
                if (fleet.membership(host).contacts().isReachable(fleet.dataCentreName(other)) == (cut && isAcross(host, other)))
                    return false;
            }
        }
        return true;
    };
    constexpr Duration allowed = 11s;
    for (bool cut : { true, false }) {
        INFO((cut ? "cut" : "healed"));
        if (cut)
            fleet.setLoss(isAcross);
        else
            fleet.setLoss([](std::size_t, std::size_t) { return false; });
        fleet.datagramBytesPerSecond();
        fleet.listBytesPerHost();
        fleet.step(allowed);
        CHECK(viewsMatch(cut));
        double bytes = fleet.datagramBytesPerSecond() + fleet.listBytesPerHost() / std::chrono::duration<double>(allowed).count();
        INFO(bytes << " bytes sent per second and host");
        CHECK(2 * bytes <= controlBytesPerSecond);
    }
    CHECK(fleet.informedHosts() == fleet.size());
}

TEST_CASE("A host that was cut off alone finds all others alive when it is back, and they it")
{
    MembershipFleet fleet({});
    fleet.step(15s);
    fleet.setLoss([](std::size_t from, std::size_t to) { return (from == 7) != (to == 7); });
    fleet.step(12s);
    for (std::size_t other = 0; other < fleet.size(); ++other) {
        if (other != 7)
            CHECK(fleet.membership(7).member(fleet.nameOf(other))->state() == MemberState::Alive);
    }
    fleet.setLoss([](std::size_t, std::size_t) { return false; });
    fleet.step(12s);
    CHECK(fleet.informedHosts() == fleet.size());
    for (std::size_t other = 0; other < fleet.size(); ++other)
        CHECK(fleet.stateOf(other, other == 7 ? 0 : 7) == MemberState::Alive);
}

TEST_CASE("Two data centres that don't reach each other while the others reach both: only these two are unreachable, only from each other, and no member is declared dead")
{
    MembershipFleet fleet({});
    fleet.step(15s);
    fleet.setLoss([&](std::size_t from, std::size_t to) { return fleet.dataCentreOf(from) + fleet.dataCentreOf(to) == 1; });
    fleet.step(15s);
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        for (std::size_t other = 0; other < 5; ++other) {
            bool isCut = fleet.dataCentreOf(host) + other == 1;
            CHECK(fleet.membership(host).contacts().isReachable(fleet.dataCentreName(other)) == !isCut);
        }
        for (const MemberRecord& record : fleet.membership(host).members())
            CHECK(record.usable());
    }
}

TEST_CASE("A process that was paused does not take other data centres for unreachable")
{
    MembershipFleet fleet({});
    fleet.step(15s);
    for (int i = 0; i < 5; ++i) {
        fleet.pause(3, 900ms + i * 500ms);
        for (std::size_t other = 0; other < 5; ++other)
            CHECK(fleet.membership(3).contacts().isReachable(fleet.dataCentreName(other)));
        fleet.step(1s);
    }
    for (std::size_t host = 0; host < fleet.size(); ++host)
        CHECK(fleet.membership(3).contacts().unreachable().empty());
    fleet.step(10s);
    CHECK(fleet.informedHosts() == fleet.size());
}

TEST_CASE("The members of a data centre that stays unreachable are declared dead after the retention")
{
    MembershipFleet::Options options;
    options.hosts = 20;
    MembershipFleet fleet(options);
    fleet.step(15s);
    for (std::size_t host = 1; host < fleet.size(); host += 5)
        fleet.stop(host);
    fleet.step(100s);
    CHECK(fleet.stateOf(0, 1) == MemberState::Suspect);
    fleet.step(30s);
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        if (fleet.dataCentreOf(host) != 1)
            CHECK(fleet.stateOf(host, 1) == MemberState::Dead);
    }
}
