/// \file
/// Runs a store, the targets of a fan-out and callers on loopback for one pimentopoint-edge. The processor time of that process over the
/// printed number of sub-queries is its cost per sub-query.
#include "../platform/PlatformNames.h"
#include "../standins/StandinService.h"
#include "../standins/StandinStore.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Runs a store, the targets of a fan-out and callers for one pimentopoint-edge on loopback.

Usage:
  EdgeLoad --settings FILE [--shards N] [--rate N] [--seconds N]

Options:
  --settings FILE  File to write the settings of the edge to; start the edge with it within two seconds.
  --shards N       Shards of the fan-out [default: 36].
  --rate N         Requests per second [default: 50].
  --seconds N      Length of the load in seconds [default: 5].
)";

constexpr std::uint16_t firstPort = 21000;
constexpr std::uint16_t storePort = 20900;
constexpr std::uint16_t callerPort = 20901;
const std::string loopback = "127.0.0.1";

nlohmann::json configuration(std::size_t shards)
{
    nlohmann::json names = nlohmann::json::array();
    nlohmann::json services = nlohmann::json::array();
    for (std::size_t i = 0; i < shards; ++i) {
        names.push_back("s" + std::to_string(i));
        services.push_back({ { "name", names.back() }, { "health_path", "/health" }, { "max_connections", 26 }, { "warmup_per_s", 0.0 } });
    }
    return { { "version", 1 }, { "services", services },
        { "routes", { { { "name", "r" }, { "host", "load.example" }, { "prefix", "/" }, { "kind", "idempotent" }, { "timeout_ms", 2000 }, { "goal_ms", 500 }, { "fanout", names }, { "max_attempts", 2 }, { "top_k", 50 }, { "min_coverage", 0.9 } } } },
        { "limits", { { "header_bytes", 16384 }, { "body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
}

void writeSettings(const std::string& path)
{
    std::ofstream file(path);
    file << "name: edge-1\ndataCentre: a\nlisten:\n  callers: 127.0.0.1:" << callerPort << "\n  readiness: 127.0.0.1:20902\n  members: 127.0.0.1:20903\nmembers: []\nplatform: 127.0.0.1:"
         << storePort << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    auto shards = static_cast<std::size_t>(arguments["--shards"].asLong());
    auto rate = arguments["--rate"].asLong();
    auto seconds = arguments["--seconds"].asLong();
    writeSettings(arguments["--settings"].asString());
    boost::asio::io_context context(1);
    SystemClock clock;
    StandinStore store(context, clock, Endpoint(loopback, storePort));
    store.put("op/config", configuration(shards).dump());
    std::vector<std::unique_ptr<StandinService>> targets;
    constexpr std::size_t replicas = 3;
    constexpr std::size_t bodyBytes = 1008;
    for (std::size_t i = 0; i < shards * replicas; ++i) {
        auto port = static_cast<std::uint16_t>(firstPort + i);
        StandinService::Behaviour behaviour;
        behaviour.body = std::string(bodyBytes, static_cast<char>('a' + i % 26));
        targets.push_back(std::make_unique<StandinService>(context, clock, platform::headerNames(), Endpoint(loopback, port), "t" + std::to_string(i),
            [behaviour](const CallerRequest&) { return behaviour; }));
        nlohmann::json entry = { { "service", "s" + std::to_string(i / replicas) }, { "address", loopback + ":" + std::to_string(port) }, { "zone", i % replicas ? "b" : "a" }, { "version", "v1" },
            { "slots", 4 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 } };
        store.put("servers/t" + std::to_string(i), entry.dump());
    }
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    constexpr auto startTime = std::chrono::seconds(2);
    auto begin = std::chrono::steady_clock::now() + startTime;
    std::vector<std::shared_ptr<HttpReader>> callers;
    boost::asio::steady_timer timer(context);
    std::function<void()> step = [&] {
        store.tick();
        auto now = std::chrono::steady_clock::now();
        auto due = static_cast<std::uint64_t>(std::max(0.0, std::chrono::duration<double>(now - begin).count()) * static_cast<double>(rate));
        for (; sent < due && sent < static_cast<std::uint64_t>(rate * seconds); ++sent) {
            auto caller = std::make_shared<HttpReader>(context, Endpoint(loopback, callerPort));
            caller->setHeaders("X-Pimentopoint-Request-Id: " + std::to_string(sent) + "\r\nX-Pimentopoint-Request-Deadline: 2000\r\n", "load.example");
            callers.push_back(caller);
            caller->get("/q", std::chrono::seconds(2), [&](const HttpReader::Result& result) { served += result.status == 200; });
        }
        if (now > begin + std::chrono::seconds(seconds + 1))
            context.stop();
        timer.expires_after(std::chrono::milliseconds(5));
        timer.async_wait([&](const boost::system::error_code& error) {
            if (!error)
                step();
        });
    };
    step();
    context.run();
    std::uint64_t arrivals = 0;
    for (const auto& target : targets)
        arrivals += target->requestCount();
    std::cout << "sent " << sent << ", served " << served << ", sub-queries " << arrivals << "\n";
    return 0;
}
