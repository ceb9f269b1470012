/// \file
/// Measures the whole path with real processes against direct fan-out, in one run.
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
  --front NAME           The search front to ask.
  --condition NAME       quiet, straggler, lost, silent, cold [default: quiet].
  --load SHARE           Offered load over the capacity of the shard group's targets [default: 0.5].
  --background-load SHARE  Load of an ordinary copy of the search front, asked at the same time [default: 0].
  --service US           Service time of a target [default: 20000].
  --seconds N            Time of each measurement [default: 6].
  --help                 Show this text.

Example:
  example-nkansah > n.yaml && PathBench --configuration n.yaml --front kitchen-portal --condition straggler
)";

constexpr unsigned loadThreads = 400;
/// Callers of the baseline, each with a connection to every target.
constexpr unsigned directThreads = 128;
constexpr Duration startTime = 4s;
/// Gateways take every target for cold for some seconds; the measurement begins when that is over.
constexpr Duration warmUp = 9s;
constexpr double warmUpLoad = 0.3;
constexpr Duration coldTime = 30s;
constexpr unsigned stragglerEvery = 50;

/// The bench's arguments and what follows from them.
struct Plan {
    ConfigurationPointer configuration;
    std::string text;
    const SearchFront* front = nullptr;
    const ShardGroup* group = nullptr;
    std::string condition;
    double load = 0;
    double backgroundLoad = 0;
    Duration service { 0 };
    Duration length { 0 };
    double capacity = 0; ///< Queries a second.
};

constexpr const char* copyName = "ordinary-copy";

/// \returns \a text with a copy of the search front \a name that is not urgent
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

Plan readPlan(std::map<std::string, docopt::value>& arguments)
{
    Plan plan;
    std::ifstream file(arguments["--configuration"].asString());
    std::stringstream content;
    content << file.rdbuf();
    plan.text = withOrdinaryCopy(content.str(), arguments["--front"].asString());
    plan.configuration = readConfiguration(plan.text);
    plan.front = plan.configuration->searchFront(SearchFrontName(arguments["--front"].asString()));
    plan.group = &plan.configuration->shardGroups()[plan.front->shardGroup()];
    plan.condition = arguments["--condition"].asString();
    plan.load = std::stod(arguments["--load"].asString());
    plan.backgroundLoad = std::stod(arguments["--background-load"].asString());
    plan.service = Duration(arguments["--service"].asLong());
    plan.length = std::chrono::seconds(arguments["--seconds"].asLong());
    double slots = 0;
    for (const Shard& shard : plan.group->shards()) {
        for (TargetId replica : shard.replicas())
            slots += plan.configuration->limits(*plan.configuration->target(replica)).slots();
    }
    plan.capacity = slots / std::chrono::duration<double>(plan.service).count() / static_cast<double>(plan.group->shards().size());
    return plan;
}

void changeAsked(BenchFleet& fleet, const ShardGroup& group, const std::function<void(standins::TargetBehaviour&)>& change)
{
    for (const Shard& shard : group.shards()) {
        for (TargetId replica : shard.replicas()) {
            if (fleet.targets.at(replica))
                fleet.targets.at(replica)->change(change);
        }
    }
}

void applyCondition(BenchFleet& fleet, const Plan& plan)
{
    TargetId first = plan.group->shards().front().replicas().front();
    if (plan.condition == "straggler")
        changeAsked(fleet, *plan.group, [](auto& behaviour) { behaviour.stragglerEvery = stragglerEvery; });
    else if (plan.condition == "silent")
        changeAsked(fleet, *plan.group, [](auto& behaviour) { behaviour.silent = 1; });
    else if (plan.condition == "lost")
        fleet.targets.at(first).reset();
    else if (plan.condition == "cold")
        fleet.targets.at(first)->turnCold(coldTime);
}

/// \returns bytes that have crossed the loopback interface, headers and all
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

double worstLoad(const BenchFleet& fleet, const Plan& plan)
{
    double worst = 0;
    for (const Shard& shard : plan.group->shards()) {
        for (TargetId replica : shard.replicas()) {
            if (!fleet.targets.at(replica))
                continue;
            double slots = plan.configuration->limits(*plan.configuration->target(replica)).slots();
            worst = std::max(worst, fleet.targets.at(replica)->maxAtWork() / slots);
        }
    }
    return worst;
}

/// What the path measured in one stretch.
struct PathRun {
    LoadResult sample;
    LoadResult background;
    double subQueries = 0;
    double extraSends = 0;
    double bytes = 0;
};

PathRun askPath(BenchFleet& fleet, const Plan& plan, double load, Duration length, double backgroundLoad)
{
    auto makeAsker = [&](const std::string& name) {
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
        background = std::thread([&] { run.background = runOpenLoad(plan.capacity * backgroundLoad, length, loadThreads, makeAsker(copyName)); });
    run.sample = runOpenLoad(plan.capacity * load, length, loadThreads, makeAsker(plan.front->name().value()));
    if (background.joinable())
        background.join();
    run.bytes = loopbackBytes() - bytesBefore;
    FrontCounts after = fleet.counts();
    run.extraSends = after.extraAttempts - before.extraAttempts;
    run.subQueries = after.firstAttempts - before.firstAttempts;
    return run;
}

void print(const char* way, const LoadResult& sample, double capacity)
{
    auto count = [&](Ending ending) { return static_cast<unsigned long long>(sample.count(ending)); };
    std::printf("| %s | %zu | %.0f | %.1f | %.1f | %.1f | %.4f | %.2f | %llu | %llu | %llu | %llu |\n", way, sample.milliseconds.size(),
        static_cast<double>(sample.milliseconds.size()) / sample.seconds, sample.quantile(0.5), sample.quantile(0.99), sample.quantile(0.999), sample.coverage,
        sample.goodput() / capacity, count(Ending::Partial), count(Ending::Refused), count(Ending::Unknown), count(Ending::NoReply));
}

void report(const Plan& plan, const PathRun& path, const LoadResult& direct, double directBytes, const DaemonUsage& use, double allSubQueries, double worst)
{
    std::printf("condition %s, search front %s, %zu shards, load %.2f (and %.2f behind it) of %.0f queries/s\n\n", plan.condition.c_str(),
        plan.front->name().value().c_str(), plan.group->shards().size(), plan.load, plan.backgroundLoad, plan.capacity);
    std::printf("| way | queries | a second | p50 ms | p99 ms | p99.9 ms | coverage | whole/capacity | partial | refused | unknown | unanswered |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    print("path", path.sample, plan.capacity);
    if (plan.backgroundLoad > 0)
        print("behind it", path.background, plan.capacity);
    print("direct", direct, plan.capacity);
    double directSubQueries = static_cast<double>(direct.milliseconds.size() * plan.group->shards().size());
    std::printf("\n| way | bytes a sub-query | allocations a sub-query | core us a sub-query |\n| --- | --- | --- | --- |\n");
    std::printf("| path, all daemons | %.0f | %.1f | %.1f |\n", path.bytes / path.subQueries, static_cast<double>(use.allocations) / allSubQueries,
        use.coreSeconds * 1e6 / allSubQueries);
    std::printf("| direct, the caller | %.0f | %.1f | %.1f |\n", directBytes / directSubQueries, static_cast<double>(direct.allocations) / directSubQueries,
        direct.coreSeconds * 1e6 / directSubQueries);
    std::printf("\np99 path/direct %.2f, extra sends per first send %.4f, largest work at a target over its slots %.2f\n",
        path.sample.quantile(0.99) / std::max(direct.quantile(0.99), 0.001), path.subQueries > 0 ? path.extraSends / path.subQueries : 0, worst);
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Plan plan = readPlan(arguments);
    BenchFleet fleet(*plan.configuration, plan.text, *plan.group, plan.service, directThreads);
    std::this_thread::sleep_for(startTime);
    askPath(fleet, plan, std::min(plan.load, warmUpLoad), warmUp, 0);
    applyCondition(fleet, plan);
    PathRun path = askPath(fleet, plan, plan.load, plan.length, plan.backgroundLoad);
    double worst = worstLoad(fleet, plan);
    std::this_thread::sleep_for(1s);
    FrontCounts all = fleet.counts();
    DaemonUsage use = fleet.stopDaemons();
    if (plan.condition != "lost")
        applyCondition(fleet, plan);
    double bytesBefore = loopbackBytes();
    LoadResult direct = runOpenLoad(plan.capacity * (plan.load + plan.backgroundLoad), plan.length, directThreads, [&](unsigned) -> QueryFunction {
        auto caller = std::make_shared<DirectCaller>(*plan.configuration, *plan.group, plan.front->deadline());
        return [caller](std::uint64_t number) { return caller->sendQuery(number); };
    });
    report(plan, path, direct, loopbackBytes() - bytesBefore, use, all.firstAttempts + all.extraAttempts, worst);
    return 0;
}
