#include "FleetModel.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

constexpr Duration begin = std::chrono::seconds(0);
constexpr Duration end = std::chrono::seconds(10);

double fraction(std::size_t count, std::size_t total)
{
    return static_cast<double>(count) / static_cast<double>(total);
}

void checkInvariants(const FleetModel::Counts& counts)
{
    CHECK(counts.requests > 300);
    CHECK(counts.invalid == 0);
    CHECK(counts.maxAttemptsPerShard <= 2);
    CHECK(counts.served + counts.failed <= counts.requests);
}

} // namespace

TEST_CASE("Fleets of 24 hosts and more: delegation of fan-outs raises the fraction of calls within the objective and lowers traffic between data centres")
{
    struct Case {
        const char* name;
        FleetShape shape;
    };
    FleetShape defaults;
    FleetShape manyHosts;
    manyHosts.shards = 36;
    manyHosts.callsPerSecond = 100;
    manyHosts.weakHosts = 8;
    manyHosts.objective = std::chrono::milliseconds(60);
    FleetShape longPauses;
    longPauses.pause = std::chrono::milliseconds(250);
    longPauses.pauseInterval = std::chrono::seconds(6);
    longPauses.serviceTime = std::chrono::milliseconds(20);
    longPauses.objective = std::chrono::milliseconds(250);
    const Case cases[] = { { "24 shards", defaults }, { "36 shards, more hosts", manyHosts }, { "long pauses", longPauses } };
    for (const Case& each : cases) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            INFO(each.name << ", seed " << seed);
            FleetShape shape = each.shape;
            shape.seed = seed;
            FleetModel::Counts delegated = FleetModel(shape).run(begin, end);
            shape.delegation = false;
            FleetModel::Counts undelegated = FleetModel(shape).run(begin, end);
            INFO("within the objective with delegation " << fraction(delegated.withinObjective, delegated.requests) << ", without " << fraction(undelegated.withinObjective, undelegated.requests) << ", replies between data centres with delegation " << delegated.crossDataCentreReplies << ", without "
                                                         << undelegated.crossDataCentreReplies);
            checkInvariants(delegated);
            checkInvariants(undelegated);
            // Delegation serves strictly more calls within the objective unless all are within it already, and sends at least a third
            // fewer replies between data centres.
            CHECK(fraction(delegated.withinObjective, delegated.requests) >= fraction(undelegated.withinObjective, undelegated.requests));
            if (undelegated.withinObjective < undelegated.requests)
                CHECK(delegated.withinObjective > undelegated.withinObjective);
            CHECK(3 * delegated.crossDataCentreReplies <= 2 * undelegated.crossDataCentreReplies);
        }
    }
}

TEST_CASE("Fleet of 24 hosts: a strong host that becomes unresponsive costs at most one call per host and the calls it had itself")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        FleetShape shape;
        shape.seed = seed;
        FleetModel fleet(shape);
        fleet.makeUnresponsive(FleetModel::strongHost(0), std::chrono::seconds(3), std::chrono::seconds(7));
        FleetModel::Counts counts = fleet.run(begin, end);
        INFO("failed " << counts.failed << " of " << counts.requests << ", within the objective " << counts.withinObjective);
        checkInvariants(counts);
        // Each of the five other hosts of its data centre loses a call, and so does each remote host that delegates the shards without
        // a local target to it, with the calls that arrive within 50 ms of that one. Its own outstanding calls are lost as well.
        std::size_t hosts = shape.dataCentres * (shape.weakHosts + shape.strongHosts);
        CHECK(counts.requests - counts.served <= hosts + 5);
        CHECK(fraction(counts.withinObjective, counts.requests) >= 0.8);
    }
}

TEST_CASE("Equal hosts delegate no whole fan-out, and callers get the same answers as without delegation")
{
    FleetShape shape;
    shape.dataCentres = 3;
    shape.weakHosts = 2;
    shape.strongHosts = 0;
    shape.weakCores = 0.25;
    shape.shards = 10;
    FleetModel::Counts delegated = FleetModel(shape).run(begin, end);
    shape.delegation = false;
    FleetModel::Counts undelegated = FleetModel(shape).run(begin, end);
    checkInvariants(delegated);
    CHECK(delegated.withinObjective == undelegated.withinObjective);
    CHECK(delegated.crossDataCentreReplies == undelegated.crossDataCentreReplies);
}
