#include "Printing.h"

#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

/// Offers replicas in order and remembers nothing.
class FakeRouter : public Router {
public:
    std::optional<Route> choose(const PinnedDocuments&, const Shard& shard, Urgency, const RouteExclusions& exclusions) override
    {
        for (TargetId replica : shard.replicas()) {
            if (!exclusions.excludes(replica, MemberName("g1")))
                return Route { replica, MemberName("g1"), Endpoint("127.0.0.1", 1), {} };
        }
        return std::nullopt;
    }
    void recordSent(const Route&) override { ++outstanding; }
    void recordAbandoned(const Route&) override { --outstanding; }
    void recordEnd(const Route&, const SubReply*) override
    {
        --outstanding;
        ++ends;
    }

    int outstanding = 0;
    int ends = 0; ///< Ends that may count against a route.
};

class QueryBench {
public:
    explicit QueryBench(const std::function<void(SearchFront&)>& policy = {}, std::uint64_t version = 1, bool thirdReplica = false)
        : m_documents { configuration(policy, version, thirdReplica), nullptr }
        , newest(m_documents)
    {
        budget.addCredit(100, Fraction(0.05));
        run = std::make_unique<QueryRun>(QueryEnvironment { router, budget, latencies, [this] { return newest; } }, m_documents, SearchFrontName("f"),
            0, clock.now(), clock.now() + 200ms);
        take(run->begin(clock.now()));
    }
    static ConfigurationPointer configuration(const std::function<void(SearchFront&)>& policy, std::uint64_t version, bool thirdReplica = false)
    {
        ConfigurationBuilder builder { ConfigurationVersion(version) };
        builder.addDataCentre(DataCentre(DataCentreName("a"), "r").addGateway(MemberName("g1")));
        builder.addTargetSet(TargetSet("s").setSlots(2).setConnections(4));
        for (std::uint16_t i = 0; i < 5; ++i)
            builder.addTarget("t" + std::to_string(i), Endpoint("127.0.0.1", static_cast<std::uint16_t>(10 + i)), "a");
        std::vector<std::string> first { "t0", "t1" };
        if (thirdReplica)
            first.emplace_back("t4");
        builder.addShardGroup("g", SnapshotVersion(version), { first, { "t2", "t3" } });
        builder.addSearchFront("f", "g", [&](SearchFront& front) {
            front.setDeadline(200ms);
            if (policy)
                policy(front);
        });
        return builder.build();
    }
    void take(const QueryActions& actions)
    {
        for (const QueryActions::Attempt& send : actions.attempts)
            sends.push_back(send.subQuery);
        cancels += actions.cancels.size();
    }
    SubReply whole(std::size_t send, std::uint64_t snapshot = 1) const
    {
        SubReply reply;
        reply.attempt = sends.at(send).attempt;
        reply.outcome = Outcome::Answered;
        reply.reachedTarget = true;
        reply.snapshot = SnapshotVersion(snapshot);
        reply.covered = { sends.at(send).range };
        reply.hits = "[" + std::to_string(send) + "]";
        return reply;
    }
    SubReply refused(std::size_t send, NotRunReason reason, bool reached) const
    {
        SubReply reply;
        reply.attempt = sends.at(send).attempt;
        reply.notRunReason = reason;
        reply.reachedTarget = reached;
        return reply;
    }
    SubReply unknown(std::size_t send) const
    {
        SubReply reply = whole(send);
        reply.outcome = Outcome::Unknown;
        reply.unknownReason = UnknownReason::ConnectionLost;
        reply.covered.clear();
        return reply;
    }
    void reply(const SubReply& reply) { take(run->handleReply(reply, clock.now())); }
    void passTo(Duration sinceStart)
    {
        clock.setNow(m_start + sinceStart);
        take(run->handleTimer(clock.now()));
    }

private:
    PinnedDocuments m_documents;

public:
    PinnedDocuments newest;
    ManualClock clock;
    FakeRouter router;
    ExtraAttemptBudget budget;
    LatencyWindow latencies { 0.95 };
    std::unique_ptr<QueryRun> run;
    std::vector<SubQuery> sends;
    std::size_t cancels = 0;

private:
    Instant m_start = ManualClock().now();
};

const auto notRepeatable = [](SearchFront& front) { front.setIdempotent(false); };

} // namespace

TEST_CASE("replies that tile the key space make a whole answer, in key order")
{
    QueryBench bench;
    bench.reply(bench.whole(1));
    bench.reply(bench.whole(0));
    CHECK(bench.run->answer().outcome == Outcome::Answered);
    CHECK(bench.run->answer().hits == "[0,1]");
    CHECK(bench.router.outstanding == 0);
}

TEST_CASE("what a reply does not state covers nothing")
{
    struct Row {
        const char* name;
        std::function<void(SubReply&)> change;
    };
    const auto row = GENERATE(Row { "another snapshot", [](SubReply& reply) { reply.snapshot = SnapshotVersion(2); } },
        Row { "no range", [](SubReply& reply) { reply.covered.clear(); } },
        Row { "a range of another shard", [](SubReply& reply) { reply.covered = { KeyRange(keySpaceEnd - 10, keySpaceEnd) }; } },
        Row { "ranges that overlap", [](SubReply& reply) { reply.covered.push_back(reply.covered.front()); } },
        Row { "an unknown attempt", [](SubReply& reply) { reply.attempt = 999; } });
    INFO(row.name);
    QueryBench bench;
    bench.reply(bench.whole(1));
    SubReply reply = bench.whole(0);
    row.change(reply);
    bench.reply(reply);
    bench.passTo(200ms);
    REQUIRE(bench.run->finished());
    CHECK(bench.run->answer().outcome == Outcome::Partial);
    CHECK(bench.run->answer().coverage == Fraction(0.5));
    CHECK(bench.run->answer().hits == "[1]");
    CHECK(bench.run->answer().missing == std::vector<KeyRange> { KeyRange(0, keySpaceEnd / 2) });
}

TEST_CASE("a part of a shard counts as that part, and is replaced by the whole from another replica")
{
    QueryBench bench;
    bench.reply(bench.whole(1));
    SubReply half = bench.whole(0);
    half.covered = { KeyRange(0, keySpaceEnd / 4) };
    bench.reply(half);
    REQUIRE(bench.sends.size() == 3);
    SECTION("the other replica answers")
    {
        bench.reply(bench.whole(2));
        CHECK(bench.run->answer().outcome == Outcome::Answered);
        CHECK(bench.run->answer().hits == "[2,1]");
    }
    SECTION("it does not")
    {
        bench.passTo(200ms);
        CHECK(bench.run->answer().coverage == Fraction(0.75));
        CHECK(bench.run->answer().outcome == Outcome::Partial);
    }
}

TEST_CASE("what may have run and may not be repeated is never sent again; what did not run is")
{
    QueryBench bench(notRepeatable);
    SECTION("unknown")
    {
        bench.reply(bench.unknown(0));
        CHECK(bench.sends.size() == 2);
        bench.reply(bench.whole(1));
        CHECK(bench.run->answer().outcome == Outcome::Unknown);
        CHECK(bench.run->answer().unknown == UnknownReason::ConnectionLost);
    }
    SECTION("not run")
    {
        bench.reply(bench.refused(0, NotRunReason::Shed, true));
        CHECK(bench.sends.size() == 3);
    }
    SECTION("late: no hedge, and the outcome is unknown")
    {
        bench.passTo(150ms);
        CHECK(bench.sends.size() == 2);
        bench.passTo(200ms);
        CHECK(bench.run->answer().outcome == Outcome::Unknown);
        CHECK(bench.cancels == 2);
    }
    SECTION("a reply that serves another snapshot did run")
    {
        bench.reply(bench.whole(0, 9));
        CHECK(bench.sends.size() == 2);
    }
}

TEST_CASE("not run is said only if nothing ran")
{
    QueryBench bench([](SearchFront& front) { front.setPreference(Preference::Latency); });
    bench.reply(bench.refused(0, NotRunReason::Shed, false));
    bench.reply(bench.refused(1, NotRunReason::Shed, false));
    REQUIRE(bench.sends.size() == 4);
    bench.reply(bench.refused(2, NotRunReason::Shed, false));
    SECTION("nothing did")
    {
        bench.reply(bench.refused(3, NotRunReason::Leaving, false));
        CHECK(bench.run->answer().outcome == Outcome::NotRun);
    }
    SECTION("one may have")
    {
        bench.reply(bench.unknown(3));
        CHECK(bench.run->answer().outcome == Outcome::Unknown);
    }
}

TEST_CASE("a late shard is hedged once, to another replica, and the loser is cancelled")
{
    QueryBench bench;
    bench.reply(bench.whole(1));
    bench.passTo(120ms);
    REQUIRE(bench.sends.size() == 3);
    CHECK(bench.sends[2].target != bench.sends[0].target);
    bench.passTo(130ms);
    CHECK(bench.sends.size() == 3);
    bench.reply(bench.whole(2));
    CHECK(bench.run->answer().outcome == Outcome::Answered);
    CHECK(bench.cancels == 1);
    CHECK(bench.router.outstanding == 0);
    CHECK(bench.router.ends == 2);
}

TEST_CASE("a shard whose hedge is late too is hedged a second time, and no more")
{
    QueryBench bench({}, 1, true);
    bench.reply(bench.whole(1));
    bench.passTo(60ms);
    REQUIRE(bench.sends.size() == 3);
    bench.passTo(89ms);
    CHECK(bench.sends.size() == 3);
    bench.passTo(90ms);
    REQUIRE(bench.sends.size() == 4);
    CHECK(bench.sends[3].target != bench.sends[0].target);
    CHECK(bench.sends[3].target != bench.sends[2].target);
    bench.passTo(180ms);
    CHECK(bench.sends.size() == 4);
    bench.reply(bench.whole(3));
    CHECK(bench.run->answer().outcome == Outcome::Answered);
    CHECK(bench.cancels == 2);
    CHECK(bench.router.outstanding == 0);
}

TEST_CASE("without budget nothing extra is sent and the answer is partial, in time")
{
    QueryBench bench;
    while (bench.budget.tryAcquire())
        continue;
    bench.reply(bench.whole(1));
    bench.passTo(120ms);
    bench.reply(bench.unknown(0));
    CHECK(bench.sends.size() == 2);
    CHECK(bench.run->finished());
    CHECK(bench.run->answer().outcome == Outcome::Partial);
}

TEST_CASE("extra sends never exceed their share of first sends")
{
    ExtraAttemptBudget budget;
    std::uint64_t extra = 0;
    Random random(4);
    for (std::uint64_t first = 1; first <= 20000; ++first) {
        budget.addCredit(1, Fraction(0.05));
        while (random.chance(0.5) && budget.tryAcquire())
            ++extra;
        REQUIRE(static_cast<double>(extra) <= 0.05 * static_cast<double>(first) + 1e-6);
    }
}

TEST_CASE("latency first stops at its objective once enough is covered; coverage first waits")
{
    auto policy = [](Preference weighs) {
        return [weighs](SearchFront& front) { front.setPreference(weighs).setLatencyObjective(59ms).setEnoughCoverage(Fraction(0.5)).setExtraAttemptRatio(Fraction(0)); };
    };
    QueryBench latency(policy(Preference::Latency));
    latency.reply(latency.whole(1));
    latency.passTo(58ms);
    CHECK_FALSE(latency.run->finished());
    latency.passTo(59ms);
    CHECK(latency.run->finished());
    QueryBench coverage(policy(Preference::Coverage));
    coverage.reply(coverage.whole(1));
    coverage.passTo(150ms);
    CHECK_FALSE(coverage.run->finished());
}

TEST_CASE("when the pinned snapshot is gone the query is planned anew as a whole, once")
{
    QueryBench bench;
    bench.newest = { QueryBench::configuration({}, 2), nullptr };
    bench.reply(bench.whole(1));
    bench.reply(bench.refused(0, NotRunReason::SnapshotGone, true));
    REQUIRE(bench.sends.size() == 3);
    bench.reply(bench.refused(2, NotRunReason::SnapshotGone, true));
    REQUIRE(bench.sends.size() == 5);
    bench.reply(bench.whole(3, 2));
    bench.reply(bench.whole(4, 2));
    CHECK(bench.run->answer().outcome == Outcome::Answered);
    CHECK(bench.run->answer().snapshot == SnapshotVersion(2));
    CHECK(bench.run->answer().hits == "[3,4]");
}

TEST_CASE("a lost connection and an unsent frame end the attempts that they carried")
{
    QueryBench bench(notRepeatable);
    bench.run->bind({ bench.sends[0].attempt }, 10, 100);
    bench.run->bind({ bench.sends[1].attempt }, 11, 101);
    bench.take(bench.run->handleUnsent(10, bench.clock.now()));
    CHECK(bench.sends.size() == 3);
    bench.take(bench.run->handleConnectionLost(101, bench.clock.now()));
    CHECK(bench.sends.size() == 3);
    bench.reply(bench.whole(2));
    CHECK(bench.run->answer().outcome == Outcome::Unknown);
}

TEST_CASE("ranges tile the key space or the coverage is not whole")
{
    Coverage coverage;
    CHECK(coverage.add({ 0, 10 }));
    CHECK_FALSE(coverage.add({ 5, 15 }));
    CHECK_FALSE(coverage.add({ 9, 9 }));
    CHECK(coverage.add({ 11, keySpaceEnd }));
    CHECK_FALSE(coverage.complete());
    CHECK(coverage.missing() == std::vector<KeyRange> { KeyRange(10, 11) });
    CHECK(coverage.add({ 10, 11 }));
    CHECK(coverage.complete());
}

TEST_CASE("nine of ten equal shards are nine tenths, whichever is missing")
{
    std::size_t missing = GENERATE(range(0, 10));
    ConfigurationBuilder builder { ConfigurationVersion(1) };
    builder.addDataCentre(DataCentre(DataCentreName("a"), "r").addGateway(MemberName("g1")));
    builder.addTargetSet(TargetSet("s").setSlots(2).setConnections(4));
    std::vector<std::vector<std::string>> shards;
    for (std::uint16_t i = 0; i < 10; ++i) {
        shards.push_back({ "t" + std::to_string(i) });
        builder.addTarget(shards.back().front(), Endpoint("127.0.0.1", static_cast<std::uint16_t>(10 + i)), "a");
    }
    builder.addShardGroup("g", SnapshotVersion(1), shards);
    builder.addSearchFront("f", "g", [](SearchFront& front) {
        front.setDeadline(200ms).setPreference(Preference::Latency).setLatencyObjective(59ms).setEnoughCoverage(Fraction(0.9));
    });
    PinnedDocuments documents { builder.build(), nullptr };
    ManualClock clock;
    FakeRouter router;
    ExtraAttemptBudget budget;
    LatencyWindow latencies(0.95);
    QueryRun run(QueryEnvironment { router, budget, latencies, [&] { return documents; } }, documents, SearchFrontName("f"), 0, clock.now(),
        clock.now() + 200ms);
    QueryActions begun = run.begin(clock.now());
    REQUIRE(begun.attempts.size() == 10);
    for (std::size_t i = 0; i < begun.attempts.size(); ++i) {
        SubReply reply;
        reply.attempt = begun.attempts[i].subQuery.attempt;
        reply.outcome = Outcome::Answered;
        reply.snapshot = SnapshotVersion(1);
        reply.covered = { begun.attempts[i].subQuery.range };
        if (i != missing)
            run.handleReply(reply, clock.now());
    }
    CHECK_FALSE(run.finished());
    CHECK(run.nextWakeup() <= clock.now() + 59ms);
    clock.advance(59ms);
    run.handleTimer(clock.now());
    CHECK(run.finished());
    CHECK(run.answer().outcome == Outcome::Partial);
}
