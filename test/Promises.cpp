// Runs seeded fault schedules on the decision classes and checks the guarantees; a failure prints the seed that reproduces it.
#include "SimulatedCluster.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace pimentopoint::test;

namespace {

struct Schedule {
    const char* name;
    SimulatedFaults faults;
};

unsigned seedCount()
{
    const char* text = std::getenv("PIMENTOPOINT_SEEDS");
    return text ? static_cast<unsigned>(std::atoi(text)) : 60;
}

SimulatedFaults faults(unsigned kills, unsigned pauses, unsigned partitions, unsigned targetRestarts, unsigned publications)
{
    SimulatedFaults faults;
    faults.kills = kills;
    faults.pauses = pauses;
    faults.partitions = partitions;
    faults.targetRestarts = targetRestarts;
    faults.publications = publications;
    return faults;
}

/// Many requests at once and slow targets, so that slots and queues are full when faults occur.
SimulatedFaults withHighLoad(SimulatedFaults faults)
{
    faults.requests = 600;
    faults.slowReply = 0.3;
    return faults;
}

} // namespace

TEST_CASE("Seeded fault schedules violate no guarantee", "[promises]")
{
    const Schedule schedule = GENERATE(Schedule { "quiet", faults(0, 0, 0, 0, 0) }, Schedule { "kills", faults(4, 0, 0, 0, 0) },
        Schedule { "freezes", faults(0, 4, 0, 0, 0) }, Schedule { "cuts", faults(0, 0, 5, 0, 0) }, Schedule { "targets", faults(0, 0, 0, 5, 0) },
        Schedule { "publications", faults(0, 0, 0, 0, 6) }, Schedule { "kills and publications", faults(3, 0, 0, 0, 5) },
        Schedule { "freezes and publications", faults(0, 4, 0, 0, 6) }, Schedule { "cuts and kills", faults(3, 0, 4, 0, 0) },
        Schedule { "all", faults(3, 3, 4, 3, 5) },
        Schedule { "high load, kills", withHighLoad(faults(8, 0, 0, 0, 0)) }, Schedule { "high load, all", withHighLoad(faults(3, 3, 4, 3, 5)) });
    std::map<std::string, unsigned> outcomes;
    unsigned seeds = schedule.faults.requests > 100 ? seedCount() / 6 : seedCount();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SimulatedCluster cluster(seed, schedule.faults);
        std::vector<std::string> violations = cluster.run();
        for (const auto& [outcome, count] : cluster.outcomes())
            outcomes[outcome] += count;
        INFO("schedule " << schedule.name << ", seed " << seed << ", " << violations.size() << " violations");
        if (!violations.empty())
            FAIL(violations.front());
    }
    // The schedules produce the outcomes that they are meant to test.
    CHECK(outcomes["answer"] > 0);
    if (schedule.faults.kills)
        CHECK(outcomes["unknown"] > 0);
}
