/// \file
/// Runs a stand-in platform until SIGTERM.
#include "StandinPlatform.h"

#include <csignal>
#include <docopt/docopt.h>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Stand-in platform for tests and benches.

Usage:
  standin-platform --port PORT [--threads N]
  standin-platform --help

Options:
  --port PORT  Port on 127.0.0.1.
  --threads N  Number of threads; every waiting read occupies one [default: 64].
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
    Endpoint endpoint("127.0.0.1", static_cast<std::uint16_t>(arguments["--port"].asLong()));
    standins::StandinPlatform platform(endpoint, static_cast<unsigned>(arguments["--threads"].asLong()));
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
