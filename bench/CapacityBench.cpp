/// \file
/// Measures slopes and prints docs/CAPACITY.md: bench/CapacityBench > docs/CAPACITY.md (or scripts/capacity).
#include "../standins/StandinTarget.h"
#include "Measure.h"

#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Platform>
#include <Pimentopoint/Target>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>

using namespace pimentopoint;
using namespace pimentopoint::bench;
using namespace std::chrono_literals;

namespace {

// The size to design for, from the users' letter.
constexpr double nodes = 750;
constexpr double servers = 3100;
constexpr double queriesPerSecond = 150000;
constexpr double shardsPerQuery = 250;
constexpr double subQueriesPerSecond = queriesPerSecond * shardsPerQuery;
constexpr double dataCentres = 7;
constexpr double changesPerDay = 440;
constexpr double eventsPerDay = 1100 + 15;
constexpr double secondsPerDay = 86400;
constexpr double allowedCore = 0.043;
constexpr double allowedMegabytes = 32;
constexpr double allowedBytesPerSecond = 3 * 1024;
constexpr double allowedSecondsInForce = 11;
constexpr double allowedReadsPerSecond = 2000;
constexpr double millisecondsForQuery = 59;
// What the page assumes of a node and of a target of today's largest kinds.
constexpr double coresPerNode = 8;
constexpr std::size_t gatewaysInDataCentre = 107; // Every node runs a front and a gateway.
constexpr double slotsPerTarget = 6;
constexpr double connectionsPerTarget = 50;

std::string dataCentreName(std::size_t index) { return "dc" + std::to_string(index % static_cast<std::size_t>(dataCentres)); }

std::string configurationOf(std::size_t targetCount, std::uint64_t version, std::size_t gatewaysPerDataCentre, bool moved = false)
{
    ConfigurationBuilder builder { ConfigurationVersion(version) };
    for (std::size_t i = 0; i < static_cast<std::size_t>(dataCentres); ++i) {
        DataCentre dataCentre { DataCentreName(dataCentreName(i)), "region" + std::to_string(i % 3) };
        for (std::size_t gateway = 0; gateway < gatewaysPerDataCentre; ++gateway)
            dataCentre.addGateway(MemberName("gateway-" + std::to_string(i) + "-" + std::to_string(gateway)));
        builder.addDataCentre(dataCentre);
    }
    builder.addTargetSet(TargetSet("servers").setSlots(6).setConnections(50).setConnectTime(6ms).setColdLimit(2));
    std::vector<std::vector<std::string>> shards(targetCount / 3);
    for (std::size_t i = 0; i < targetCount; ++i) {
        std::string name = "server-" + std::to_string(i);
        bool changed = moved && i == targetCount / 2;
        builder.addTarget(name, Endpoint("10." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256) + (changed ? ".9" : ".1"), 8080), dataCentreName(i));
        if (i / 3 < shards.size())
            shards[i / 3].push_back(name);
    }
    std::size_t shard = 0;
    std::size_t group = 0;
    while (shard < shards.size()) {
        std::size_t count = std::min<std::size_t>(250, shards.size() - shard);
        std::string name = "index-" + std::to_string(group++);
        builder.addShardGroup(name, SnapshotVersion(1), { shards.begin() + static_cast<std::ptrdiff_t>(shard), shards.begin() + static_cast<std::ptrdiff_t>(shard + count) });
        builder.addSearchFront(name + "-front", name, [](SearchFront& front) { front.setDeadline(59ms).setLatencyObjective(59ms); });
        shard += count;
    }
    return builder.print();
}

void row(const std::vector<std::string>& cells)
{
    std::cout << "|";
    for (const std::string& cell : cells)
        std::cout << " " << cell << " |";
    std::cout << "\n";
}

// ---------------------------------------------------------------- membership

/// Members over an in-memory wire on a manual clock; every datagram arrives at once.
class Members {
public:
    explicit Members(std::size_t count)
    {
        std::vector<MemberRecord> records;
        for (std::size_t i = 0; i < count; ++i)
            records.push_back(record(i, 1));
        HeapUse before = heapUse();
        for (std::size_t i = 0; i < count; ++i) {
            m_members.push_back(std::make_unique<Membership>(records[i], std::vector<Endpoint> { endpointOf(0), endpointOf(1) }, MembershipTiming(), i + 1));
            m_members.back()->merge(records, m_clock.now());
        }
        bytesPerMember = static_cast<double>(heapUse().bytes - before.bytes) / static_cast<double>(count);
        adopted.resize(count);
        m_down.resize(count);
        settle(10s);
    }
    static Endpoint endpointOf(std::size_t index) { return { "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200), 7000 }; }
    static MemberRecord record(std::size_t index, std::uint64_t incarnation)
    {
        MemberRecord member(MemberName("member-" + std::to_string(index)), index % 2 ? MemberRole::Front : MemberRole::Gateway, DataCentreName(dataCentreName(index)),
            Incarnation(1796362954884909 + incarnation));
        Endpoint endpoint = endpointOf(index);
        return member.setEndpoints(endpoint, { endpoint.address(), 7001 }, { endpoint.address(), 7002 });
    }
    void step(Duration duration)
    {
        constexpr Duration tick = 50ms;
        for (Duration passed(0); passed < duration; passed += tick) {
            m_clock.advance(tick);
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                if (!m_down[i])
                    carry(i, m_members[i]->tick(m_clock.now()));
            }
            adoptDue();
        }
    }
    void restart(std::size_t index)
    {
        m_members[index] = std::make_unique<Membership>(record(index, ++m_incarnation), std::vector<Endpoint> { endpointOf(0), endpointOf(1) }, MembershipTiming(), index);
        m_members[index]->merge(m_members[0]->members(), m_clock.now());
    }
    void setVersion(std::size_t index, std::uint64_t version)
    {
        adopted[index] = m_clock.now();
        carry(index, m_members[index]->setVersions({ ConfigurationVersion(version), Digest(version), HostListVersion(1), Digest(1) }, m_clock.now()));
    }
    Instant now() const { return m_clock.now(); }

    double bytesPerMember = 0;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
    std::vector<Instant> adopted;

private:
    void settle(Duration duration)
    {
        step(duration);
        bytes = 0;
        datagrams = 0;
    }
    void carry(std::size_t from, const MembershipActions& actions)
    {
        if (actions.newerDocumentsAt) {
            std::size_t at = indexOf(actions.newerDocumentsAt->udp());
            std::uint64_t version = m_members[at]->versions().configuration().value();
            m_due.emplace(m_clock.now() + fetchTime, std::pair(from, version));
        }
        for (const MembershipActions::Datagram& datagram : actions.datagrams) {
            bytes += datagram.bytes.size() + udpOverheadBytes;
            ++datagrams;
            std::size_t to = indexOf(datagram.destination);
            if (to < m_members.size() && !m_down[to])
                carry(to, m_members[to]->receive(datagram.bytes, endpointOf(from), m_clock.now()));
        }
    }
    static std::size_t indexOf(const Endpoint& endpoint)
    {
        std::size_t third = endpoint.address().find('.', 5);
        return std::stoul(endpoint.address().substr(5, third - 5)) * 200 + std::stoul(endpoint.address().substr(third + 1));
    }
    void adoptDue()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_clock.now()) {
            auto [index, version] = m_due.begin()->second;
            m_due.erase(m_due.begin());
            if (m_members[index]->versions().configuration().value() < version)
                setVersion(index, version);
        }
    }

    static constexpr Duration fetchTime = 150ms; // A request, the reply and the reading of a document.
    static constexpr std::uint64_t udpOverheadBytes = 28;
    ManualClock m_clock;
    std::vector<std::unique_ptr<Membership>> m_members;
    std::vector<bool> m_down;
    std::multimap<Instant, std::pair<std::size_t, std::uint64_t>> m_due;
    std::uint64_t m_incarnation = 1;
};

struct MembershipFigures {
    Line bytesPerSecond;
    Line coreShare;
    Line heapBytes;
    Line bytesPerEvent;
    Line secondsInForce;
    Line versionBytes;
};

MembershipFigures measureMembership()
{
    MembershipFigures figures;
    std::cout << "### Membership\n\nMembers over an in-memory wire on a manual clock, bytes with 28 of UDP and IP, sent plus received.\n\n";
    row({ "members", "bytes/s idle", "core idle", "heap KB", "bytes per restart", "bytes per change", "s until the last has a change" });
    row({ "---", "---", "---", "---", "---", "---", "---" });
    for (std::size_t count : { 50U, 200U, 400U, 750U }) {
        Members members(count);
        constexpr double seconds = 20;
        double cpu = threadSeconds();
        members.step(20s);
        double core = (threadSeconds() - cpu) / seconds / static_cast<double>(count);
        double idle = 2.0 * static_cast<double>(members.bytes) / seconds / static_cast<double>(count);
        members.bytes = 0;
        constexpr std::size_t restarts = 4;
        for (std::size_t i = 0; i < restarts; ++i) {
            members.restart(10 + i);
            members.step(10s);
        }
        double perEvent = (2.0 * static_cast<double>(members.bytes) / static_cast<double>(count) - idle * 40) / restarts;
        members.step(20s);
        members.bytes = 0;
        Instant published = members.now();
        for (std::size_t dataCentre = 0; dataCentre < static_cast<std::size_t>(dataCentres); ++dataCentre)
            members.setVersion(dataCentre, 7);
        members.step(10s);
        double perChange = 2.0 * static_cast<double>(members.bytes) / static_cast<double>(count) - idle * 10;
        Duration slowest(0);
        for (Instant adopted : members.adopted)
            slowest = std::max(slowest, adopted - published);
        double inForce = static_cast<double>(slowest.count()) * 1e-6;
        double size = static_cast<double>(count);
        figures.bytesPerSecond.add(size, idle);
        figures.coreShare.add(size, core);
        figures.heapBytes.add(size, members.bytesPerMember);
        figures.bytesPerEvent.add(size, std::max(perEvent, 0.0));
        figures.versionBytes.add(size, std::max(perChange, 0.0));
        figures.secondsInForce.add(size, inForce);
        row({ std::to_string(count), number(idle, 0), number(core * 100, 4) + "%", number(members.bytesPerMember / 1024), number(perEvent, 0), number(perChange, 0), number(inForce, 2) });
    }
    row({ "residual", number(figures.bytesPerSecond.residual() * 100, 0) + "%", number(figures.coreShare.residual() * 100, 0) + "%", number(figures.heapBytes.residual() * 100, 0) + "%",
        number(figures.bytesPerEvent.residual() * 100, 0) + "%", number(figures.versionBytes.residual() * 100, 0) + "%", number(figures.secondsInForce.residual() * 100, 0) + "%" });
    std::cout << "\n";
    return figures;
}

// ---------------------------------------------------------------- documents

struct DocumentFigures {
    Line documentBytes;
    Line readSeconds;
    Line heapBytes;
    Line transferBytes;
    Line shareSeconds;
};

DocumentFigures measureDocuments()
{
    DocumentFigures figures;
    std::cout << "### Configuration\n\nOne document with targets in threes as shards, 250 shards a group, 107 gateways a data centre.\n\n";
    row({ "targets", "document KB", "read ms", "heap KB", "KB sent per change", "shares ms" });
    row({ "---", "---", "---", "---", "---", "---" });
    for (std::size_t targets : { 300U, 1000U, 2000U, 3100U }) {
        std::string text = configurationOf(targets, 1, gatewaysInDataCentre);
        HeapUse heapBefore = heapUse();
        double cpu = threadSeconds();
        ConfigurationPointer configuration = readConfiguration(text);
        double read = threadSeconds() - cpu;
        double heap = static_cast<double>(heapUse().bytes - heapBefore.bytes) + static_cast<double>(text.size());
        cpu = threadSeconds();
        ShareTable shares(*configuration);
        double share = threadSeconds() - cpu;
        DocumentStore behind;
        DocumentStore ahead;
        behind.offer(DocumentKind::Configuration, text);
        ahead.offer(DocumentKind::Configuration, configurationOf(targets, 2, gatewaysInDataCentre, true));
        DocumentRequest request = behind.request(DocumentKind::Configuration);
        double transfer = static_cast<double>(encodeFrame(request).size() + encodeFrame(ahead.reply(request)).size());
        double size = static_cast<double>(targets);
        figures.documentBytes.add(size, static_cast<double>(text.size()));
        figures.readSeconds.add(size, read);
        figures.heapBytes.add(size, heap);
        figures.transferBytes.add(size, transfer);
        figures.shareSeconds.add(size, share);
        row({ std::to_string(targets), number(static_cast<double>(text.size()) / 1024), number(read * 1e3), number(heap / 1024), number(transfer / 1024), number(share * 1e3) });
    }
    row({ "residual", number(figures.documentBytes.residual() * 100, 0) + "%", number(figures.readSeconds.residual() * 100, 0) + "%", number(figures.heapBytes.residual() * 100, 0) + "%",
        number(figures.transferBytes.residual() * 100, 0) + "%", number(figures.shareSeconds.residual() * 100, 0) + "%" });
    std::cout << "\n";
    return figures;
}

// ---------------------------------------------------------------- sub-queries

struct SubQueryFigures {
    Line batchBytes;
    Line replyBytes;
    Line frontSeconds;
    Line gatewaySeconds;
    double exchangeSeconds = 0;
    double laneBytes = 0;
    double boardBytes = 0;
    double frontAllocations = 0;
    double ticketBytes = 0;
};

SearchBatch batchOf(std::size_t size)
{
    SearchBatch batch;
    batch.versions = { ConfigurationVersion(440), Digest(0x1234567812345678), HostListVersion(900), Digest(0x1234567812345678) };
    batch.sender = Incarnation(1796362954884909);
    batch.remaining = 55000;
    batch.snapshot = SnapshotVersion(12);
    batch.text = "copper pan 12, tinned, 28 cm";
    for (std::size_t i = 0; i < size; ++i)
        batch.parts.push_back({ 123456789012ULL + i, TargetId(0x9234567812345678ULL + i), KeyRange(i * 17179869, (i + 1) * 17179869), {} });
    return batch;
}

ReplyBatch repliesTo(const SearchBatch& batch)
{
    ReplyBatch replies { batch.versions, batch.sender, {} };
    for (const SubQuery& sub : batch.parts) {
        SubReply reply;
        reply.attempt = sub.attempt;
        reply.outcome = Outcome::Answered;
        reply.reachedTarget = true;
        reply.snapshot = batch.snapshot;
        reply.covered = { sub.range };
        reply.hits = R"([{"key":12345,"score":0.5,"pan":"copper 28"}])";
        reply.warmth = { Incarnation(1796362954884000), 4800 };
        replies.replies.push_back(std::move(reply));
    }
    return replies;
}

void measureWire(SubQueryFigures& figures)
{
    std::cout << "### Frames between front and gateway\n\nOne hit of 46 bytes a sub-query.\n\n";
    row({ "sub-queries in the batch", "batch bytes", "reply bytes", "bytes per sub-query, both ways" });
    row({ "---", "---", "---", "---" });
    for (std::size_t size : { 1U, 4U, 16U, 64U }) {
        SearchBatch batch = batchOf(size);
        double sent = static_cast<double>(encodeFrame(batch).size());
        double received = static_cast<double>(encodeFrame(repliesTo(batch)).size());
        figures.batchBytes.add(static_cast<double>(size), sent);
        figures.replyBytes.add(static_cast<double>(size), received);
        row({ std::to_string(size), number(sent, 0), number(received, 0), number((sent + received) / static_cast<double>(size)) });
    }
    row({ "residual", number(figures.batchBytes.residual() * 100, 1) + "%", number(figures.replyBytes.residual() * 100, 1) + "%", "" });
    std::cout << "\n";
}

void measureFront(SubQueryFigures& figures)
{
    ConfigurationPointer configuration = readConfiguration(configurationOf(3100, 1, gatewaysInDataCentre));
    std::vector<MemberRecord> gateways;
    for (const DataCentre& dataCentre : configuration->dataCentres()) {
        for (const MemberName& name : dataCentre.gateways()) {
            MemberRecord record(name, MemberRole::Gateway, dataCentre.name(), Incarnation(1));
            std::uint16_t port = static_cast<std::uint16_t>(1000 + gateways.size());
            gateways.push_back(record.setEndpoints({ "10.0.0.1", port }, { "10.0.0.1", port }, { "10.0.0.1", port }));
        }
    }
    std::cout << "### Front, processor time of the decisions with the coding of frames\n\nQueries of 250 shards over 3,100 targets and 749 gateways, every reply in time.\n\n";
    row({ "sub-queries answered", "core s", "us per sub-query", "allocations per sub-query" });
    row({ "---", "---", "---", "---" });
    ManualClock clock;
    HeapUse boardBefore = heapUse();
    TargetBoard board(DataCentreName("dc0"), clock, 1);
    board.setMembers(gateways);
    ExtraSendBudget budget;
    LatencyWindow latencies(0.95);
    PinnedDocuments documents { configuration, nullptr };
    std::uint64_t query = 0;
    for (std::size_t queries : { 100U, 200U, 400U }) {
        HeapUse heapBefore = heapUse();
        double cpu = threadSeconds();
        for (std::size_t i = 0; i < queries; ++i) {
            QueryRun run(QueryEnvironment { board, budget, latencies, [&] { return documents; } }, documents, SearchFrontName("index-0-front"), ++query << 16, clock.now(), clock.now() + 59ms);
            RunActions actions = run.begin(clock.now());
            std::map<Endpoint, SearchBatch> batches;
            for (const RunActions::Send& send : actions.sends)
                batches[send.route.endpoint].parts.push_back(send.sub);
            clock.advance(5ms);
            for (auto& [endpoint, batch] : batches) {
                std::string frame = encodeFrame(batch);
                ReplyBatch replies = repliesTo(batch);
                for (SubReply& reply : replies.replies)
                    reply.snapshot = run.snapshot();
                std::string coded = encodeFrame(replies);
                for (const SubReply& reply : Frame::parse(coded.substr(frameLengthBytes)).decode<ReplyBatch>().replies)
                    run.replied(reply, clock.now());
            }
            if (run.answer().outcome != Outcome::Answered)
                std::cerr << "a query was not answered whole\n";
        }
        double seconds = threadSeconds() - cpu;
        double answered = static_cast<double>(queries) * shardsPerQuery;
        figures.frontSeconds.add(answered, seconds);
        figures.frontAllocations = static_cast<double>(heapUse().allocations - heapBefore.allocations) / answered;
        row({ number(answered, 0), number(seconds, 3), number(seconds / answered * 1e6, 2), number(figures.frontAllocations) });
    }
    row({ "residual", number(figures.frontSeconds.residual() * 100, 0) + "%", "", "" });
    figures.boardBytes = static_cast<double>(heapUse().bytes - boardBefore.bytes);
    std::cout << "\n";
}

void measureGateway(SubQueryFigures& figures)
{
    constexpr std::size_t targets = 60;
    ConfigurationPointer configuration = readConfiguration(configurationOf(targets * 7, 1, 1));
    ManualClock clock;
    std::vector<Dispatch> dispatched;
    std::uint64_t answered = 0;
    GatewayEngine::Hooks hooks;
    hooks.dispatch = [&](const Dispatch& dispatch) { dispatched.push_back(dispatch); };
    hooks.cancel = [](TargetId, const AttemptId&) {};
    hooks.reply = [&](const AttemptId&, const SubReply& reply) { answered += reply.outcome == Outcome::Answered; };
    hooks.paused = [] {};
    HeapUse before = heapUse();
    GatewayEngine engine(MemberName("gateway-0-0"), DataCentreName("dc0"), hooks, clock.now());
    engine.setDocuments({ configuration, nullptr, {} }, clock.now());
    engine.setServing(true, NotRunReason::None, clock.now());
    figures.laneBytes = static_cast<double>(heapUse().bytes - before.bytes) / targets;
    std::vector<const Target*> own;
    for (const Target& target : configuration->targets()) {
        if (target.dataCentre() == DataCentreName("dc0"))
            own.push_back(&target);
    }
    for (int i = 0; i < 20; ++i) {
        clock.advance(100ms);
        engine.tick(clock.now());
    }
    std::cout << "### Gateway, processor time of the decisions with the coding of frames and of the bodies for targets\n\n";
    row({ "sub-queries answered", "core s", "us per sub-query" });
    row({ "---", "---", "---" });
    std::uint64_t number64 = 0;
    for (std::size_t rounds : { 300U, 600U, 1200U }) {
        std::uint64_t answeredBefore = answered;
        double cpu = threadSeconds();
        for (std::size_t i = 0; i < rounds; ++i) {
            SearchBatch batch = batchOf(0);
            batch.snapshot = SnapshotVersion(1);
            for (const Target* target : own)
                batch.parts.push_back({ ++number64, target->id(), KeyRange(0, 17179869), {} });
            engine.submit(Frame::parse(encodeFrame(batch).substr(frameLengthBytes)).decode<SearchBatch>(), clock.now());
            clock.advance(5ms);
            std::vector<Dispatch> sent;
            sent.swap(dispatched);
            for (const Dispatch& dispatch : sent) {
                std::string request = searchBody(dispatch);
                std::string body = "{\"attempt\":\"" + dispatch.attempt.text()
                    + R"(","incarnation":7,"snapshot":1,"covered":[[0,17179869]],"hits":[{"key":12345,"score":0.5,"pan":"copper 28"}]})";
                ExchangeResult result;
                result.attempt = dispatch.attempt;
                result.target = dispatch.target;
                result.end = readTargetReply(dispatch, 200, body, result.reply);
                engine.complete(result, clock.now());
            }
        }
        double seconds = threadSeconds() - cpu;
        double count = static_cast<double>(answered - answeredBefore);
        figures.gatewaySeconds.add(count, seconds);
        row({ number(count, 0), number(seconds, 3), number(seconds / count * 1e6, 2) });
    }
    row({ "residual", number(figures.gatewaySeconds.residual() * 100, 0) + "%", "" });
    std::cout << "\n";
}

void measureExchange(SubQueryFigures& figures)
{
    standins::TargetBehaviour behaviour;
    behaviour.slots = 64;
    behaviour.shedAt = 256;
    behaviour.service = Duration(200);
    Endpoint endpoint("127.0.0.1", 26999);
    standins::StandinTarget target(endpoint, behaviour, 64);
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t done = 0;
    double cpuStart = 0;
    double cpuEnd = 0;
    constexpr std::size_t warmUp = 2000;
    constexpr std::size_t count = 40000;
    constexpr std::size_t window = 32;
    std::unique_ptr<TargetClient> client;
    auto send = [&](std::size_t number64) { client->dispatch({ AttemptId(Incarnation(1), number64), TargetId(1), endpoint, KeyRange(0, 10), SnapshotVersion(1), 5s, 5s, "copper pan" }); };
    client = std::make_unique<TargetClient>([&](const ExchangeResult&) {
        std::lock_guard lock(mutex);
        ++done;
        if (done == warmUp)
            cpuStart = threadSeconds();
        if (done == warmUp + count) {
            cpuEnd = threadSeconds();
            changed.notify_all();
        }
        if (done + window <= warmUp + count)
            send(done + window);
    });
    for (std::size_t i = 1; i <= window; ++i)
        send(i);
    std::unique_lock lock(mutex);
    changed.wait_for(lock, 60s, [&] { return done >= warmUp + count; });
    lock.unlock();
    figures.exchangeSeconds = (cpuEnd - cpuStart) / count;
    std::cout << "### Exchange with a target\n\n"
              << count << " exchanges over " << window << " connections on the client's one thread: "
              << number(figures.exchangeSeconds * 1e6) << " us of processor time each, " << number(1 / figures.exchangeSeconds / 1000) << " thousand a second and core.\n\n";
    client->stop();
}

void measureTickets(SubQueryFigures& figures)
{
    ManualClock clock;
    TicketLedger ledger(1min, 100000);
    HeapUse before = heapUse();
    constexpr int count = 50000;
    for (int i = 0; i < count; ++i)
        ledger.claim(*ledger.issue(clock.now()), Digest(1), clock.now());
    figures.ticketBytes = static_cast<double>(heapUse().bytes - before.bytes) / count;
}

// ---------------------------------------------------------------- platform

double measurePlatform()
{
    std::cout << "### Reads from the platform\n\n";
    row({ "processes", "reads in the busiest second of a common start during an outage", "reads/s after it" });
    row({ "---", "---", "---" });
    double steady = 0;
    for (std::size_t count : { 50U, 200U, 750U }) {
        ManualClock clock;
        std::vector<PlatformWatch> watches;
        for (std::size_t i = 0; i < count; ++i)
            watches.emplace_back(PlatformTiming(), i, clock.now());
        std::size_t most = 0;
        std::size_t after = 0;
        for (int second = 0; second < 180; ++second) {
            std::size_t reads = 0;
            for (int part = 0; part < 10; ++part) {
                clock.advance(100ms);
                for (std::size_t i = 0; i < count; ++i) {
                    bool watcher = i < 2 * static_cast<std::size_t>(dataCentres);
                    for (const PlatformRead& read : watches[i].begin(clock.now(), watcher)) {
                        ++reads;
                        watches[i].finish(read.kind, second < 60 ? PlatformWatch::Result::Failed : PlatformWatch::Result::Unchanged, clock.now() + read.wait, watcher);
                    }
                }
            }
            most = std::max(most, reads);
            after += second >= 120 ? reads : 0;
        }
        steady = static_cast<double>(after) / 60;
        row({ std::to_string(count), std::to_string(most), number(steady) });
    }
    std::cout << "\n";
    return steady;
}

std::string verdict(bool holds) { return holds ? "holds" : "**does not**"; }

std::string margin(double derived, double allowed) { return number(allowed / std::max(derived, 1e-9), 1) + "x"; }

} // namespace

int main()
{
    std::cout << "<!-- Printed by bench/CapacityBench through scripts/capacity; edit the bench, not this page. -->\n"
              << "# Capacity\n\n"
              << "What today's design needs at the size to design for: 750 nodes, 3,100 servers, 150,000 queries a second to 250 servers each\n"
              << "(37.5 million sub-queries a second), 59 ms for 99 in 100, 3 regions, 7 data centres, 440 changes a day in force within 11 s, control\n"
              << "at most 4.3% of a core, 32 MB and 3 KB/s per node. Every figure is worked out from the slopes below, measured on one machine of 8\n"
              << "cores in the run that printed this page. The tables at the end of the page hold the verdicts.\n\n"
              << "A residual is the largest deviation from the fitted line over the largest value: the noise of its column.\n\n## Measured slopes\n\n";
    MembershipFigures membership = measureMembership();
    DocumentFigures documents = measureDocuments();
    SubQueryFigures sub;
    measureWire(sub);
    measureFront(sub);
    measureGateway(sub);
    measureExchange(sub);
    measureTickets(sub);
    double reads = measurePlatform();

    double perNode = subQueriesPerSecond / nodes;
    double frontMicroseconds = sub.frontSeconds.slope() * 1e6;
    double gatewayMicroseconds = sub.gatewaySeconds.slope() * 1e6 + sub.exchangeSeconds * 1e6;
    double gateways = nodes;
    double exchangesPerThread = 1 / sub.exchangeSeconds;
    double gatewaysPerDataCentre = gateways / dataCentres;
    double serversPerDataCentre = servers / dataCentres;
    // A home data centre holds one of three replicas of a shard for 7 data centres in 3 of 7 cases; the rest is asked next door.
    double gatewaysPerQuery = std::min(shardsPerQuery, gatewaysPerDataCentre * 3);
    double batchSize = shardsPerQuery / gatewaysPerQuery;
    double wireBytes = (sub.batchBytes.at(batchSize) + sub.replyBytes.at(batchSize)) / batchSize;
    double cores = perNode * (frontMicroseconds + gatewayMicroseconds) * 1e-6;
    double carried = coresPerNode / ((frontMicroseconds + gatewayMicroseconds) * 1e-6) * nodes / shardsPerQuery;
    double eventRate = eventsPerDay / secondsPerDay;
    double changeRate = changesPerDay / secondsPerDay;
    double bytes = membership.bytesPerSecond.at(nodes) + membership.bytesPerEvent.at(nodes) * eventRate
        + (documents.transferBytes.at(servers) * 2 + membership.versionBytes.at(nodes)) * changeRate;
    double core = membership.coreShare.at(nodes) + (documents.readSeconds.at(servers) + documents.shareSeconds.at(servers)) * changeRate;
    double heap = membership.heapBytes.at(nodes) + 2 * documents.heapBytes.at(servers);
    double targetRate = subQueriesPerSecond / servers;
    double serviceMilliseconds = slotsPerTarget / targetRate * 1000;
    double subQueryTail = (1 - std::pow(0.99, 1 / shardsPerQuery)) * 1e6;

    std::cout << "## Control, per node at 750 nodes\n\n";
    row({ "requirement", "derived", "allowed", "from", "margin", "verdict", "carried by" });
    row({ "---", "---", "---", "---", "---", "---", "---" });
    row({ "bytes a second, sent plus received", number(bytes, 0), number(allowedBytesPerSecond, 0), "probes + restarts + document pieces", margin(bytes, allowedBytesPerSecond), verdict(bytes <= allowedBytesPerSecond), "Membership (bounded probes and news), DocumentPieces" });
    row({ "share of a core", number(core * 100, 3) + "%", "4.3%", "membership + reading a change", margin(core, allowedCore), verdict(core <= allowedCore), "Membership, ConfigurationReader, ShareTable" });
    row({ "heap, MB", number(heap / 1048576, 2), "32", "records + two configurations", margin(heap / 1048576, allowedMegabytes), verdict(heap / 1048576 <= allowedMegabytes), "MemberRecord, Configuration" });
    row({ "seconds until a change is in force", number(membership.secondsInForce.at(nodes), 2), "11", "spread over the wire, watch held open", margin(membership.secondsInForce.at(nodes), allowedSecondsInForce), verdict(membership.secondsInForce.at(nodes) <= allowedSecondsInForce), "two watchers a data centre, Notice, Probe" });
    row({ "reads of the platform a second, all nodes", number(reads), "2000", "14 watchers + slow reads", margin(reads, allowedReadsPerSecond), verdict(reads <= allowedReadsPerSecond), "PlatformWatch" });
    row({ "configuration document, KB", number(documents.documentBytes.at(servers) / 1024, 0), "1024", "bytes per target", margin(documents.documentBytes.at(servers) / 1024, 1024), verdict(documents.documentBytes.at(servers) < 1048576), "ConfigurationText" });
    std::cout << "\n## Data, at 150,000 queries a second\n\n";
    row({ "requirement", "derived", "allowed", "from", "margin", "verdict" });
    row({ "---", "---", "---", "---", "---", "---" });
    row({ "sub-queries a second and node", number(perNode, 0), "", "37.5 million / 750", "", "" });
    row({ "front, us of a core per sub-query", number(frontMicroseconds, 2), "", "slope", "", "" });
    row({ "gateway with exchange, us of a core per sub-query", number(gatewayMicroseconds, 2), "", "slopes", "", "" });
    row({ "cores a node, both roles", number(cores), number(coresPerNode, 0), "sum x rate", margin(cores, coresPerNode), verdict(cores <= coresPerNode) });
    row({ "queries a second that 750 nodes of 8 cores carry", number(carried, 0), number(queriesPerSecond, 0), "8 cores / sum", number(carried / queriesPerSecond, 2) + "x", verdict(carried >= queriesPerSecond) });
    row({ "exchanges a second of a gateway's one client thread", number(exchangesPerThread, 0), number(perNode, 0), "slope", number(exchangesPerThread / perNode, 2) + "x", verdict(exchangesPerThread >= perNode) });
    row({ "queries a second at which that thread is full", number(exchangesPerThread * nodes / shardsPerQuery, 0), number(queriesPerSecond, 0), "thread x 750 / 250", number(exchangesPerThread * nodes / shardsPerQuery / queriesPerSecond, 2) + "x", verdict(exchangesPerThread * nodes / shardsPerQuery >= queriesPerSecond) });
    row({ "gateways that one query meets", number(gatewaysPerQuery, 0), "", "3 data centres' gateways, at most one a shard", "", "" });
    row({ "sub-queries in a batch", number(batchSize, 2), "", "250 / gateways met", "", "" });
    row({ "bytes per sub-query between processes", number(wireBytes, 0), "", "line at the batch size", "", "" });
    row({ "Mbit/s a node between processes", number(wireBytes * perNode * 2 * 8 / 1e6, 0), "not stated", "both roles", "", "not measured" });
    row({ "TCP connections a front holds", number(gateways, 0), "", "one a gateway", "", "" });
    row({ "connections at a target, per owner", number(slotsPerTarget / 2, 0) + " of " + number(connectionsPerTarget / 2, 0), "", "share of slots", "", "holds" });
    row({ "targets a gateway owns", number(2 * serversPerDataCentre / gatewaysPerDataCentre, 0), "", "two owners a target", "", "" });
    row({ "sub-queries a second at one target", number(targetRate, 0), "", "37.5 million / 3,100", "", "" });
    row({ "service time that 6 slots allow, ms", number(serviceMilliseconds, 2), "", "slots / rate", "", "the servers' side" });
    row({ "sub-queries that may be later than 59 ms, per million", number(subQueryTail, 0), "", "1 - 0.99^(1/250)", "", "not measured at size" });
    row({ "lane, KB a target at its gateway", number(sub.laneBytes / 1024), "", "heap", "", "" });
    row({ "board of a front for 3,100 targets, MB", number(sub.boardBytes / 1048576, 2), "", "heap", "", "" });
    row({ "bytes a ticket", number(sub.ticketBytes, 0), "", "heap", "", "" });
    std::cout << "\n## Roles\n\n";
    row({ "role", "state", "messages", "processor time", "memory" });
    row({ "---", "---", "---", "---", "---" });
    row({ "front", "memo a target, a run a query, tickets for 2 min", "batches to " + number(gatewaysPerQuery, 0) + " gateways a query", number(perNode * frontMicroseconds * 1e-6) + " cores", number(sub.boardBytes / 1048576, 2) + " MB + " + number(sub.ticketBytes, 0) + " B a ticket" });
    row({ "gateway", "lane a target owned", "replies, exchanges", number(perNode * gatewayMicroseconds * 1e-6) + " cores", number(2 * serversPerDataCentre / gatewaysPerDataCentre * sub.laneBytes / 1024, 0) + " KB" });
    row({ "watcher", "the documents", "2 watches, renewed every 2 s", "as a member", "as a member" });
    row({ "member", "a record a member", "1 probe a second, news of changes", number(core * 100, 3) + "% of a core", number(heap / 1048576, 2) + " MB" });
    std::cout << "\n## Bursts\n\n"
              << "- 750 nodes find the platform again: see the reads in the busiest second above; later reads are spread over 30 s and watchers' retries over 4 s.\n"
              << "- A rack of 20 nodes gone: 20 records change; at " << number(membership.bytesPerEvent.at(nodes), 0) << " bytes a change and node over the spread of some 10 s this adds "
              << number(20 * membership.bytesPerEvent.at(nodes) / 10, 0) << " bytes/s a node for that time.\n"
              << "- A data centre out and back: one change of configuration each way, with its distribution above; no share moves, since shares are fixed among the gateways of a data centre.\n"
              << "- A region cut: some 250 to 320 records become dead on each side within 5 to 6 s; news is bounded to 900 bytes a datagram, so it spreads at the bounded rate and the rest waits. Healed, each side probes one dead member every 5 s and a member; measured for 8 members (test/MembershipTest), not at size.\n"
              << "- A rolling restart of 750 nodes in an hour: 0.21 events a second, "
              << number(membership.bytesPerEvent.at(nodes) * 750 / 3600, 0) << " bytes/s a node; each gateway's targets start cold at the gateway, and hints from the fronts end that with the first usual reply.\n\n"
              << "## What breaks first, and what would carry it\n\n"
              << "1. Processor time of the data path. One node would need " << number(cores) << " of its 8 cores; 750 such nodes carry " << number(carried, 0)
              << " queries a second with the whole machine given to them. The largest part is the exchange with the target (" << number(sub.exchangeSeconds * 1e6)
              << " us on libcurl's one thread, which alone ends at " << number(1 / sub.exchangeSeconds / 1000) << " thousand a second and gateway against " << number(perNode, 0)
              << " needed). What would carry it: several client threads a gateway, each with its own targets; several sub-queries of one target in one request, which needs the targets' protocol to allow it.\n"
              << "2. Batches. With " << number(gatewaysPerDataCentre, 0) << " gateways a data centre a batch holds " << number(batchSize, 2)
              << " sub-queries, so most of a frame is its head. What would carry it: owners chosen so that the replicas of neighbouring shards share a gateway, and fewer, larger gateways.\n"
              << "3. The servers. 37.5 million sub-queries a second over 3,100 servers are " << number(targetRate, 0) << " a second each; with 6 slots each must be done in " << number(serviceMilliseconds, 2)
              << " ms. No design of the query tier changes that sum.\n"
              << "4. The tail. For 99 of 100 queries of 250 sub-queries within 59 ms, at most " << number(subQueryTail, 0) << " of a million sub-queries may be later. Hedges bring a share h of late ones to about h times their own; the bench measures that with one straggler in fifty, not at this size.\n\n"
              << "Not measured: loss and delay between regions, 750 real processes, network cards.\n";
    return 0;
}
