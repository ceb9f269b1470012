#include "FleetModel.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

constexpr Duration begin = std::chrono::seconds(0);
constexpr Duration end = std::chrono::seconds(10);

double share(std::size_t part, std::size_t all)
{
    return static_cast<double>(part) / static_cast<double>(all);
}

void checkPromises(const FleetModel::Counts& counts)
{
    CHECK(counts.requests > 300);
    CHECK(counts.invalid == 0);
    CHECK(counts.maxAttemptsPerShard <= 2);
    CHECK(counts.served + counts.failed <= counts.requests);
}

} // namespace

TEST_CASE("load of grown fleets: hosts that run fan-outs for others serve more callers in time and send less between data centres")
{
    struct Case {
        const char* name;
        FleetShape shape;
    };
    FleetShape usual;
    FleetShape many;
    many.shards = 36;
    many.callsPerSecond = 100;
    many.weakHosts = 8;
    many.objective = std::chrono::milliseconds(60);
    FleetShape longPauses;
    longPauses.pause = std::chrono::milliseconds(250);
    longPauses.pauseInterval = std::chrono::seconds(6);
    longPauses.serviceTime = std::chrono::milliseconds(20);
    longPauses.objective = std::chrono::milliseconds(250);
    const Case cases[] = { { "24 shards", usual }, { "36 shards, more hosts", many }, { "long pauses", longPauses } };
    for (const Case& each : cases) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            INFO(each.name << ", seed " << seed);
            FleetShape shape = each.shape;
            shape.seed = seed;
            FleetModel::Counts together = FleetModel(shape).run(begin, end);
            shape.delegation = false;
            FleetModel::Counts alone = FleetModel(shape).run(begin, end);
            INFO("in time " << share(together.withinObjective, together.requests) << " and alone " << share(alone.withinObjective, alone.requests) << ", crossings " << together.crossDataCentreReplies << " and alone "
                            << alone.crossDataCentreReplies);
            checkPromises(together);
            checkPromises(alone);
            // Strictly more wherever there is room for more, and a third less between data centres.
            CHECK(share(together.withinObjective, together.requests) >= share(alone.withinObjective, alone.requests));
            if (alone.withinObjective < alone.requests)
                CHECK(together.withinObjective > alone.withinObjective);
            CHECK(3 * together.crossDataCentreReplies <= 2 * alone.crossDataCentreReplies);
        }
    }
}

TEST_CASE("load of a grown fleet: a strong host that falls silent costs its readers few calls")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        INFO("seed " << seed);
        FleetShape shape;
        shape.seed = seed;
        FleetModel fleet(shape);
        fleet.makeUnresponsive(FleetModel::strongHost(0), std::chrono::seconds(3), std::chrono::seconds(7));
        FleetModel::Counts counts = fleet.run(begin, end);
        INFO("failed " << counts.failed << " of " << counts.requests << ", in time " << counts.withinObjective);
        checkPromises(counts);
        // Five hosts at home and those elsewhere that ask it for the shards they lack lose a call each, and the calls that
        // come within 50 ms of it; what it had at work itself is lost as well.
        std::size_t hosts = shape.dataCentres * (shape.weakHosts + shape.strongHosts);
        CHECK(counts.requests - counts.served <= hosts + 5);
        CHECK(share(counts.withinObjective, counts.requests) >= 0.8);
    }
}

TEST_CASE("load of equal hosts: nobody runs all of a fan-out for another, and callers get the same")
{
    FleetShape shape;
    shape.dataCentres = 3;
    shape.weakHosts = 2;
    shape.strongHosts = 0;
    shape.weakCores = 0.25;
    shape.shards = 10;
    FleetModel::Counts together = FleetModel(shape).run(begin, end);
    shape.delegation = false;
    FleetModel::Counts alone = FleetModel(shape).run(begin, end);
    checkPromises(together);
    CHECK(together.withinObjective == alone.withinObjective);
    CHECK(together.crossDataCentreReplies == alone.crossDataCentreReplies);
}
