/// \file
/// Compares the path through real front and gateway processes with direct fan-out.
#include "BenchFleet.h"
#include "OpenLoad.h"

#include <algorithm>
#include <curl/curl.h>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

using namespace pimentopoint;
using namespace pimentopoint::bench;
using namespace std::chrono_literals;

namespace {

constexpr const char* usage = R"(Compares the path through fronts and gateways with direct fan-out, on loopback.

Usage:
  PathBench --configuration FILE --front NAME [options]
  PathBench --help

Options:
  --configuration FILE   A published configuration whose targets are on 127.0.0.1.
  --front NAME           The search front to query.
  --condition NAME       quiet, straggler, lost, silent, cold [default: quiet].
  --load FRACTION        Offered load over the capacity of the shard group's targets [default: 0.5].
  --background-load FRACTION  Load of a copy of the search front with ordinary urgency, queried at the same time [default: 0].
  --service US           Service time of a target in microseconds [default: 20000].
  --seconds N            Length of each measurement in seconds [default: 6].
  --help                 Show this text.

Example:
  example-nkansah > n.yaml && PathBench --configuration n.yaml --front kitchen-portal --condition straggler
)";

constexpr unsigned loadThreads = 400;
/// Callers of the baseline, each with a connection to every target.
constexpr unsigned directThreads = 128;
constexpr Duration startTime = 4s;
/// Gateways treat every target as cold for some seconds after their start; the measurement begins after that.
constexpr Duration warmUp = 9s;
constexpr double warmUpLoad = 0.3;
constexpr Duration coldTime = 30s;
constexpr unsigned stragglerEvery = 50;

/// Arguments of the bench and values derived from them.
struct BenchSettings {
    ConfigurationPointer configuration;
    std::string text;
    const SearchFront* front = nullptr;
    const ShardGroup* group = nullptr;
    std::string condition;
    double load = 0;
    double backgroundLoad = 0;
    Duration service { 0 };
    Duration length { 0 };
    double capacity = 0; ///< Queries per second that the slots of the shard group's targets allow.
};

constexpr const char* copyName = "ordinary-copy";

/// \returns \a text with a copy of the search front \a name that has ordinary urgency
std::string withOrdinaryCopy(const std::string& text, const std::string& name)
{
    const std::string item = "  - name: ";
    std::size_t begin = text.find(item + name + "\n", text.find("searchFronts:"));
    if (begin == std::string::npos)
        throw std::runtime_error("the configuration has no search front " + name);
    std::size_t end = std::min(text.find(item, begin + 1), text.size());
    std::string copy = text.substr(begin, end - begin);
    copy.replace(item.size(), name.size(), copyName);
    std::size_t urgency = copy.find("urgency: urgent");
    if (urgency != std::string::npos)
        copy.replace(urgency, std::string("urgency: urgent").size(), "urgency: ordinary");
    return text.substr(0, end) + copy + text.substr(end);
}

BenchSettings readSettings(std::map<std::string, docopt::value>& arguments)
{
    BenchSettings settings;
    std::ifstream file(arguments["--configuration"].asString());
    std::stringstream content;
    content << file.rdbuf();
    settings.text = withOrdinaryCopy(content.str(), arguments["--front"].asString());
    settings.configuration = readConfiguration(settings.text);
    settings.front = settings.configuration->searchFront(SearchFrontName(arguments["--front"].asString()));
    settings.group = &settings.configuration->shardGroups()[settings.front->shardGroup()];
    settings.condition = arguments["--condition"].asString();
    settings.load = std::stod(arguments["--load"].asString());
    settings.backgroundLoad = std::stod(arguments["--background-load"].asString());
    settings.service = Duration(arguments["--service"].asLong());
    settings.length = std::chrono::seconds(arguments["--seconds"].asLong());
    double slots = 0;
    for (const Shard& shard : settings.group->shards()) {
        for (TargetId replica : shard.replicas())
            slots += settings.configuration->limits(*settings.configuration->target(replica)).slots();
    }
    settings.capacity = slots / std::chrono::duration<double>(settings.service).count() / static_cast<double>(settings.group->shards().size());
    return settings;
}

void changeQueriedTargets(BenchFleet& fleet, const ShardGroup& group, const std::function<void(standins::TargetBehaviour&)>& change)
{
    for (const Shard& shard : group.shards()) {
        for (TargetId replica : shard.replicas()) {
            if (fleet.targets.at(replica))
                fleet.targets.at(replica)->change(change);
        }
    }
}

void applyCondition(BenchFleet& fleet, const BenchSettings& settings)
{
    TargetId first = settings.group->shards().front().replicas().front();
    if (settings.condition == "straggler")
        changeQueriedTargets(fleet, *settings.group, [](auto& behaviour) { behaviour.stragglerEvery = stragglerEvery; });
    else if (settings.condition == "silent")
        changeQueriedTargets(fleet, *settings.group, [](auto& behaviour) { behaviour.unansweredRequests = 1; });
    else if (settings.condition == "lost")
        fleet.targets.at(first).reset();
    else if (settings.condition == "cold")
        fleet.targets.at(first)->makeCold(coldTime);
}

/// \returns the number of bytes received on the loopback interface so far, headers included
double loopbackBytes()
{
    std::ifstream devices("/proc/net/dev");
    for (std::string line; std::getline(devices, line);) {
        std::size_t name = line.find("lo:");
        if (name != std::string::npos)
            return std::stod(line.substr(name + 3));
    }
    return 0;
}

double maxTargetLoad(const BenchFleet& fleet, const BenchSettings& settings)
{
    double maxLoad = 0;
    for (const Shard& shard : settings.group->shards()) {
        for (TargetId replica : shard.replicas()) {
            if (!fleet.targets.at(replica))
                continue;
            double slots = settings.configuration->limits(*settings.configuration->target(replica)).slots();
            maxLoad = std::max(maxLoad, fleet.targets.at(replica)->maxOutstanding() / slots);
        }
    }
    return maxLoad;
}

/// Measurements of one run through fronts and gateways.
struct PathRun {
    LoadResult sample;
    LoadResult background;
    double subQueries = 0;
    double extraAttempts = 0;
    double bytes = 0;
};

PathRun measurePath(BenchFleet& fleet, const BenchSettings& settings, double load, Duration length, double backgroundLoad)
{
    auto makeQueryFunction = [&](const std::string& name) {
        return [&fleet, name](unsigned thread) -> QueryFunction {
            auto caller = std::make_shared<FrontCaller>(fleet.fronts[thread % fleet.fronts.size()], name);
            return [caller](std::uint64_t number) { return caller->sendQuery(number); };
        };
    };
    PathRun run;
    FrontCounts before = fleet.counts();
    double bytesBefore = loopbackBytes();
    std::thread background;
    if (backgroundLoad > 0)
        background = std::thread([&] { run.background = runOpenLoad(settings.capacity * backgroundLoad, length, loadThreads, makeQueryFunction(copyName)); });
    run.sample = runOpenLoad(settings.capacity * load, length, loadThreads, makeQueryFunction(settings.front->name().value()));
    if (background.joinable())
        background.join();
    run.bytes = loopbackBytes() - bytesBefore;
    FrontCounts after = fleet.counts();
    run.extraAttempts = after.extraAttempts - before.extraAttempts;
    run.subQueries = after.firstAttempts - before.firstAttempts;
    return run;
}

void printResult(const char* pathName, const LoadResult& sample, double capacity)
{
    auto count = [&](QueryOutcome outcome) { return static_cast<unsigned long long>(sample.count(outcome)); };
    std::printf("| %s | %zu | %.0f | %.1f | %.1f | %.1f | %.4f | %.2f | %llu | %llu | %llu | %llu |\n", pathName, sample.milliseconds.size(),
        static_cast<double>(sample.milliseconds.size()) / sample.seconds, sample.quantile(0.5), sample.quantile(0.99), sample.quantile(0.999), sample.coverage,
        sample.goodput() / capacity, count(QueryOutcome::Partial), count(QueryOutcome::Refused), count(QueryOutcome::Unknown), count(QueryOutcome::NoReply));
}

void report(const BenchSettings& settings, const PathRun& path, const LoadResult& direct, double directBytes, const DaemonUsage& daemonUsage, double allSubQueries, double maxLoad)
{
    std::printf("condition %s, search front %s, %zu shards, load %.2f (background %.2f) of %.0f queries/s\n\n", settings.condition.c_str(),
        settings.front->name().value().c_str(), settings.group->shards().size(), settings.load, settings.backgroundLoad, settings.capacity);
    std::printf("| method | queries | queries/s | p50 ms | p99 ms | p99.9 ms | coverage | complete/capacity | partial | refused | unknown | unanswered |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    printResult("path", path.sample, settings.capacity);
    if (settings.backgroundLoad > 0)
        printResult("background", path.background, settings.capacity);
    printResult("direct", direct, settings.capacity);
    double directSubQueries = static_cast<double>(direct.milliseconds.size() * settings.group->shards().size());
    std::printf("\n| method | bytes per sub-query | allocations per sub-query | core us per sub-query |\n| --- | --- | --- | --- |\n");
    std::printf("| path, all daemons | %.0f | %.1f | %.1f |\n", path.bytes / path.subQueries, static_cast<double>(daemonUsage.allocations) / allSubQueries,
        daemonUsage.coreSeconds * 1e6 / allSubQueries);
    std::printf("| direct, the caller | %.0f | %.1f | %.1f |\n", directBytes / directSubQueries, static_cast<double>(direct.allocations) / directSubQueries,
        direct.coreSeconds * 1e6 / directSubQueries);
    std::printf("\np99 path/direct %.2f, extra attempts per first attempt %.4f, maximum outstanding requests of a target over its slots %.2f\n",
        path.sample.quantile(0.99) / std::max(direct.quantile(0.99), 0.001), path.subQueries > 0 ? path.extraAttempts / path.subQueries : 0, maxLoad);
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    curl_global_init(CURL_GLOBAL_DEFAULT);
    BenchSettings settings = readSettings(arguments);
    BenchFleet fleet(*settings.configuration, settings.text, *settings.group, settings.service, directThreads);
    std::this_thread::sleep_for(startTime);
    measurePath(fleet, settings, std::min(settings.load, warmUpLoad), warmUp, 0);
    applyCondition(fleet, settings);
    PathRun path = measurePath(fleet, settings, settings.load, settings.length, settings.backgroundLoad);
    double maxLoad = maxTargetLoad(fleet, settings);
    std::this_thread::sleep_for(1s);
    FrontCounts all = fleet.counts();
    DaemonUsage daemonUsage = fleet.stopDaemons();
    if (settings.condition != "lost")
        applyCondition(fleet, settings);
    double bytesBefore = loopbackBytes();
    LoadResult direct = runOpenLoad(settings.capacity * (settings.load + settings.backgroundLoad), settings.length, directThreads, [&](unsigned) -> QueryFunction {
        auto caller = std::make_shared<DirectCaller>(*settings.configuration, *settings.group, settings.front->deadline());
        return [caller](std::uint64_t number) { return caller->sendQuery(number); };
    });
    report(settings, path, direct, loopbackBytes() - bytesBefore, daemonUsage, all.firstAttempts + all.extraAttempts, maxLoad);
    return 0;
}
