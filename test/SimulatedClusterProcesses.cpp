// Process starts, kills and pauses, documents and members of SimulatedCluster.
#include "SimulatedCluster.h"

#include <Pimentopoint/Operator>
#include <nlohmann/json.hpp>

namespace pimentopoint::test {

using namespace std::chrono_literals;

namespace {

    constexpr Duration documentSpread = 2s; // Maximum time until a published document reaches every process that can be reached.

} // namespace

std::string SimulatedCluster::document(std::uint64_t version) const
{
    ConfigurationBuilder builder { ConfigurationVersion(version) };
    for (const char* name : { "a", "b" }) {
        DataCentre dataCentre { DataCentreName(name), "r" };
        dataCentre.addGateway(MemberName(std::string("g") + name + "1")).addGateway(MemberName(std::string("g") + name + "2"));
        builder.addDataCentre(dataCentre.setTakenOut(m_takenOut == name));
    }
    builder.addTargetSet(TargetSet("s").setSlots(3).setConnections(9).setColdLimit(3));
    std::uint16_t port = 1000;
    for (const auto& [id, target] : m_targets)
        builder.addTarget(target.name.value(), Endpoint("127.0.0.1", port++), target.name.value().substr(2));
    std::vector<std::vector<std::string>> replicas;
    for (unsigned shard = 0; shard < shardCount; ++shard) {
        unsigned moved = static_cast<unsigned>((shard + m_shardOffset) % shardCount);
        replicas.push_back({ "t" + std::to_string(moved) + "a", "t" + std::to_string(moved) + "b" });
    }
    builder.addShardGroup("g", SnapshotVersion(m_snapshot), replicas);
    builder.addSearchFront("read", "g", [](SearchFront& front) { front.setDeadline(300ms).setExtraAttemptRatio(Fraction(0.2)); });
    builder.addSearchFront("order", "g", [](SearchFront& front) { front.setIdempotent(false).setDeadline(300ms); });
    return builder.print();
}

SimulatedCluster::Front* SimulatedCluster::frontOf(Process& process)
{
    auto found = m_fronts.find(process.name);
    return found == m_fronts.end() ? nullptr : found->second.get();
}

SimulatedCluster::Gateway* SimulatedCluster::gatewayOf(Process& process)
{
    auto found = m_gateways.find(process.name);
    return found == m_gateways.end() ? nullptr : found->second.get();
}

void SimulatedCluster::adopt(Process& process, const std::string& text)
{
    DocumentKind kind = text.starts_with("version") ? DocumentKind::Hosts : DocumentKind::Configuration;
    std::uint64_t before = process.store->version(kind);
    process.store->offer(kind, text);
    if (process.store->version(kind) < before)
        addViolation(process.name + " replaced a document by an older version");
    if (Gateway* gateway = gatewayOf(process))
        gateway->engine->setDocuments(process.store->activeDocuments(), m_clock.now());
}

void SimulatedCluster::publish()
{
    std::string hosts;
    if (m_random.chance(0.4)) {
        if (m_leaving.empty()) {
            m_leaving = "t" + std::to_string(m_random.below(shardCount)) + (m_random.chance(0.5) ? "a" : "b");
            m_leavingAt = m_clock.now();
        } else {
            m_leaving.clear();
        }
        hosts = "version: " + std::to_string(++m_hostsVersion) + "\nhosts: [" + (m_leaving.empty() ? "" : "{name: " + m_leaving + ", state: leaving}") + "]\n";
    } else if (m_random.chance(0.5)) {
        m_takenOut = m_takenOut.empty() ? (m_random.chance(0.5) ? "a" : "b") : "";
        m_takenOutAt = m_clock.now();
    } else {
        ++m_snapshot;
        m_shardOffset += m_random.below(2);
        for (auto& [id, target] : m_targets)
            target.snapshots.insert(m_snapshot);
        scheduleAfter(documentSpread / 2, [this, old = m_snapshot - 1] {
            for (auto& [id, target] : m_targets)
                target.snapshots.erase(old);
        });
    }
    std::string text = hosts.empty() ? document(++m_version) : hosts;
    auto toAll = [this, text](auto& processes) {
        for (auto& [name, process] : processes) {
            Process* each = process.get();
            std::uint64_t incarnation = each->incarnation;
            Duration delay(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(documentSpread.count()))));
            scheduleAfter(delay, [this, each, incarnation, text] { runOn(*each, incarnation, [this, each, text] { adopt(*each, text); }); });
        }
    };
    toAll(m_fronts);
    toAll(m_gateways);
}

void SimulatedCluster::startFront(Front& front)
{
    front.alive = true;
    front.paused = false;
    front.deferred.clear();
    front.runs.clear();
    front.waiting.clear();
    front.serving = false;
    front.incarnation = ++m_lastIncarnation;
    front.pauses = PauseDetector();
    front.store = std::make_unique<DocumentStore>();
    front.tickets = std::make_unique<TicketHandler>(MemberName(front.name), Incarnation(front.incarnation));
    front.router = std::make_unique<LeastLoadedRouter>(DataCentreName(front.dataCentre), m_clock, front.incarnation);
    front.budget = std::make_unique<ExtraAttemptBudget>();
    front.latencies = std::make_unique<LatencyWindow>(0.95);
    scheduleConfirmation(front);
}

void SimulatedCluster::startGateway(Gateway& gateway)
{
    gateway.alive = true;
    gateway.paused = false;
    gateway.deferred.clear();
    gateway.serving = false;
    gateway.incarnation = ++m_lastIncarnation;
    gateway.store = std::make_unique<DocumentStore>();
    GatewayEngine::Hooks hooks;
    hooks.dispatch = [this, &gateway](const Dispatch& dispatch) { startExchange(gateway, dispatch); };
    hooks.cancel = [](TargetId, const AttemptId&) {};
    hooks.reply = [this, &gateway](const AttemptId& attempt, const SubReply& reply) {
        for (auto& [name, front] : m_fronts) {
            if (front->incarnation != attempt.sender().value())
                continue;
            Front* to = front.get();
            auto deliver = [this, to, reply] {
                std::uint64_t query = reply.attempt >> 16;
                auto run = to->runs.find(query);
                if (run != to->runs.end())
                    perform(*to, query, run->second.query->handleReply(reply, m_clock.now()));
            };
            transmit(gateway, *to, deliver, {}, {});
            if (m_random.chance(m_faults.duplicateReply))
                transmit(gateway, *to, deliver, {}, {});
        }
    };
    hooks.paused = [this, &gateway] { scheduleConfirmation(gateway); };
    gateway.engine = std::make_unique<GatewayEngine>(MemberName(gateway.name), DataCentreName(gateway.dataCentre), hooks, m_clock.now());
    scheduleConfirmation(gateway);
}

void SimulatedCluster::scheduleConfirmation(Process& process)
{
    process.serving = false;
    std::uint64_t incarnation = process.incarnation;
    scheduleAfter(Duration(5000 + m_random.below(40000)), [this, &process, incarnation] {
        runOn(process, incarnation, [this, &process] { startServing(process); });
    });
}

void SimulatedCluster::startServing(Process& process)
{
    // Simulates the confirmation by another member: the process gets the newest documents that are active in any reachable process.
    auto adoptNewestFrom = [&](auto& processes) {
        for (auto& [name, other] : processes) {
            if (!other->store || !other->alive || other->paused || partitioned(process, *other))
                continue;
            for (DocumentKind kind : { DocumentKind::Configuration, DocumentKind::Hosts }) {
                if (other->store->version(kind) > process.store->version(kind))
                    adopt(process, other->store->text(kind));
            }
        }
    };
    adoptNewestFrom(m_fronts);
    adoptNewestFrom(m_gateways);
    if (!process.store->version(DocumentKind::Configuration))
        return scheduleConfirmation(process);
    process.serving = true;
    if (Gateway* gateway = gatewayOf(process))
        gateway->engine->setServing(true, NotRunReason::None, m_clock.now());
}

void SimulatedCluster::refreshMembers()
{
    std::vector<MemberRecord> members;
    std::uint16_t port = 1;
    for (auto& [name, gateway] : m_gateways) {
        MemberRecord record(MemberName(name), MemberRole::Gateway, DataCentreName(gateway->dataCentre), Incarnation(gateway->incarnation));
        record.setEndpoints({ "127.0.0.1", port }, { "127.0.0.1", port }, { "127.0.0.1", port });
        ++port;
        if (gateway->alive)
            members.push_back(record);
    }
    for (auto& [name, front] : m_fronts)
        front->router->setMembers(members);
}

void SimulatedCluster::kill(Process& process)
{
    process.alive = false;
    process.deferred.clear();
    for (auto& [name, front] : m_fronts) {
        std::uint64_t connection = m_connections[{ name, process.name }];
        m_connections.erase({ name, process.name });
        Front* each = front.get();
        std::uint64_t incarnation = each->incarnation;
        scheduleAfter(networkDelay(), [this, each, incarnation, connection] { runOn(*each, incarnation, [this, each, connection] {
            std::vector<std::uint64_t> queries;
            for (auto& [query, run] : each->runs)
                queries.push_back(query);
            for (std::uint64_t query : queries)
                perform(*each, query, each->runs.at(query).query->handleConnectionLost(connection, m_clock.now())); }); });
    }
    scheduleAfter(Duration(static_cast<Duration::rep>(20000 + m_random.below(500000))), [this, &process] {
        if (Front* front = frontOf(process))
            startFront(*front);
        else
            startGateway(*gatewayOf(process));
        refreshMembers();
    });
}

void SimulatedCluster::pause(Process& process)
{
    process.paused = true;
    std::uint64_t incarnation = process.incarnation;
    scheduleAfter(Duration(static_cast<Duration::rep>(100000 + m_random.below(5000000))), [this, &process, incarnation] {
        if (!process.alive || process.incarnation != incarnation)
            return;
        process.paused = false;
        std::vector<Event> deferred;
        deferred.swap(process.deferred);
        for (Event& event : deferred)
            runOn(process, incarnation, std::move(event));
    });
}

} // namespace pimentopoint::test
