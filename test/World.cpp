// The event queue, links and targets of a World, and its run.
#include "World.h"

#include <Pimentopoint/Operator>
#include <nlohmann/json.hpp>

namespace pimentopoint::test {

using namespace std::chrono_literals;

namespace {

    constexpr Duration takeOutBound = 3s; // From publication to the last new work.
    constexpr Duration tickInterval = 20ms;

} // namespace

World::World(std::uint64_t seed, WorldFaults faults)
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

void World::violation(const std::string& text)
{
    m_violations.push_back(std::to_string(m_clock.now().time_since_epoch().count()) + "us: " + text);
}

void World::at(Duration delay, Event event)
{
    m_events.emplace(m_clock.now() + delay, std::move(event));
}

void World::on(Process& process, std::uint64_t incarnation, Event event, const Event& undelivered)
{
    if (!process.alive || process.incarnation != incarnation) {
        if (undelivered)
            undelivered();
        return;
    }
    if (process.frozen)
        process.deferred.push_back(std::move(event));
    else
        event();
}

bool World::isCut(const Process& a, const Process& b) const
{
    return m_cuts.contains({ a.name, b.name });
}

void World::link(Process& from, Process& to, Event deliver, const Event& lost, const Event& unsent)
{
    std::uint64_t fromIncarnation = from.incarnation;
    std::uint64_t toIncarnation = to.incarnation;
    auto back = [this, &from, fromIncarnation](const Event& event) {
        if (event)
            at(1ms, [this, &from, fromIncarnation, event] { on(from, fromIncarnation, event); });
    };
    if (!to.alive)
        return back(unsent);
    if (isCut(from, to)) {
        if (lost)
            at(400ms, [this, &from, fromIncarnation, lost] { on(from, fromIncarnation, lost); });
        return;
    }
    Instant& last = m_lastDelivery[{ from.name, to.name }];
    last = std::max(last, m_clock.now() + hop());
    m_events.emplace(last, [this, &to, toIncarnation, deliver = std::move(deliver), back, lost] {
        on(to, toIncarnation, deliver, [back, lost] { back(lost); });
    });
}

void World::exchange(Gateway& gateway, const Dispatch& dispatch)
{
    std::uint64_t incarnation = gateway.incarnation;
    FakeTarget& target = m_targets.at(dispatch.target);
    ExchangeResult result;
    result.attempt = dispatch.attempt;
    result.target = dispatch.target;
    if (m_random.chance(m_faults.notConnected)) {
        result.end = ExchangeEnd::NotConnected;
        return complete(gateway, incarnation, result, 1ms);
    }
    at(hop(), [this, &gateway, incarnation, &target, dispatch] { workAt(gateway, incarnation, target, dispatch); });
}

void World::workAt(Gateway& gateway, std::uint64_t gatewayIncarnation, FakeTarget& target, const Dispatch& dispatch)
{
    ExchangeResult result;
    result.attempt = dispatch.attempt;
    result.target = dispatch.target;
    result.newConnection = m_random.chance(0.2);
    if (!target.snapshots.contains(dispatch.snapshot.value())) {
        result.end = ExchangeEnd::RefusedSnapshot;
        return complete(gateway, gatewayIncarnation, result, hop());
    }
    if (m_random.chance(m_faults.shed)) {
        result.end = ExchangeEnd::RefusedShed;
        return complete(gateway, gatewayIncarnation, result, hop());
    }
    bool out = m_takenOut == gateway.dataCentre && m_clock.now() > m_takenOutAt + takeOutBound;
    bool left = m_leaving == target.name.value() && m_clock.now() > m_leavingAt + takeOutBound;
    if (out || left)
        violation("new work at " + target.name.value() + (out ? ", taken out" : ", leaving"));
    ++target.runs[dispatch.text + "@" + std::to_string(dispatch.range.begin())];
    if (++target.atWork > target.slots)
        violation(target.name.value() + " has " + std::to_string(target.atWork) + " at work");
    Duration service(static_cast<Duration::rep>(500 + m_random.below(4000)));
    if (m_random.chance(m_faults.slowReply))
        service *= 30;
    service = std::min(service, dispatch.remaining);
    at(service, [&target, incarnation = target.incarnation] {
        if (target.incarnation == incarnation && target.atWork)
            --target.atWork;
    });
    bool silent = m_random.chance(m_faults.silentReply);
    Duration patience = std::min(dispatch.silence, dispatch.remaining);
    if (silent || service >= patience) {
        result.end = dispatch.silence < dispatch.remaining ? ExchangeEnd::ConnectionLost : ExchangeEnd::TimedOut;
        return complete(gateway, gatewayIncarnation, result, patience);
    }
    result.end = ExchangeEnd::Replied;
    SnapshotVersion served = m_random.chance(m_faults.otherSnapshot) ? SnapshotVersion(*target.snapshots.rbegin()) : dispatch.snapshot;
    bool half = m_random.chance(m_faults.halfCovered);
    KeyRange covered(dispatch.range.begin(), half ? dispatch.range.begin() + dispatch.range.size() / 2 : dispatch.range.end());
    result.reply = { dispatch.attempt, Incarnation(target.incarnation), served, { covered }, "" };
    result.reply.hits = "[\"" + dispatch.text + "@" + std::to_string(dispatch.range.begin()) + (half ? "~half#" : "#") + std::to_string(served.value()) + "\"]";
    complete(gateway, gatewayIncarnation, result, service);
}

void World::complete(Gateway& gateway, std::uint64_t incarnation, ExchangeResult result, Duration delay)
{
    at(delay, [this, &gateway, incarnation, result = std::move(result)] {
        on(gateway, incarnation, [this, &gateway, result] { gateway.engine->complete(result, m_clock.now()); });
    });
}

void World::tickAll()
{
    for (auto& [name, gateway] : m_gateways)
        on(*gateway, gateway->incarnation, [this, each = gateway.get()] { each->engine->tick(m_clock.now()); });
    for (auto& [name, front] : m_fronts)
        on(*front, front->incarnation, [this, each = front.get()] {
            if (each->pauses.tick(m_clock.now()))
                confirmLater(*each);
        });
    if (m_clock.now() < m_end)
        at(tickInterval, [this] { tickAll(); });
}

std::vector<std::string> World::run()
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
        request->triesLeft = 4;
        at(anyTime(), [this, each = request.get()] { submit(*each); });
        m_requests.push_back(std::move(request));
    }
    for (unsigned i = 0; i < m_faults.kills; ++i)
        at(anyTime(), [this, &process = anyProcess()] { if (process.alive) { kill(process); refreshMembers(); } });
    for (unsigned i = 0; i < m_faults.freezes; ++i)
        at(anyTime(), [this, &process = anyProcess()] { if (process.alive && !process.frozen) freeze(process); });
    for (unsigned i = 0; i < m_faults.cuts; ++i) {
        at(anyTime(), [this, &one = anyProcess(), &other = anyProcess(), both = m_random.chance(0.5)] {
            m_cuts.insert({ one.name, other.name });
            if (both)
                m_cuts.insert({ other.name, one.name });
            at(Duration(static_cast<Duration::rep>(m_random.below(3000000))), [this, &one, &other] {
                m_cuts.erase({ one.name, other.name });
                m_cuts.erase({ other.name, one.name });
            });
        });
    }
    for (unsigned i = 0; i < m_faults.targetRestarts; ++i) {
        at(anyTime(), [this, index = m_random.below(m_targets.size())] {
            FakeTarget& target = std::next(m_targets.begin(), static_cast<std::ptrdiff_t>(index))->second;
            ++target.incarnation;
            target.atWork = 0;
        });
    }
    for (unsigned i = 0; i < m_faults.publications; ++i)
        at(anyTime(), [this] { publish(); });
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
