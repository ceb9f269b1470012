#include "DataSlopes.h"

#include "../../standins/StandinTarget.h"
#include "DesignSize.h"

#include <Pimentopoint/Caller>
#include <Pimentopoint/Operator>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Target>
#include <condition_variable>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace pimentopoint::bench {

using namespace std::chrono_literals;

namespace {

    SearchBatch makeBatch(std::size_t size)
    {
        SearchBatch batch;
        batch.versions = { ConfigurationVersion(440), Digest(0x1234567812345678), HostListVersion(900), Digest(0x1234567812345678) };
        batch.sender = Incarnation(1796362954884909);
        batch.remaining = 55000;
        batch.snapshot = SnapshotVersion(12);
        batch.text = "copper pan 12, tinned, 28 cm";
        for (std::size_t i = 0; i < size; ++i)
            batch.subQueries.push_back({ 123456789012ULL + i, TargetId(0x9234567812345678ULL + i), KeyRange(i * 17179869, (i + 1) * 17179869), {} });
        return batch;
    }

    ReplyBatch makeReplies(const SearchBatch& batch)
    {
        ReplyBatch replies { batch.versions, batch.sender, {} };
        for (const SubQuery& sub : batch.subQueries) {
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

} // namespace

void measureWire(SubQueryMeasurements& measurements)
{
    std::cout << "### Frames between front and gateway\n\nOne hit of 46 bytes per sub-query.\n\n";
    printRow({ "sub-queries in the batch", "batch bytes", "reply bytes", "bytes per sub-query, both ways" });
    printRow({ "---", "---", "---", "---" });
    for (std::size_t size : { 1U, 4U, 16U, 64U }) {
        SearchBatch batch = makeBatch(size);
        double sent = static_cast<double>(encodeFrame(batch).size());
        double received = static_cast<double>(encodeFrame(makeReplies(batch)).size());
        measurements.batchBytes.add(static_cast<double>(size), sent);
        measurements.replyBytes.add(static_cast<double>(size), received);
        printRow({ std::to_string(size), formatNumber(sent, 0), formatNumber(received, 0), formatNumber((sent + received) / static_cast<double>(size)) });
    }
    printRow({ "residual", formatNumber(measurements.batchBytes.residual() * 100, 1) + "%", formatNumber(measurements.replyBytes.residual() * 100, 1) + "%", "" });
    std::cout << "\n";
}

void measureFront(SubQueryMeasurements& measurements)
{
    ConfigurationPointer configuration = readConfiguration(makeConfiguration(3100, 1, gatewaysInDataCentre));
    std::vector<MemberRecord> gateways;
    for (const DataCentre& dataCentre : configuration->dataCentres()) {
        for (const MemberName& name : dataCentre.gateways()) {
            MemberRecord record(name, MemberRole::Gateway, dataCentre.name(), Incarnation(1));
            std::uint16_t port = static_cast<std::uint16_t>(1000 + gateways.size());
            gateways.push_back(record.setEndpoints({ "10.0.0.1", port }, { "10.0.0.1", port }, { "10.0.0.1", port }));
        }
    }
    std::cout << "### Front, processor time of the decisions with encoding and decoding of frames\n\nQueries of 250 shards over 3,100 targets and 749 gateways, every reply within the deadline.\n\n";
    printRow({ "sub-queries answered", "core s", "us per sub-query", "allocations per sub-query" });
    printRow({ "---", "---", "---", "---" });
    ManualClock clock;
    HeapUsage usageBeforeRouter = heapUsage();
    LeastLoadedRouter router(DataCentreName("dc0"), clock, 1);
    router.setMembers(gateways);
    ExtraAttemptBudget budget;
    LatencyWindow latencies(0.95);
    PinnedDocuments documents { configuration, nullptr };
    std::uint64_t query = 0;
    for (std::size_t queries : { 100U, 200U, 400U }) {
        HeapUsage heapBefore = heapUsage();
        double cpu = threadCpuSeconds();
        for (std::size_t i = 0; i < queries; ++i) {
            QueryRun run(QueryEnvironment { router, budget, latencies, [&] { return documents; } }, documents, SearchFrontName("index-0-front"), ++query << 16, clock.now(), clock.now() + 59ms);
            QueryActions actions = run.begin(clock.now());
            std::map<Endpoint, SearchBatch> batches;
            for (const QueryActions::Attempt& attempt : actions.attempts)
                batches[attempt.route.endpoint].subQueries.push_back(attempt.subQuery);
            clock.advance(5ms);
            for (auto& [endpoint, batch] : batches) {
                std::string frame = encodeFrame(batch);
                ReplyBatch replies = makeReplies(batch);
                for (SubReply& reply : replies.replies)
                    reply.snapshot = run.snapshot();
                std::string replyFrame = encodeFrame(replies);
                for (const SubReply& reply : Frame::parse(replyFrame.substr(frameLengthBytes)).decode<ReplyBatch>().replies)
                    run.handleReply(reply, clock.now());
            }
            if (run.answer().outcome != Outcome::Answered)
                std::cerr << "a query was not answered completely\n";
        }
        double seconds = threadCpuSeconds() - cpu;
        double answered = static_cast<double>(queries) * shardsPerQuery;
        measurements.frontSeconds.add(answered, seconds);
        measurements.frontAllocations = static_cast<double>(heapUsage().allocations - heapBefore.allocations) / answered;
        printRow({ formatNumber(answered, 0), formatNumber(seconds, 3), formatNumber(seconds / answered * 1e6, 2), formatNumber(measurements.frontAllocations) });
    }
    printRow({ "residual", formatNumber(measurements.frontSeconds.residual() * 100, 0) + "%", "", "" });
    measurements.routerBytes = static_cast<double>(heapUsage().bytes - usageBeforeRouter.bytes);
    std::cout << "\n";
}

void measureGateway(SubQueryMeasurements& measurements)
{
    constexpr std::size_t targets = 60;
    ConfigurationPointer configuration = readConfiguration(makeConfiguration(targets * 7, 1, 1));
    ManualClock clock;
    std::vector<Dispatch> dispatched;
    std::uint64_t answered = 0;
    GatewayEngine::Hooks hooks;
    hooks.dispatch = [&](const Dispatch& dispatch) { dispatched.push_back(dispatch); };
    hooks.cancel = [](TargetId, const AttemptId&) {};
    hooks.reply = [&](const AttemptId&, const SubReply& reply) { answered += reply.outcome == Outcome::Answered; };
    hooks.paused = [] {};
    HeapUsage before = heapUsage();
    GatewayEngine engine(MemberName("gateway-0-0"), DataCentreName("dc0"), hooks, clock.now());
    engine.setDocuments({ configuration, nullptr, {} }, clock.now());
    engine.setServing(true, NotRunReason::None, clock.now());
    measurements.admissionBytes = static_cast<double>(heapUsage().bytes - before.bytes) / targets;
    std::vector<const Target*> localTargets;
    for (const Target& target : configuration->targets()) {
        if (target.dataCentre() == DataCentreName("dc0"))
            localTargets.push_back(&target);
    }
    for (int i = 0; i < 20; ++i) {
        clock.advance(100ms);
        engine.tick(clock.now());
    }
    std::cout << "### Gateway, processor time of the decisions with encoding and decoding of frames and of target bodies\n\n";
    printRow({ "sub-queries answered", "core s", "us per sub-query" });
    printRow({ "---", "---", "---" });
    std::uint64_t lastAttempt = 0;
    for (std::size_t rounds : { 300U, 600U, 1200U }) {
        std::uint64_t answeredBefore = answered;
        double cpu = threadCpuSeconds();
        for (std::size_t i = 0; i < rounds; ++i) {
            SearchBatch batch = makeBatch(0);
            batch.snapshot = SnapshotVersion(1);
            for (const Target* target : localTargets)
                batch.subQueries.push_back({ ++lastAttempt, target->id(), KeyRange(0, 17179869), {} });
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
                result.outcome = parseTargetReply(dispatch, 200, body, result.reply);
                engine.handleResult(result, clock.now());
            }
        }
        double seconds = threadCpuSeconds() - cpu;
        double count = static_cast<double>(answered - answeredBefore);
        measurements.gatewaySeconds.add(count, seconds);
        printRow({ formatNumber(count, 0), formatNumber(seconds, 3), formatNumber(seconds / count * 1e6, 2) });
    }
    printRow({ "residual", formatNumber(measurements.gatewaySeconds.residual() * 100, 0) + "%", "" });
    std::cout << "\n";
}

namespace {

    /// \returns the exchanges per second with \a clients client threads; sets \a coreSecondsEach to the processor time of one exchange
    double exchangesPerSecond(unsigned clients, double& coreSecondsEach)
    {
        constexpr std::size_t targetCount = 8;
        constexpr std::size_t window = 8;
        constexpr std::size_t warmUp = 4000;
        constexpr std::size_t count = 60000;
        constexpr std::uint16_t firstPort = 26900;
        standins::TargetBehaviour behaviour;
        behaviour.slots = 64;
        behaviour.shedThreshold = 256;
        behaviour.serviceTime = Duration(200);
        std::vector<std::unique_ptr<standins::StandinTarget>> targets;
        for (std::size_t i = 0; i < targetCount; ++i)
            targets.push_back(std::make_unique<standins::StandinTarget>(Endpoint("127.0.0.1", static_cast<std::uint16_t>(firstPort + i)), behaviour, 16));
        std::mutex mutex;
        std::condition_variable changed;
        std::size_t done = 0;
        std::map<std::thread::id, std::pair<double, double>> core; // First and last reading of the processor time of each client thread.
        std::chrono::steady_clock::time_point begin;
        std::chrono::steady_clock::time_point end;
        std::unique_ptr<TargetClients> pool;
        auto send = [&](std::uint64_t attempt) {
            std::size_t index = attempt % targetCount;
            pool->dispatch({ AttemptId(Incarnation(1), attempt), TargetId(index), Endpoint("127.0.0.1", static_cast<std::uint16_t>(firstPort + index)), KeyRange(0, 10), SnapshotVersion(1), 5s, 5s, "copper pan" });
        };
        pool = std::make_unique<TargetClients>(clients, [&](const ExchangeResult& result) {
            std::lock_guard lock(mutex);
            ++done;
            if (done == warmUp)
                begin = std::chrono::steady_clock::now();
            if (done >= warmUp && done <= warmUp + count) {
                double now = threadCpuSeconds();
                core.try_emplace(std::this_thread::get_id(), now, now).first->second.second = now;
            }
            if (done == warmUp + count) {
                end = std::chrono::steady_clock::now();
                changed.notify_all();
            }
            if (done < warmUp + count)
                send(result.attempt.number() + targetCount * window);
        });
        for (std::uint64_t i = 0; i < targetCount * window; ++i)
            send(i);
        std::unique_lock lock(mutex);
        changed.wait_for(lock, 60s, [&] { return done >= warmUp + count; });
        lock.unlock();
        pool->stop();
        double coreSeconds = 0;
        for (const auto& [thread, readings] : core)
            coreSeconds += readings.second - readings.first;
        coreSecondsEach = coreSeconds / count;
        return count / std::chrono::duration<double>(end - begin).count();
    }

} // namespace

void measureExchange(SubQueryMeasurements& measurements)
{
    std::cout << "### Exchange with a target\n\n60000 exchanges with 8 stand-in targets over 64 connections; the stand-ins run on the same machine.\n\n";
    printRow({ "client threads", "us of a core each", "thousands per second" });
    printRow({ "---", "---", "---" });
    for (unsigned clients : { 1U, 2U, 4U }) {
        double core = 0;
        double rate = exchangesPerSecond(clients, core);
        if (clients == 1)
            measurements.exchangeSeconds = core;
        measurements.maxExchangesPerSecond = std::max(measurements.maxExchangesPerSecond, rate);
        printRow({ std::to_string(clients), formatNumber(core * 1e6), formatNumber(rate / 1000) });
    }
    std::cout << "\n";
}

void measureTickets(SubQueryMeasurements& measurements)
{
    ManualClock clock;
    TicketTable tickets(1min, 100000);
    HeapUsage before = heapUsage();
    constexpr int count = 50000;
    for (int i = 0; i < count; ++i)
        tickets.claim(*tickets.issue(clock.now()), Digest(1), clock.now());
    measurements.ticketBytes = static_cast<double>(heapUsage().bytes - before.bytes) / count;
}

} // namespace pimentopoint::bench
