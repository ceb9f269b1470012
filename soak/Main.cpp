/// \file
/// Soak with fault injection: runs one Scenario of real processes and stand-ins for each seed.
#include "Scenario.h"

#include <docopt/docopt.h>
#include <iostream>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Injects seeded faults into small fleets of real pimentopoint-edge processes and checks what callers and targets observe.

Usage:
  Soak [--first N] [--seeds N] [--seconds N] [--events]

Options:
  --first N    First seed [default: 1].
  --seeds N    Number of seeds [default: 1].
  --seconds N  Seconds of faults for each seed [default: 8].
  --events     Print the faults and configuration changes also of seeds without violations.

Exit codes: 0 no violations, 1 violations in at least one seed.
)";

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    auto first = static_cast<std::uint64_t>(arguments["--first"].asLong());
    auto seeds = static_cast<std::uint64_t>(arguments["--seeds"].asLong());
    Duration length = std::chrono::seconds(arguments["--seconds"].asLong());
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        ScenarioResult result = Scenario(seed).run(length);
        std::cout << "seed " << seed << ": served " << result.served << ", refused " << result.refused << ", lost " << result.lost << ", violations " << result.violations.size() << std::endl;
        for (const std::string& violation : result.violations)
            std::cout << "  " << violation << "\n";
        if (!result.violations.empty() || arguments["--events"].asBool()) {
            for (const std::string& event : result.events)
                std::cout << "    " << event << "\n";
            for (const std::string& log : result.logs)
                std::cout << "    log " << log << "\n";
        }
        failed += !result.violations.empty();
    }
    std::cout << seeds - failed << " passed, " << failed << " failed" << std::endl;
    return failed ? 1 : 0;
}
