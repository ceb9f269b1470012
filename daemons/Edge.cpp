/// \file
/// The edge daemon: serves callers on the platform's hosts and sends requests to targets itself.
#include "Daemon.h"
#include "EdgeHost.h"

#include <csignal>
#include <iostream>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Serves callers on the platform's hosts: sends requests to targets and merges their replies.

Usage:
  pimentopoint-edge [--settings FILE] [--check]
  pimentopoint-edge (--help | --version)

Options:
  --settings FILE  Settings of the process (YAML); defaults to the file that the platform provides.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Example:
  pimentopoint-edge --settings edge-a1.yaml --check

Exit codes: 0 stopped on request, 1 failed, 2 invalid arguments, 3 invalid settings.
)";

int runEdge(const std::string& path, bool check)
{
    auto text = readSettings(path);
    if (!text)
        return exitInvalid;
    return runReportingErrors("pimentopoint-edge", [&] {
        HostSettings settings = HostSettings::parse(*text, path);
        if (check) {
            std::cout << path << ": valid\n";
            return;
        }
        Log::startNonBlocking("pimentopoint-edge", settings.name, settings.dataCentre, static_cast<Severity>(settings.logLevel));
        EdgeHost(std::move(settings), path).run();
    });
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto parsed = parseArguments(argc, argv, usage, "pimentopoint-edge");
    if (const int* code = std::get_if<int>(&parsed))
        return *code;
    auto& arguments = std::get<0>(parsed);
    std::string path = arguments["--settings"] ? arguments["--settings"].asString() : platform::settingsPath();
    return runEdge(path, arguments["--check"].asBool());
}
