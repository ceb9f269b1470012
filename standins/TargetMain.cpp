/// \file
/// Runs stand-in targets on consecutive ports until SIGTERM.
#include "StandinTarget.h"

#include <Pimentopoint/Core>
#include <csignal>
#include <docopt/docopt.h>
#include <memory>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Stand-in targets for tests and benches.

Usage:
  standin-target --port PORT [--count N] [--slots N] [--cold-limit N] [--cold MS] [--service US] [--connect US] [--threads N] [--name NAME]
  standin-target --help

Options:
  --port PORT      First port on 127.0.0.1.
  --count N        Number of targets, on consecutive ports [default: 1].
  --slots N        Requests that each target runs concurrently [default: 6].
  --cold-limit N   Outstanding requests that a cold target is meant to get at most [default: 1].
  --cold MS        Milliseconds after the start during which a target is cold [default: 0].
  --service US     Service time of a request in microseconds [default: 2000].
  --connect US     Microseconds that the first request of a connection takes longer [default: 0].
  --threads N      Threads of each target [default: 16].
  --name NAME      Prefix of the target names [default: target].
)";

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    auto number = [&](const char* name) { return arguments[name].asLong(); };
    std::vector<std::unique_ptr<standins::StandinTarget>> targets;
    for (long i = 0; i < number("--count"); ++i) {
        standins::TargetBehaviour behaviour;
        behaviour.name = arguments["--name"].asString() + "-" + std::to_string(i);
        behaviour.slots = static_cast<std::uint32_t>(number("--slots"));
        behaviour.shedThreshold = behaviour.slots * 4;
        behaviour.coldLimit = static_cast<std::uint32_t>(number("--cold-limit"));
        behaviour.coldTime = std::chrono::milliseconds(number("--cold"));
        behaviour.serviceTime = Duration(number("--service"));
        behaviour.connectTime = Duration(number("--connect"));
        Endpoint endpoint("127.0.0.1", static_cast<std::uint16_t>(number("--port") + i));
        targets.push_back(std::make_unique<standins::StandinTarget>(endpoint, behaviour, static_cast<unsigned>(number("--threads"))));
    }
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
