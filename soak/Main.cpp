/// \file
/// The fault soak: real processes, stand-ins and faults from outside; one scenario a seed.
#include "Scenario.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Plays seeded faults against small fleets of real pimentopoint-edge processes and checks what callers and targets see.

Usage:
  Soak [--first N] [--seeds N] [--seconds N] [--events]

Options:
  --first N    First seed [default: 1].
  --seeds N    Number of seeds [default: 1].
  --seconds N  Seconds of faults for each seed [default: 8].
  --events     Show what was done to the fleet, also where no promise was broken.

Exit codes: 0 no promise was broken, 1 one was.
)";

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    auto first = static_cast<std::uint64_t>(arguments["--first"].asLong());
    auto seeds = static_cast<std::uint64_t>(arguments["--seeds"].asLong());
    Duration length = std::chrono::seconds(arguments["--seconds"].asLong());
    std::uint64_t broken = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        ScenarioResult result = Scenario(seed).run(length);
        std::cout << "seed " << seed << ": served " << result.served << ", refused " << result.refused << ", lost " << result.lost << ", broken promises " << result.violations.size() << std::endl;
        for (const std::string& fault : result.violations)
            std::cout << "  " << fault << "\n";
        if (!result.violations.empty() || arguments["--events"].asBool()) {
            for (const std::string& event : result.events)
                std::cout << "    " << event << "\n";
            for (const std::string& log : result.logs)
                std::cout << "    log " << log << "\n";
        }
        broken += !result.violations.empty();
    }
    std::cout << seeds - broken << " passed, " << broken << " failed" << std::endl;
    return broken ? 1 : 0;
}
