/// \file
/// Measures what callers see during stops, crashes and pauses of real processes and during changes by operators.
#include "BenchFleet.h"
#include "OpenLoad.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <curl/curl.h>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

using namespace pimentopoint;
using namespace pimentopoint::bench;
using namespace std::chrono_literals;

namespace {

constexpr const char* usage = R"(Measures what callers see during planned stops, kills and pauses of processes and changes by operators.

Usage:
  FaultBench --configuration FILE --front NAME [--load FRACTION] [--service US]
  FaultBench --help

Options:
  --configuration FILE  A published configuration whose targets are on 127.0.0.1; faults affect its first data centre.
  --front NAME          The search front to query.
  --load FRACTION       Offered load over the capacity of the shard group's targets [default: 0.2].
  --service US          Service time of a target in microseconds [default: 20000].
  --help                Show this text.
)";

constexpr unsigned loadThreads = 64;
constexpr Duration startTime = 4s;
constexpr Duration warmUp = 9s;
/// Time of load before each event; the lengths of the runs are chosen to leave at least as long after it.
constexpr Duration loadBeforeEvent = 2s;
constexpr Duration eventLength = 10s;
constexpr Duration probeInterval = 100ms;
/// Time within which a change must reach all hosts; a request that arrives at a target later must not be based on the state before the change.
constexpr Duration propagationTime = 11s;

/// \class Balancer
/// \brief Directs callers to the fronts whose health check reports that they serve, like the load balancer in production.
class Balancer {
public:
    explicit Balancer(std::vector<Endpoint> fronts)
        : m_fronts(std::move(fronts))
        , m_healthy(m_fronts.size())
        , m_thread([this] { run(); })
    {
    }
    ~Balancer()
    {
        m_stop = true;
        m_thread.join();
    }
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    /// \returns the index of the front for \a query
    std::size_t choose(std::uint64_t query) const
    {
        for (std::size_t i = 0; i < m_fronts.size(); ++i) {
            std::size_t candidate = (query + i) % m_fronts.size();
            if (m_healthy[candidate])
                return candidate;
        }
        return query % m_fronts.size();
    }

private:
    void run()
    {
        while (!m_stop) {
            for (std::size_t i = 0; i < m_fronts.size(); ++i)
                m_healthy[i] = fetch(m_fronts[i], "/healthz").find("\"serving\"") != std::string::npos;
            std::this_thread::sleep_for(probeInterval);
        }
    }

    std::vector<Endpoint> m_fronts;
    std::vector<std::atomic<bool>> m_healthy;
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
};

/// \class FleetUnderLoad
/// \brief A fleet under constant load during which events are triggered.
class FleetUnderLoad {
public:
    FleetUnderLoad(ConfigurationPointer configuration, std::string text, const SearchFront& front, double load, Duration service)
        : m_configuration(std::move(configuration))
        , m_text(std::move(text))
        , m_front(front)
        , m_group(m_configuration->shardGroups()[front.shardGroup()])
        , m_fleet(*m_configuration, m_text, m_group, service, loadThreads)
        , m_balancer(m_fleet.fronts)
    {
        double slots = 0;
        for (TargetId id : queriedTargets())
            slots += m_configuration->limits(*m_configuration->target(id)).slots();
        m_rate = load * slots / std::chrono::duration<double>(service).count() / static_cast<double>(m_group.shards().size());
        std::this_thread::sleep_for(startTime);
        run(warmUp);
    }

    BenchFleet& fleet() { return m_fleet; }
    std::string gateway() const { return dataCentre().gateways().front().value(); }
    std::string front() const { return dataCentre().name().value() + "-front"; }

    /// Runs load for \a length, calls \a event during it, and prints a row of the table.
    void measureEvent(const char* name, Duration length, const std::function<std::string()>& event)
    {
        std::string note;
        std::thread eventThread([&] {
            std::this_thread::sleep_for(loadBeforeEvent);
            note = event();
        });
        LoadResult sample = run(length);
        eventThread.join();
        auto count = [&](QueryOutcome outcome) { return static_cast<unsigned long long>(sample.count(outcome)); };
        std::printf("| %s | %zu | %.1f | %.1f | %.5f | %llu | %llu | %llu | %llu | %s |\n", name, sample.milliseconds.size(), sample.quantile(0.5), sample.quantile(0.99),
            sample.coverage, count(QueryOutcome::Partial), count(QueryOutcome::Refused), count(QueryOutcome::Unknown), count(QueryOutcome::NoReply), note.c_str());
        std::fflush(stdout);
    }

    /// Publishes the configuration with the first data centre taken out of service or back in.
    void publishTakenOut(bool takenOut)
    {
        std::string text = m_text;
        replace(text, "version: 1", "version: " + std::to_string(++m_version));
        std::string name = "name: " + dataCentre().name().value();
        std::size_t at = text.find(name);
        std::size_t state = text.find("state: in", at);
        if (takenOut)
            text.replace(state, std::string("state: in").size(), "state: out");
        m_fleet.platform->publish("configuration", m_version, text);
    }

    /// Publishes a host list in which \a target is leaving; an empty name publishes an empty list.
    void publishLeaving(const std::string& target)
    {
        std::string list = target.empty() ? "[]" : "[{name: " + target + ", state: leaving}]";
        ++m_hostsVersion;
        m_fleet.platform->publish("hosts", m_hostsVersion, "version: " + std::to_string(m_hostsVersion) + "\nhosts: " + list + "\n");
    }

    /// \returns the queried targets of the first data centre
    std::vector<TargetId> localTargets() const
    {
        std::vector<TargetId> found;
        for (TargetId id : queriedTargets()) {
            if (m_configuration->target(id)->dataCentre() == dataCentre().name())
                found.push_back(id);
        }
        return found;
    }
    std::string nameOf(TargetId id) const { return m_configuration->target(id)->name().value(); }

    /// Waits for propagationTime. \returns a note on how long after \a published the last request reached one of \a targets
    std::string describeLastRequest(const std::vector<TargetId>& targets, Instant published)
    {
        std::this_thread::sleep_for(propagationTime);
        Duration longest { 0 };
        for (TargetId id : targets)
            longest = std::max(longest, m_fleet.targets.at(id)->lastRequest() - published);
        char text[64];
        std::snprintf(text, sizeof text, "last request %.2f s after publication", std::chrono::duration<double>(longest).count());
        return text;
    }

private:
    const DataCentre& dataCentre() const { return m_configuration->dataCentres().front(); }

    static void replace(std::string& text, const std::string& what, const std::string& replacement)
    {
        std::size_t at = text.find(what);
        if (at != std::string::npos)
            text.replace(at, what.size(), replacement);
    }

    std::vector<TargetId> queriedTargets() const
    {
        std::vector<TargetId> all;
        for (const Shard& shard : m_group.shards())
            all.insert(all.end(), shard.replicas().begin(), shard.replicas().end());
        return all;
    }

    LoadResult run(Duration length)
    {
        return runOpenLoad(m_rate, length, loadThreads, [this](unsigned) -> QueryFunction {
            auto callers = std::make_shared<std::vector<std::unique_ptr<FrontCaller>>>();
            for (const Endpoint& front : m_fleet.fronts)
                callers->push_back(std::make_unique<FrontCaller>(front, m_front.name().value()));
            return [this, callers](std::uint64_t number) { return callers->at(m_balancer.choose(number))->sendQuery(number); };
        });
    }

    ConfigurationPointer m_configuration;
    std::string m_text;
    const SearchFront& m_front;
    const ShardGroup& m_group;
    BenchFleet m_fleet;
    Balancer m_balancer;
    double m_rate = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_hostsVersion = 0;
};

void measureProcessFaults(FleetUnderLoad& fleetUnderLoad)
{
    BenchFleet& fleet = fleetUnderLoad.fleet();
    auto stopAndStart = [&](const std::string& name) {
        fleet.signal(name, SIGTERM);
        int code = fleet.wait(name);
        fleet.restart(name);
        return "exit code " + std::to_string(code) + ", started again";
    };
    fleetUnderLoad.measureEvent("nothing", eventLength, [] { return std::string(); });
    fleetUnderLoad.measureEvent("planned stop of a gateway", eventLength, [&] { return stopAndStart(fleetUnderLoad.gateway()); });
    fleetUnderLoad.measureEvent("planned stop of a front", eventLength, [&] { return stopAndStart(fleetUnderLoad.front()); });
    fleetUnderLoad.measureEvent("gateway killed", eventLength, [&] {
        fleet.signal(fleetUnderLoad.gateway(), SIGKILL);
        fleet.wait(fleetUnderLoad.gateway());
        std::this_thread::sleep_for(2s);
        fleet.restart(fleetUnderLoad.gateway());
        return std::string("started again after 2 s");
    });
    fleetUnderLoad.measureEvent("gateway suspended for 3 s", eventLength, [&] {
        fleet.signal(fleetUnderLoad.gateway(), SIGSTOP);
        std::this_thread::sleep_for(3s);
        fleet.signal(fleetUnderLoad.gateway(), SIGCONT);
        return std::string();
    });
}

void measureOperatorChanges(FleetUnderLoad& fleetUnderLoad)
{
    constexpr Duration length = loadBeforeEvent + propagationTime + 2s;
    SystemClock clock;
    std::vector<TargetId> localTargets = fleetUnderLoad.localTargets();
    fleetUnderLoad.measureEvent("target leaving", length, [&] {
        Instant published = clock.now();
        fleetUnderLoad.publishLeaving(fleetUnderLoad.nameOf(localTargets.front()));
        return fleetUnderLoad.describeLastRequest({ localTargets.front() }, published);
    });
    fleetUnderLoad.measureEvent("target back in service", eventLength, [&] {
        fleetUnderLoad.publishLeaving("");
        return std::string();
    });
    fleetUnderLoad.measureEvent("data centre taken out of service", length, [&] {
        Instant published = clock.now();
        fleetUnderLoad.publishTakenOut(true);
        return fleetUnderLoad.describeLastRequest(localTargets, published);
    });
    fleetUnderLoad.measureEvent("data centre back in service", eventLength, [&] {
        fleetUnderLoad.publishTakenOut(false);
        return std::string();
    });
    fleetUnderLoad.measureEvent("platform outage", eventLength, [&] {
        fleetUnderLoad.fleet().platform->setOutage(true);
        return std::string();
    });
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::ifstream file(arguments["--configuration"].asString());
    std::stringstream content;
    content << file.rdbuf();
    ConfigurationPointer configuration = readConfiguration(content.str());
    const SearchFront* front = configuration->searchFront(SearchFrontName(arguments["--front"].asString()));
    FleetUnderLoad fleetUnderLoad(configuration, content.str(), *front, std::stod(arguments["--load"].asString()), Duration(arguments["--service"].asLong()));
    std::printf("| event | queries | p50 ms | p99 ms | coverage | partial | refused | unknown | unanswered | note |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    measureProcessFaults(fleetUnderLoad);
    measureOperatorChanges(fleetUnderLoad);
    return 0;
}
