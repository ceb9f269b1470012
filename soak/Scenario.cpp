#include "Scenario.h"

#include "../platform/PlatformNames.h"
#include "../test/Ports.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pimentopoint {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t shards = 8;
    constexpr std::size_t remoteShards = 3; ///< Shards with targets in data centre b only.
    constexpr std::size_t minSubReplies = 6;
    constexpr double minCoverage = 0.75;
    constexpr std::size_t maxAttempts = 2;
    constexpr int maxMegabytes = 128;
    constexpr Duration callerTimeout = milliseconds(1200);
    constexpr Duration callInterval = milliseconds(15);
    constexpr std::size_t callersPerHost = 4;
    /// Longer than the stop time of 3 s in the hosts' settings.
    constexpr Duration maxStopTime = milliseconds(3500);
    /// Longer than the 2 s within which updates must reach all hosts here and than the 5 s between probes of lost members.
    constexpr Duration recoveryTime = milliseconds(6500);
    constexpr std::size_t recoveryCalls = 100;
    /// Time after which a turn of the event loop, which takes 2 ms, is recorded as a pause of the stand-ins.
    constexpr Duration maxLoopTime = milliseconds(20);

} // namespace

struct Scenario::Host {
    std::string settings;
    std::unique_ptr<Proxy> storeProxy;
    std::unique_ptr<ChildProcess> process;
    std::vector<std::shared_ptr<Caller>> callers;
    std::vector<std::string> logs;
    bool faulted = false; ///< Whether the process is stopped, killed or suspended by a fault.
};

struct Scenario::Target {
    std::string name;
    std::string service;
    std::string dataCentre;
    bool nonIdempotent;
    Endpoint address; ///< Address of the proxy, as in the target's entry in the store.
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<StandinService> standin;
    StandinService::Behaviour behaviour {};
    bool draining = false;
    std::uint64_t sequence = 0;
};

Scenario::Scenario(std::uint64_t seed)
    : m_random(seed)
    , m_floodRandom(~seed)
    , m_checker(shards, minSubReplies, maxAttempts)
    , m_storeEndpoint(test::freeEndpoint())
    , m_store(m_context, m_clock, m_storeEndpoint)
    , m_start(m_clock.now())
    , m_seed(seed)
{
    for (std::size_t i = 0; i < shards; ++i) {
        std::string service = "s" + std::to_string(i);
        addTarget(service, i < remoteShards ? "b" : "a", false);
        addTarget(service, "b", false);
    }
    for (const char* service : { "one", "two" }) {
        addTarget(service, "a", true);
        addTarget(service, "b", true);
    }
    publishConfiguration();
    for (const char* dataCentre : { "a", "b" }) {
        std::string prefix = std::string(dataCentre) + "-";
        addHost(prefix + "strong", dataCentre, 1);
        addHost(prefix + "weak-1", dataCentre, 0.25);
        addHost(prefix + "weak-2", dataCentre, 0.25);
    }
}

Scenario::~Scenario() = default;

void Scenario::addTarget(const std::string& service, const std::string& dataCentre, bool nonIdempotent)
{
    auto target = std::make_unique<Target>();
    Target* added = target.get();
    target->service = service;
    target->dataCentre = dataCentre;
    target->nonIdempotent = nonIdempotent;
    target->name = service + "-" + std::to_string(m_targets.size());
    Endpoint direct = test::freeEndpoint();
    target->address = test::freeEndpoint();
    target->standin = std::make_unique<StandinService>(m_context, m_clock, platform::headerNames(), direct, target->name, [this, added](const CallerRequest& request) {
        StandinService::Behaviour behaviour = added->behaviour;
        if (!behaviour.notRun)
            m_checker.recordRun(added->name, added->service, request.id, added->nonIdempotent);
        behaviour.body = Checker::expectedBody(added->name, request.id);
        behaviour.serviceTime = std::max<Duration>(behaviour.serviceTime, milliseconds(2));
        return behaviour;
    });
    target->proxy = std::make_unique<Proxy>(m_context, target->address, direct);
    m_targets.push_back(std::move(target));
    putTargetEntry(*added);
}

void Scenario::putTargetEntry(Target& target)
{
    nlohmann::json entry = { { "service", target.service }, { "address", target.address.text() }, { "zone", target.dataCentre }, { "version", "v1" }, { "slots", 4 },
        { "state", target.draining ? "draining" : "ready" }, { "warmup_left_ms", 0 }, { "sequence", ++target.sequence } };
    m_store.put("servers/" + target.name, entry.dump());
}

void Scenario::publishConfiguration()
{
    m_nonIdempotentService = m_random.chance(0.5) ? "one" : "two";
    nlohmann::json names = nlohmann::json::array();
    nlohmann::json services = { { { "name", "one" }, { "max_connections", 64 } }, { { "name", "two" }, { "max_connections", 64 } } };
    for (std::size_t i = 0; i < shards; ++i) {
        names.push_back("s" + std::to_string(i));
        services.push_back({ { "name", names.back() }, { "max_connections", 64 } });
    }
    m_version += 1 + m_random.below(3);
    nlohmann::json configuration = { { "version", m_version }, { "services", services },
        { "routes",
            { { { "name", "fan" }, { "host", "h.example" }, { "prefix", "/fan/" }, { "kind", "idempotent" }, { "timeout_ms", 1200 }, { "goal_ms", 200 }, { "fanout", names }, { "max_attempts", maxAttempts },
                  { "top_k", Checker::topRecordCount }, { "min_coverage", minCoverage } },
                { { "name", "once" }, { "host", "h.example" }, { "prefix", "/once/" }, { "kind", "non_idempotent" }, { "timeout_ms", 1200 }, { "goal_ms", 200 }, { "service", m_nonIdempotentService }, { "max_attempts", 2 } } } },
        { "limits", { { "header_bytes", 16384 }, { "body_bytes", 65536 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    m_store.put("op/config", configuration.dump());
    recordEvent("configuration " + std::to_string(m_version) + " routes non-idempotent requests to " + m_nonIdempotentService);
}

void Scenario::addHost(const std::string& name, const std::string& dataCentre, double cores)
{
    auto host = std::make_unique<Host>();
    Endpoint storeProxy = test::freeEndpoint();
    host->storeProxy = std::make_unique<Proxy>(m_context, storeProxy, m_storeEndpoint);
    Endpoint callers = test::freeEndpoint();
    Endpoint members = test::freeEndpoint();
    if (m_hosts.empty())
        m_seedMember = members;
    host->settings = "name: " + name + "\ndataCentre: " + dataCentre + "\nlisten:\n  callers: " + callers.text() + "\n  readiness: " + test::freeEndpoint().text() + "\n  members: " + members.text()
        + "\n  aggregation: " + test::freeEndpoint().text() + "\nprocessor: { cores: " + std::to_string(cores) + " }\nmembers: [\"" + m_seedMember.text() + "\"]\nplatform: " + storeProxy.text() + "\nmemoryMegabytes: " + std::to_string(maxMegabytes) + "\ntimes: { stop: 3s, news: 2s, leaving: 2s }\nrepeats: { ratio: 0.2, slack: 56, window: 10s }\n";
    for (std::size_t i = 0; i < callersPerHost; ++i)
        host->callers.push_back(std::make_shared<Caller>(m_context, callers));
    start(*host);
    m_hosts.push_back(std::move(host));
}

void Scenario::start(Host& host)
{
    host.process = std::make_unique<ChildProcess>("pimentopoint-edge", host.settings);
    host.logs.push_back(host.process->log());
    host.faulted = false;
}

void Scenario::recordEvent(const std::string& description)
{
    m_events.push_back(formatDuration(std::chrono::duration_cast<milliseconds>(m_clock.now() - m_start)) + " " + description);
}

void Scenario::runAfter(Duration time, std::function<void()> run)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, time);
    timer->async_wait([timer, run = std::move(run)](const boost::system::error_code& error) {
        if (!error)
            run();
    });
}

void Scenario::runFor(Duration time)
{
    Instant end = m_clock.now() + time;
    runUntil(time, [&] { return m_clock.now() >= end; });
}

bool Scenario::runUntil(Duration timeout, const std::function<bool()>& condition)
{
    Instant end = m_clock.now() + timeout;
    while (!condition()) {
        if (m_clock.now() >= end)
            return condition();
        m_store.tick();
        Instant before = m_clock.now();
        m_context.run_for(milliseconds(2));
        Duration elapsed = m_clock.now() - before;
        if (elapsed > maxLoopTime)
            recordEvent("targets, store and proxies stood still for " + std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count()) + " ms");
    }
    return true;
}

Duration Scenario::randomDuration(Duration min, Duration max)
{
    return min + scaled(max - min, m_random.fraction());
}

void Scenario::sendRequest(bool fanOut)
{
    Host& host = *m_hosts[m_random.below(m_hosts.size())];
    auto idle = std::find_if(host.callers.begin(), host.callers.end(), [](const auto& caller) { return !caller->busy(); });
    if (idle == host.callers.end()) {
        if (m_checksRecovery)
            recordEvent("no request sent: every caller of the host waits for an answer");
        return;
    }
    std::string id = "q" + std::to_string(m_seed) + "-" + std::to_string(++m_lastId);
    m_checker.recordRequest(id);
    (*idle)->sendRequest((fanOut ? "/fan/" : "/once/") + id, id, fanOut, callerTimeout, [this](const CallerObservation& observation) {
        m_checker.recordAnswer(observation);
        constexpr unsigned ok = 200;
        if (m_checksRecovery && observation.status != ok)
            recordEvent("request " + observation.id + " was not served: status " + std::to_string(observation.status) + " after " + std::to_string(std::chrono::duration_cast<milliseconds>(observation.latency).count()) + " ms");
    });
}

void Scenario::generateLoad()
{
    if (!m_loadActive)
        return;
    sendRequest(m_random.chance(0.7));
    runAfter(callInterval, [this] { generateLoad(); });
}

void Scenario::injectHostFault()
{
    Host& host = *m_hosts[m_random.below(m_hosts.size())];
    if (host.faulted)
        return;
    checkMemory(host);
    host.faulted = true;
    std::string name = host.settings.substr(0, host.settings.find('\n'));
    switch (m_random.below(3)) {
    case 0:
        recordEvent("kill " + name);
        host.process.reset();
        runAfter(randomDuration(milliseconds(50), milliseconds(1000)), [this, &host] { start(host); });
        return;
    case 1:
        recordEvent("suspend " + name);
        host.process->signal(SIGSTOP);
        runAfter(randomDuration(milliseconds(50), milliseconds(2500)), [&host] {
            host.process->signal(SIGCONT);
            host.faulted = false;
        });
        return;
    default:
        recordEvent("stop " + name);
        host.process->signal(SIGTERM);
        runAfter(maxStopTime, [this, &host] {
            auto code = host.process->exitCode();
            if (!code || *code != 0)
                recordEvent("FAULT stop of the host with log " + host.logs.back() + (code ? " ended with exit code " + std::to_string(*code) : " did not end in time"));
            start(host);
        });
    }
}

void Scenario::injectTargetFault()
{
    Target& target = *m_targets[m_random.below(m_targets.size())];
    Duration length = randomDuration(milliseconds(100), milliseconds(2000));
    StandinService::Behaviour& behaviour = target.behaviour;
    auto mode = static_cast<Proxy::Mode>(1 + m_random.below(3));
    std::uint64_t kind = m_random.below(8);
    recordEvent("target " + target.name + ", fault " + std::to_string(kind) + " for " + formatDuration(std::chrono::duration_cast<milliseconds>(length)));
    switch (kind) {
    case 0:
        behaviour.serviceTime = milliseconds(300);
        break;
    case 1:
        behaviour.unresponsive = true;
        break;
    case 2:
        behaviour.status = 503;
        behaviour.notRun = true;
        break;
    case 3:
        behaviour.echoedId = "somebody-else";
        break;
    case 4:
        target.proxy->reset();
        break;
    case 5:
        target.proxy->discardOnOpenConnections();
        break;
    case 6:
        target.proxy->setMode(mode);
        break;
    default:
        target.draining = true;
        putTargetEntry(target);
    }
    runAfter(length, [this, &target] {
        target.behaviour = {};
        target.proxy->setMode(Proxy::Mode::Forward);
        if (std::exchange(target.draining, false))
            putTargetEntry(target);
    });
}

void Scenario::injectFlood()
{
    if (!m_faultsActive)
        return;
    constexpr std::uint64_t longestFlood = 800;
    constexpr std::uint64_t longestPause = 1500;
    Target& target = *m_targets[m_floodRandom.below(m_targets.size())];
    milliseconds length(100 + m_floodRandom.below(longestFlood));
    if (target.proxy->mode() == Proxy::Mode::Forward) {
        recordEvent("target " + target.name + " replies without end for " + formatDuration(length));
        target.proxy->setMode(Proxy::Mode::Flood);
        runAfter(length, [&target] {
            if (target.proxy->mode() == Proxy::Mode::Flood)
                target.proxy->setMode(Proxy::Mode::Forward);
        });
    }
    runAfter(milliseconds(m_floodRandom.below(longestPause)), [this] { injectFlood(); });
}

void Scenario::checkMemory([[maybe_unused]] const Host& host)
{
    // Sanitizers keep freed memory and add their own.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    double megabytes = host.process ? host.process->peakMegabytes() : 0;
    if (megabytes > maxMegabytes)
        recordEvent("FAULT a host used " + std::to_string(megabytes) + " MB of memory, more than the " + std::to_string(maxMegabytes) + " MB that its settings state");
#endif
}

void Scenario::injectStoreConnectionFault()
{
    Proxy& proxy = *m_hosts[m_random.below(m_hosts.size())]->storeProxy;
    auto mode = static_cast<Proxy::Mode>(1 + m_random.below(3));
    recordEvent("connection of a host to the store, proxy mode " + std::to_string(static_cast<int>(mode)));
    proxy.setMode(mode);
    runAfter(randomDuration(milliseconds(100), milliseconds(3000)), [&proxy] { proxy.setMode(Proxy::Mode::Forward); });
}

void Scenario::injectStoreFault()
{
    if (m_random.chance(0.3)) {
        recordEvent("store compacts its history");
        m_store.compact();
        return;
    }
    auto fault = static_cast<StandinStore::Fault>(1 + m_random.below(4));
    recordEvent("store, fault " + std::to_string(static_cast<int>(fault)));
    m_store.setFault(fault);
    runAfter(randomDuration(milliseconds(100), milliseconds(2500)), [this] { m_store.setFault(StandinStore::Fault::None); });
}

void Scenario::injectFault()
{
    if (!m_faultsActive)
        return;
    switch (m_random.below(8)) {
    case 0:
    case 1:
        injectHostFault();
        break;
    case 2:
        injectStoreConnectionFault();
        break;
    case 3:
        injectStoreFault();
        break;
    case 4:
        publishConfiguration();
        break;
    default:
        injectTargetFault();
    }
    runAfter(randomDuration(milliseconds(20), milliseconds(500)), [this] { injectFault(); });
}

void Scenario::endFaults()
{
    m_faultsActive = false;
    // Faults that are still active end within this time.
    runFor(maxStopTime + milliseconds(500));
    recordEvent("healed");
}

void Scenario::checkRecovery()
{
    runFor(recoveryTime);
    m_loadActive = false;
    runFor(callerTimeout + milliseconds(200));
    std::size_t before = m_checker.served();
    m_checksRecovery = true;
    for (std::size_t i = 0; i < recoveryCalls; ++i) {
        sendRequest(i % 2);
        runFor(callInterval);
    }
    runFor(callerTimeout + milliseconds(200));
    std::size_t served = m_checker.served() - before;
    if (served + 1 < recoveryCalls)
        recordEvent("FAULT after recovery " + std::to_string(served) + " of " + std::to_string(recoveryCalls) + " calls were served; at most one may fail");
}

ScenarioResult Scenario::run(Duration length)
{
    m_loadActive = true;
    generateLoad();
    bool serves = runUntil(milliseconds(5000), [this] { return m_checker.served() > 20; });
    if (!serves)
        recordEvent("FAULT the fleet did not serve more than 20 calls within 5 s of its start");
    m_faultsActive = true;
    injectFault();
    injectFlood();
    runFor(length);
    endFaults();
    checkRecovery();
    for (const auto& host : m_hosts)
        checkMemory(*host);
    m_checker.finish();
    ScenarioResult result;
    result.violations = m_checker.violations();
    for (const std::string& event : m_events) {
        if (event.find("FAULT") != std::string::npos)
            result.violations.push_back(event);
    }
    result.events = m_events;
    for (auto& host : m_hosts)
        result.logs.insert(result.logs.end(), host->logs.begin(), host->logs.end());
    result.served = m_checker.served();
    result.refused = m_checker.refused();
    result.lost = m_checker.lost();
    return result;
}

} // namespace pimentopoint
