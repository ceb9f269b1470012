// Event queue, links, targets and main loop of SimulatedCluster.
#include "SimulatedCluster.h"

#include <Pimentopoint/Operator>
#include <nlohmann/json.hpp>

namespace pimentopoint::test {

using namespace std::chrono_literals;

namespace {

    constexpr Duration leavingTimeout = 3s; // Maximum time from the publication until targets get no new requests.
    constexpr Duration tickInterval = 20ms;

} // namespace

SimulatedCluster::SimulatedCluster(std::uint64_t seed, SimulatedFaults faults)
    : m_random(seed)
    , m_faults(faults)
{
    for (unsigned shard = 0; shard < shardCount; ++shard) {
        for (const char* dataCentre : { "a", "b" }) {
            TargetName name("t" + std::to_string(shard) + dataCentre);
            m_targets[targetIdOf(name)] = { name, 1, 3, 0, { 1 }, {} };
        }
    }
    for (const char* name : { "fa", "fb", "fc" }) {
        m_fronts[name] = std::make_unique<Front>();
        m_fronts[name]->name = name;
        m_fronts[name]->dataCentre = std::string(name) == "fb" ? "b" : "a";
    }
    for (const char* name : { "ga1", "ga2", "gb1", "gb2" }) {
        m_gateways[name] = std::make_unique<Gateway>();
        m_gateways[name]->name = name;
        m_gateways[name]->dataCentre = std::string(1, name[1]);
    }
}

void SimulatedCluster::addViolation(const std::string& text)
{
    m_violations.push_back(std::to_string(m_clock.now().time_since_epoch().count()) + "us: " + text);
}

void SimulatedCluster::scheduleAfter(Duration delay, Event event)
{
    m_events.emplace(m_clock.now() + delay, std::move(event));
}

void SimulatedCluster::runOn(Process& process, std::uint64_t incarnation, Event event, const Event& undelivered)
{
    if (!process.alive || process.incarnation != incarnation) {
        if (undelivered)
            undelivered();
        return;
    }
    if (process.paused)
        process.deferred.push_back(std::move(event));
    else
        event();
}

bool SimulatedCluster::partitioned(const Process& a, const Process& b) const
{
    return m_partitions.contains({ a.name, b.name });
}

void SimulatedCluster::transmit(Process& from, Process& to, Event deliver, const Event& lost, const Event& unsent)
{
    std::uint64_t fromIncarnation = from.incarnation;
    std::uint64_t toIncarnation = to.incarnation;
    auto notifySender = [this, &from, fromIncarnation](const Event& event) {
        if (event)
            scheduleAfter(1ms, [this, &from, fromIncarnation, event] { runOn(from, fromIncarnation, event); });
    };
    if (!to.alive)
        return notifySender(unsent);
    if (partitioned(from, to)) {
        if (lost)
            scheduleAfter(400ms, [this, &from, fromIncarnation, lost] { runOn(from, fromIncarnation, lost); });
        return;
    }
    Instant& last = m_lastDelivery[{ from.name, to.name }];
    last = std::max(last, m_clock.now() + networkDelay());
    m_events.emplace(last, [this, &to, toIncarnation, deliver = std::move(deliver), notifySender, lost] {
        runOn(to, toIncarnation, deliver, [notifySender, lost] { notifySender(lost); });
    });
}

void SimulatedCluster::startExchange(Gateway& gateway, const Dispatch& dispatch)
{
    std::uint64_t incarnation = gateway.incarnation;
    FakeTarget& target = m_targets.at(dispatch.target);
    ExchangeResult result;
    result.attempt = dispatch.attempt;
    result.target = dispatch.target;
    if (m_random.chance(m_faults.notConnected)) {
        result.outcome = ExchangeOutcome::NotConnected;
        return complete(gateway, incarnation, result, 1ms);
    }
    scheduleAfter(networkDelay(), [this, &gateway, incarnation, &target, dispatch] { executeAt(gateway, incarnation, target, dispatch); });
}

void SimulatedCluster::executeAt(Gateway& gateway, std::uint64_t gatewayIncarnation, FakeTarget& target, const Dispatch& dispatch)
{
    ExchangeResult result;
    result.attempt = dispatch.attempt;
    result.target = dispatch.target;
    result.newConnection = m_random.chance(0.2);
    if (!target.snapshots.contains(dispatch.snapshot.value())) {
        result.outcome = ExchangeOutcome::RefusedSnapshot;
        return complete(gateway, gatewayIncarnation, result, networkDelay());
    }
    if (m_random.chance(m_faults.shed)) {
        result.outcome = ExchangeOutcome::RefusedShed;
        return complete(gateway, gatewayIncarnation, result, networkDelay());
    }
    bool takenOut = m_takenOut == gateway.dataCentre && m_clock.now() > m_takenOutAt + leavingTimeout;
    bool leaving = m_leaving == target.name.value() && m_clock.now() > m_leavingAt + leavingTimeout;
    if (takenOut || leaving)
        addViolation("new request at " + target.name.value() + (takenOut ? " of a data centre that is taken out of service" : ", which is leaving"));
    ++target.runs[dispatch.text + "@" + std::to_string(dispatch.range.begin())];
    if (++target.outstanding > target.slots)
        addViolation(target.name.value() + " has " + std::to_string(target.outstanding) + " outstanding requests, more than its slots");
    Duration service(static_cast<Duration::rep>(500 + m_random.below(4000)));
    if (m_random.chance(m_faults.slowReply))
        service *= 30;
    service = std::min(service, dispatch.remaining);
    scheduleAfter(service, [&target, incarnation = target.incarnation] {
        if (target.incarnation == incarnation && target.outstanding)
            --target.outstanding;
    });
    bool replyLost = m_random.chance(m_faults.lostReply);
    Duration timeout = std::min(dispatch.replyTimeout, dispatch.remaining);
    if (replyLost || service >= timeout) {
        result.outcome = dispatch.replyTimeout < dispatch.remaining ? ExchangeOutcome::ConnectionLost : ExchangeOutcome::TimedOut;
        return complete(gateway, gatewayIncarnation, result, timeout);
    }
    result.outcome = ExchangeOutcome::Replied;
    SnapshotVersion served = m_random.chance(m_faults.newestSnapshot) ? SnapshotVersion(*target.snapshots.rbegin()) : dispatch.snapshot;
    bool half = m_random.chance(m_faults.halfCovered);
    KeyRange covered(dispatch.range.begin(), half ? dispatch.range.begin() + dispatch.range.size() / 2 : dispatch.range.end());
    result.reply = { dispatch.attempt, Incarnation(target.incarnation), served, { covered }, "" };
    result.reply.hits = "[\"" + dispatch.text + "@" + std::to_string(dispatch.range.begin()) + (half ? "~half#" : "#") + std::to_string(served.value()) + "\"]";
    complete(gateway, gatewayIncarnation, result, service);
}

void SimulatedCluster::complete(Gateway& gateway, std::uint64_t incarnation, ExchangeResult result, Duration delay)
{
    scheduleAfter(delay, [this, &gateway, incarnation, result = std::move(result)] {
        runOn(gateway, incarnation, [this, &gateway, result] { gateway.engine->handleResult(result, m_clock.now()); });
    });
}

void SimulatedCluster::tickAll()
{
    for (auto& [name, gateway] : m_gateways)
        runOn(*gateway, gateway->incarnation, [this, each = gateway.get()] { each->engine->tick(m_clock.now()); });
    for (auto& [name, front] : m_fronts)
        runOn(*front, front->incarnation, [this, each = front.get()] {
            if (each->pauses.tick(m_clock.now()))
                scheduleConfirmation(*each);
        });
    if (m_clock.now() < m_end)
        scheduleAfter(tickInterval, [this] { tickAll(); });
}

std::vector<std::string> SimulatedCluster::run()
{
    constexpr Duration schedule = 6s;
    constexpr Duration settle = 8s;
    m_end = m_clock.now() + schedule + settle;
    m_version = 1;
    std::string first = document(1);
    for (auto& [name, front] : m_fronts) {
        startFront(*front);
        adopt(*front, first);
    }
    for (auto& [name, gateway] : m_gateways) {
        startGateway(*gateway);
        adopt(*gateway, first);
    }
    refreshMembers();
    auto anyTime = [this, schedule] { return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(schedule.count())))); };
    auto anyProcess = [this]() -> Process& {
        std::uint64_t index = m_random.below(m_fronts.size() + m_gateways.size());
        if (index < m_fronts.size())
            return *std::next(m_fronts.begin(), static_cast<std::ptrdiff_t>(index))->second;
        return *std::next(m_gateways.begin(), static_cast<std::ptrdiff_t>(index - m_fronts.size()))->second;
    };
    for (unsigned i = 0; i < m_faults.requests; ++i) {
        auto request = std::make_unique<Request>();
        request->text = "q" + std::to_string(i) + "x";
        request->ticketed = m_random.chance(m_faults.ticketed);
        request->attemptsLeft = 4;
        scheduleAfter(anyTime(), [this, each = request.get()] { submit(*each); });
        m_requests.push_back(std::move(request));
    }
    for (unsigned i = 0; i < m_faults.kills; ++i)
        scheduleAfter(anyTime(), [this, &process = anyProcess()] { if (process.alive) { kill(process); refreshMembers(); } });
    for (unsigned i = 0; i < m_faults.pauses; ++i)
        scheduleAfter(anyTime(), [this, &process = anyProcess()] { if (process.alive && !process.paused) pause(process); });
    for (unsigned i = 0; i < m_faults.partitions; ++i) {
        scheduleAfter(anyTime(), [this, &one = anyProcess(), &other = anyProcess(), both = m_random.chance(0.5)] {
            m_partitions.insert({ one.name, other.name });
            if (both)
                m_partitions.insert({ other.name, one.name });
            scheduleAfter(Duration(static_cast<Duration::rep>(m_random.below(3000000))), [this, &one, &other] {
                m_partitions.erase({ one.name, other.name });
                m_partitions.erase({ other.name, one.name });
            });
        });
    }
    for (unsigned i = 0; i < m_faults.targetRestarts; ++i) {
        scheduleAfter(anyTime(), [this, index = m_random.below(m_targets.size())] {
            FakeTarget& target = std::next(m_targets.begin(), static_cast<std::ptrdiff_t>(index))->second;
            ++target.incarnation;
            target.outstanding = 0;
        });
    }
    for (unsigned i = 0; i < m_faults.publications; ++i)
        scheduleAfter(anyTime(), [this] { publish(); });
    tickAll();
    while (!m_events.empty()) {
        auto next = m_events.begin();
        m_clock.setNow(std::max(m_clock.now(), next->first));
        Event event = std::move(next->second);
        m_events.erase(next);
        event();
    }
    checkRequests();
    return m_violations;
}

} // namespace pimentopoint::test
