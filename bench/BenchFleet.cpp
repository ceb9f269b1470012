#include "BenchFleet.h"

#include "Callers.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>

extern char** environ;

namespace pimentopoint::bench {

namespace {

    constexpr std::uint16_t firstPort = 27000;
    constexpr std::uint16_t portsPerDaemon = 3;
    constexpr unsigned platformThreads = 64;
    /// Threads of a target for requests other than searches.
    constexpr unsigned spareThreads = 16;

    double seconds(const timeval& time)
    {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    }

    double sumOfMetric(const std::string& metrics, const std::string& name)
    {
        double sum = 0;
        std::istringstream lines(metrics);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + "{"))
                sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }

} // namespace

BenchFleet::BenchFleet(const Configuration& configuration, const std::string& text, const ShardGroup& group, Duration service, unsigned concurrency)
    : m_platformEndpoint("127.0.0.1", firstPort)
    , m_nextPort(firstPort + 1)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "pimentopoint-bench-XXXXXX").string();
    m_scratchDirectory = mkdtemp(pattern.data());
    std::set<TargetId> queried;
    for (const Shard& shard : group.shards())
        queried.insert(shard.replicas().begin(), shard.replicas().end());
    for (const Target& target : configuration.targets()) {
        const TargetSet& limits = configuration.limits(target);
        standins::TargetBehaviour behaviour;
        behaviour.name = target.name().value();
        behaviour.slots = limits.slots();
        behaviour.shedThreshold = 2 * concurrency;
        behaviour.coldLimit = limits.coldLimit();
        behaviour.serviceTime = service;
        behaviour.connectTime = limits.connectTime();
        unsigned threads = queried.contains(target.id()) ? concurrency + spareThreads : 2;
        targets[target.id()] = std::make_unique<standins::StandinTarget>(target.endpoint(), behaviour, threads);
    }
    platform = std::make_unique<standins::StandinPlatform>(m_platformEndpoint, platformThreads);
    platform->publish("configuration", configuration.version().value(), text);
    for (const DataCentre& dataCentre : configuration.dataCentres()) {
        for (const MemberName& gateway : dataCentre.gateways())
            addDaemon("bench-gateway", gateway.value(), dataCentre.name().value());
        fronts.push_back(addDaemon("bench-front", dataCentre.name().value() + "-front", dataCentre.name().value()));
    }
}

BenchFleet::~BenchFleet()
{
    stopDaemons();
    std::vector<std::thread> stopThreads;
    for (auto& [id, target] : targets)
        stopThreads.emplace_back([&target = target] { target.reset(); });
    for (std::thread& stop : stopThreads)
        stop.join();
    std::filesystem::remove_all(m_scratchDirectory);
}

Endpoint BenchFleet::addDaemon(const std::string& program, const std::string& name, const std::string& dataCentre)
{
    std::uint16_t port = m_nextPort;
    m_nextPort = static_cast<std::uint16_t>(m_nextPort + portsPerDaemon);
    m_daemons[name] = { program, dataCentre, port, 0 };
    auto address = [](int number) { return "127.0.0.1:" + std::to_string(number); };
    std::ofstream(scratchFile(name, ".yaml")) << "name: " << name << "\ndataCentre: " << dataCentre << "\nlisten: {http: " << address(port) << ", tcp: " << address(port + 1)
                                              << ", udp: " << address(port + 2) << "}\nmembers: [" << address(firstPort + portsPerDaemon) << ", "
                                              << address(firstPort + 2 * portsPerDaemon) << "]\nplatform: " << m_platformEndpoint.text() << "\nlogLevel: error\nthreads: 256\n";
    start(name);
    return { "127.0.0.1", port };
}

void BenchFleet::start(const std::string& name)
{
    Daemon& daemon = m_daemons.at(name);
    std::string path = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / daemon.program).string();
    std::vector<std::string> words { path, "--settings", scratchFile(name, ".yaml") };
    std::vector<char*> arguments;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, scratchFile(name, ".log").c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    if (posix_spawn(&daemon.pid, path.c_str(), &actions, nullptr, arguments.data(), environ))
        daemon.pid = 0;
    posix_spawn_file_actions_destroy(&actions);
}

void BenchFleet::signal(const std::string& name, int signal)
{
    pid_t pid = m_daemons.at(name).pid;
    if (pid)
        kill(pid, signal);
}

int BenchFleet::wait(const std::string& name)
{
    Daemon& daemon = m_daemons.at(name);
    if (!daemon.pid)
        return -1;
    int status = 0;
    rusage usage {};
    wait4(daemon.pid, &status, 0, &usage);
    daemon.pid = 0;
    m_usage.coreSeconds += seconds(usage.ru_utime) + seconds(usage.ru_stime);
    std::ifstream log(scratchFile(name, ".log"));
    const std::string key = "allocations ";
    for (std::string line; std::getline(log, line);) {
        if (line.starts_with(key))
            m_usage.allocations += std::stoull(line.substr(key.size()));
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void BenchFleet::restart(const std::string& name)
{
    start(name);
}

DaemonUsage BenchFleet::stopDaemons()
{
    for (const auto& [name, daemon] : m_daemons)
        signal(name, SIGTERM);
    for (const auto& [name, daemon] : m_daemons)
        wait(name);
    return m_usage;
}

FrontCounts BenchFleet::counts() const
{
    FrontCounts counts;
    for (const Endpoint& front : fronts) {
        std::string metrics = fetch(front, "/metrics");
        counts.firstAttempts += sumOfMetric(metrics, "pimentopoint_first_sends_total");
        counts.extraAttempts += sumOfMetric(metrics, "pimentopoint_hedges_total") + sumOfMetric(metrics, "pimentopoint_retries_total");
    }
    return counts;
}

} // namespace pimentopoint::bench
