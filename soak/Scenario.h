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

/// What a Scenario ended with.
struct ScenarioResult {
    std::vector<std::string> violations;
    std::vector<std::string> events; ///< What was done to the fleet, with times.
    std::vector<std::string> logs; ///< Paths of the hosts' logs.
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
};

/// \class Scenario
/// \brief A small fleet of real processes under a seeded series of faults, with callers and a checker.
/// \details Two data centres, each with a strong host and two weak ones; eight shards, three of them with targets in one data
/// centre only; two services whose requests may run once. The store and the targets are stand-ins in this process.
class Scenario {
public:
    explicit Scenario(std::uint64_t seed);
    ~Scenario();

    /// Plays faults for \a length, then lets the fleet recover and checks that it serves.
    ScenarioResult run(Duration length);

private:
    struct Host;
    struct Target;

    void addHost(const std::string& name, const std::string& dataCentre, double cores);
    void addTarget(const std::string& service, const std::string& dataCentre, bool once);
    void start(Host& host);
    void putTargetEntry(Target& target);
    void publishConfiguration();
    void sendRequest(bool fanOut);
    void generateLoad();
    void injectFault();
    void injectHostFault();
    void injectTargetFault();
    void injectStoreConnectionFault();
    void injectStoreFault();
    void endFaults();
    void recordEvent(const std::string& what);
    void runAfter(Duration time, std::function<void()> run);
    void runFor(Duration time);
    /// \returns whether \a condition held before \a most had passed
    bool runUntil(Duration most, const std::function<bool()>& condition);
    Duration randomDuration(Duration least, Duration most);
    void checkRecovery();

    boost::asio::io_context m_context { 1 };
    BootClock m_clock;
    Random m_random;
    Checker m_checker;
    Endpoint m_storeEndpoint;
    StandinStore m_store;
    Endpoint m_seedMember; ///< Whom the hosts ask first.
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::uint64_t m_version = 0;
    std::string m_nonIdempotentService;
    std::uint64_t m_lastId = 0;
    bool m_loadActive = false;
    bool m_faultsActive = false;
    std::vector<std::string> m_events;
    Instant m_start;
    std::uint64_t m_seed;
};

} // namespace pimentopoint
