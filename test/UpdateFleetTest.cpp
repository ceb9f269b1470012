// Loads on the platform's store by data centres of 8 to 200 hosts: a common start, a quiet time, and a store that refuses some hosts.
#include "UpdateFleet.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration discoveryTime = 300ms;

/// Most reads of the store by one host that watches it without updates for \a duration.
std::size_t watchesIn(Duration duration)
{
    return static_cast<std::size_t>(duration / scaled(UpdateFleet::maxUpdateDelay, 0.4)) + 1;
}

} // namespace

TEST_CASE("Hosts that start together read a page each, and then one host watches the store")
{
    for (std::size_t hosts : { 8, 60, 200 }) {
        INFO(hosts << " hosts");
        UpdateFleet fleet(hosts, discoveryTime);
        fleet.run(60s);
        CHECK(fleet.informedHosts() == hosts);
        CHECK(fleet.stalePages == hosts);
        CHECK(fleet.storeReads <= watchesIn(60s));
    }
}

TEST_CASE("An update of the store reaches all hosts of a data centre within a few messages")
{
    for (std::size_t hosts : { 8, 60, 200 }) {
        UpdateFleet fleet(hosts, discoveryTime);
        fleet.run(10s);
        fleet.publish();
        fleet.run(50ms);
        CHECK(fleet.informedHosts() == hosts);
    }
}

TEST_CASE("While the store refuses some hosts, the number of reads depends on the refused hosts in a row, and updates arrive in time")
{
    struct Case {
        const char* name;
        std::set<std::size_t> refused;
    };
    const Case cases[] = { { "the first host", { 0 } }, { "the first two hosts", { 0, 1 } }, { "a third of the hosts, the first one too", { 0, 3, 6, 9, 12, 15, 18, 21, 24, 27, 30, 33, 36, 39, 42, 45, 48, 51, 54, 57 } } };
    for (const Case& each : cases) {
        INFO(each.name);
        UpdateFleet fleet(60, discoveryTime);
        fleet.run(10s);
        fleet.storeReads = 0;
        fleet.refused = each.refused;
        constexpr int seconds = 9;
        for (int second = 0; second < seconds; ++second) {
            fleet.publish();
            fleet.run(1s);
        }
        fleet.run(UpdateFleet::maxUpdateDelay - 1s);
        CHECK(fleet.informedHosts() == fleet.size());
        INFO(fleet.storeReads << " reads of the store, " << fleet.refusals << " refusals between hosts");
        // A refused host tries the store up to four times a second, and at most three hosts in a row are refused.
        CHECK(fleet.storeReads <= 3 * 4 * (seconds + 5));
    }
}

TEST_CASE("Updates reach all other hosts in time when the host that reads the store becomes silent")
{
    for (std::size_t silentHost : { 0, 1, 5 }) {
        UpdateFleet fleet(60, discoveryTime);
        fleet.run(10s);
        fleet.silent.insert(silentHost);
        fleet.publish();
        fleet.run(UpdateFleet::maxUpdateDelay);
        CHECK(fleet.informedHosts() == fleet.size() - 1);
    }
}

TEST_CASE("Updates reach every host in time when the store refuses all hosts for a while")
{
    UpdateFleet fleet(60, discoveryTime);
    fleet.run(10s);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.refused.insert(i);
    fleet.run(5s);
    fleet.refused.clear();
    fleet.publish();
    fleet.run(UpdateFleet::maxUpdateDelay);
    CHECK(fleet.informedHosts() == fleet.size());
}
