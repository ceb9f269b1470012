/// \file
/// Scenarios of the soak. They run on one thread, start pimentopoint-edge processes, and depend on the stand-ins and on helpers of the tests.
#pragma once

#include "../standins/StandinService.h"
#include "../standins/StandinStore.h"
#include "../test/ChildProcess.h"
#include "Checker.h"
#include "Proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace pimentopoint {

/// Result of a Scenario.
struct ScenarioResult {
    std::vector<std::string> violations;
    std::vector<std::string> events; ///< Faults and changes of configuration, each with its time since the start.
    std::vector<std::string> logs; ///< Paths of the hosts' logs.
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
};

/// \class Scenario
/// \brief Runs a small fleet of real processes under a seeded sequence of faults, with callers and a Checker.
/// \details The fleet has two data centres, each with a strong host and two weak ones; eight shards, three of them with targets in
/// one data centre only; and two services with requests that aren't idempotent. The store and the targets are stand-ins in this process.
class Scenario {
public:
    explicit Scenario(std::uint64_t seed);
    ~Scenario();

    /// Injects faults for \a length, then waits for recovery and checks that the fleet serves all calls but at most one.
    ScenarioResult run(Duration length);

private:
    struct Host;
    struct Target;

    void addHost(const std::string& name, const std::string& dataCentre, double cores);
    void addTarget(const std::string& service, const std::string& dataCentre, bool nonIdempotent);
    void start(Host& host);
    void putTargetEntry(Target& target);
    void publishConfiguration();
    void sendRequest(bool fanOut);
    void generateLoad();
    void injectFault();
    void injectHostFault();
    void injectTargetFault();
    /// Lets a target that has no other fault reply without end for a while; draws from a generator of its own, so that the other faults of a seed stay the same.
    void injectFlood();
    void checkMemory(const Host& host);
    void injectStoreConnectionFault();
    void injectStoreFault();
    void endFaults();
    void recordEvent(const std::string& description);
    void runAfter(Duration time, std::function<void()> run);
    void runFor(Duration time);
    /// \returns whether \a condition became true within \a timeout
    bool runUntil(Duration timeout, const std::function<bool()>& condition);
    Duration randomDuration(Duration min, Duration max);
    void checkRecovery();

    boost::asio::io_context m_context { 1 };
    BootClock m_clock;
    Random m_random;
    Random m_floodRandom;
    Checker m_checker;
    Endpoint m_storeEndpoint;
    StandinStore m_store;
    Endpoint m_seedMember; ///< Member that every host contacts first to join.
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::uint64_t m_version = 0;
    std::string m_nonIdempotentService;
    std::uint64_t m_lastId = 0;
    bool m_loadActive = false;
    bool m_faultsActive = false;
    bool m_checksRecovery = false; ///< Whether each call that is not served is recorded.
    std::vector<std::string> m_events;
    Instant m_start;
    std::uint64_t m_seed;
};

} // namespace pimentopoint
