// Time until a change of the store is known to every running host of a data centre, while other hosts are silent, isolated or refused.
#include "UpdateFleet.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration discoveryTime = 300ms;
/// Most reads by one host that follows the store for twice the maximum update delay, one for each batch of changes.
constexpr std::size_t readsOfOneHost = 21;

/// \returns \a fraction of \a hosts, drawn at random
std::set<std::size_t> drawHosts(std::size_t hosts, double fraction, Random& random)
{
    std::vector<std::size_t> all(hosts);
    std::iota(all.begin(), all.end(), std::size_t(0));
    for (std::size_t i = hosts - 1; i > 0; --i)
        std::swap(all[i], all[static_cast<std::size_t>(random.fraction() * static_cast<double>(i + 1))]);
    auto count = static_cast<std::size_t>(fraction * static_cast<double>(hosts));
    return { all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count) };
}

/// Sizes of a data centre, and the numbers of seeds tried with them.
struct Size {
    std::size_t hosts;
    std::uint64_t seeds;
};
constexpr Size sizes[] = { { 8, 5 }, { 20, 5 }, { 61, 5 }, { 200, 5 }, { 1000, 1 } };

/// Starts a fleet and lets it run for a random time, so that faults come at any phase of its reads.
UpdateFleet runningFleet(std::size_t hosts, Random& random)
{
    UpdateFleet fleet(hosts, discoveryTime);
    fleet.run(5s + scaled(UpdateFleet::maxUpdateDelay, random.fraction()));
    return fleet;
}

/// Publishes changes in quick succession and checks that each one is known to all running hosts within the maximum update delay.
void checkChangesArriveInTime(UpdateFleet& fleet, Duration duration)
{
    constexpr Duration interval = 500ms;
    std::deque<std::pair<Instant, std::uint64_t>> published;
    for (Instant end = fleet.now() + duration; fleet.now() < end;) {
        fleet.publish();
        published.emplace_back(fleet.now(), fleet.publishedVersion());
        fleet.run(interval);
        while (!published.empty() && fleet.now() - published.front().first >= UpdateFleet::maxUpdateDelay) {
            auto uninformed = fleet.uninformedHosts(published.front().second);
            CHECK(uninformed.empty());
            if (!uninformed.empty())
                return;
            published.pop_front();
        }
    }
}

} // namespace

TEST_CASE("A change is known to every running host in time, however many of the others are silent")
{
    for (auto [hosts, seeds] : sizes) {
        for (double fraction : { 0.2, 0.6, 0.9 }) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                INFO(hosts << " hosts, " << fraction << " of them silent, seed " << seed);
                Random random(seed);
                UpdateFleet fleet = runningFleet(hosts, random);
                fleet.silent = drawHosts(hosts, fraction, random);
                fleet.storeReads = 0;
                checkChangesArriveInTime(fleet, 2 * UpdateFleet::maxUpdateDelay);
                // One host follows the store; each other one reads it at most once in 0.55 of the maximum update delay.
                CHECK(fleet.storeReads <= readsOfOneHost + 3 * (hosts - fleet.silent.size()));
            }
        }
    }
}

TEST_CASE("A change is known in time to hosts that reach the store but no other host")
{
    for (auto [hosts, seeds] : sizes) {
        for (double fraction : { 0.2, 0.6, 1.0 }) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                INFO(hosts << " hosts, " << fraction << " of them isolated, seed " << seed);
                Random random(seed);
                UpdateFleet fleet = runningFleet(hosts, random);
                fleet.isolated = drawHosts(hosts, fraction, random);
                fleet.storeReads = 0;
                checkChangesArriveInTime(fleet, 2 * UpdateFleet::maxUpdateDelay);
                CHECK(fleet.storeReads <= readsOfOneHost * (1 + fleet.isolated.size()));
            }
        }
    }
}

TEST_CASE("A change is known in time to hosts that the store refuses while others restart")
{
    for (auto [hosts, seeds] : sizes) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            INFO(hosts << " hosts, seed " << seed);
            Random random(seed);
            UpdateFleet fleet = runningFleet(hosts, random);
            fleet.refused = drawHosts(hosts, 0.5, random);
            std::set<std::size_t> restarting = drawHosts(hosts, 0.4, random);
            fleet.silent = restarting;
            fleet.run(scaled(UpdateFleet::maxUpdateDelay, 0.3));
            checkChangesArriveInTime(fleet, 2 * UpdateFleet::maxUpdateDelay);
        }
    }
}
