#include "Printing.h"

#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

/// Chooses the first replica that is not excluded.
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
        ++endCount;
    }

    int outstanding = 0;
    int endCount = 0; ///< Calls of recordEnd(), which may report a failure of a route.
};

class QueryFixture {
public:
    explicit QueryFixture(const std::function<void(SearchFront&)>& policy = {}, std::uint64_t version = 1, bool thirdReplica = false)
        : m_documents { configuration(policy, version, thirdReplica), nullptr }
        , newest(m_documents)
    {
        budget.addCredit(100, Fraction(0.05));
        run = std::make_unique<QueryRun>(QueryEnvironment { router, budget, latencies, [this] { return newest; } }, m_documents, SearchFrontName("f"),
            0, clock.now(), clock.now() + 200ms);
        recordActions(run->begin(clock.now()));
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
    void recordActions(const QueryActions& actions)
    {
        for (const QueryActions::Attempt& attempt : actions.attempts)
            attempts.push_back(attempt.subQuery);
        cancels += actions.cancels.size();
    }
    SubReply completeReply(std::size_t index, std::uint64_t snapshot = 1) const
    {
        SubReply reply;
        reply.attempt = attempts.at(index).attempt;
        reply.outcome = Outcome::Answered;
        reply.reachedTarget = true;
        reply.snapshot = SnapshotVersion(snapshot);
        reply.covered = { attempts.at(index).range };
        reply.hits = "[" + std::to_string(index) + "]";
        return reply;
    }
    SubReply refusal(std::size_t index, NotRunReason reason, bool reached) const
    {
        SubReply reply;
        reply.attempt = attempts.at(index).attempt;
        reply.notRunReason = reason;
        reply.reachedTarget = reached;
        return reply;
    }
    SubReply unknownReply(std::size_t index) const
    {
        SubReply reply = completeReply(index);
        reply.outcome = Outcome::Unknown;
        reply.unknownReason = UnknownReason::ConnectionLost;
        reply.covered.clear();
        return reply;
    }
    void reply(const SubReply& reply) { recordActions(run->handleReply(reply, clock.now())); }
    void advanceTo(Duration sinceStart)
    {
        clock.setNow(m_start + sinceStart);
        recordActions(run->handleTimer(clock.now()));
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
    std::vector<SubQuery> attempts;
    std::size_t cancels = 0;

private:
    Instant m_start = ManualClock().now();
};

const auto notIdempotent = [](SearchFront& front) { front.setIdempotent(false); };

} // namespace

TEST_CASE("Replies that tile the key space give a complete answer in key order")
{
    QueryFixture fixture;
    fixture.reply(fixture.completeReply(1));
    fixture.reply(fixture.completeReply(0));
    CHECK(fixture.run->answer().outcome == Outcome::Answered);
    CHECK(fixture.run->answer().hits == "[0,1]");
    CHECK(fixture.router.outstanding == 0);
}

TEST_CASE("A reply with a wrong snapshot, range or attempt covers nothing")
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
    QueryFixture fixture;
    fixture.reply(fixture.completeReply(1));
    SubReply reply = fixture.completeReply(0);
    row.change(reply);
    fixture.reply(reply);
    fixture.advanceTo(200ms);
    REQUIRE(fixture.run->finished());
    CHECK(fixture.run->answer().outcome == Outcome::Partial);
    CHECK(fixture.run->answer().coverage == Fraction(0.5));
    CHECK(fixture.run->answer().hits == "[1]");
    CHECK(fixture.run->answer().missing == std::vector<KeyRange> { KeyRange(0, keySpaceEnd / 2) });
}

TEST_CASE("A partial reply covers its ranges and is replaced by a complete reply from another replica")
{
    QueryFixture fixture;
    fixture.reply(fixture.completeReply(1));
    SubReply half = fixture.completeReply(0);
    half.covered = { KeyRange(0, keySpaceEnd / 4) };
    fixture.reply(half);
    REQUIRE(fixture.attempts.size() == 3);
    SECTION("the other replica replies: the answer is complete")
    {
        fixture.reply(fixture.completeReply(2));
        CHECK(fixture.run->answer().outcome == Outcome::Answered);
        CHECK(fixture.run->answer().hits == "[2,1]");
    }
    SECTION("the other replica does not reply: the answer is partial")
    {
        fixture.advanceTo(200ms);
        CHECK(fixture.run->answer().coverage == Fraction(0.75));
        CHECK(fixture.run->answer().outcome == Outcome::Partial);
    }
}

TEST_CASE("A sub-query that may have run is not sent again if it is not idempotent; one that did not run is sent again")
{
    QueryFixture fixture(notIdempotent);
    SECTION("unknown")
    {
        fixture.reply(fixture.unknownReply(0));
        CHECK(fixture.attempts.size() == 2);
        fixture.reply(fixture.completeReply(1));
        CHECK(fixture.run->answer().outcome == Outcome::Unknown);
        CHECK(fixture.run->answer().unknownReason == UnknownReason::ConnectionLost);
    }
    SECTION("not run")
    {
        fixture.reply(fixture.refusal(0, NotRunReason::Shed, true));
        CHECK(fixture.attempts.size() == 3);
    }
    SECTION("timed out: no hedge is sent and the outcome is unknown")
    {
        fixture.advanceTo(150ms);
        CHECK(fixture.attempts.size() == 2);
        fixture.advanceTo(200ms);
        CHECK(fixture.run->answer().outcome == Outcome::Unknown);
        CHECK(fixture.cancels == 2);
    }
    SECTION("a reply from another snapshot counts as run")
    {
        fixture.reply(fixture.completeReply(0, 9));
        CHECK(fixture.attempts.size() == 2);
    }
}

TEST_CASE("The outcome is not-run only if no sub-query may have run")
{
    QueryFixture fixture([](SearchFront& front) { front.setPreference(Preference::Latency); });
    fixture.reply(fixture.refusal(0, NotRunReason::Shed, false));
    fixture.reply(fixture.refusal(1, NotRunReason::Shed, false));
    REQUIRE(fixture.attempts.size() == 4);
    fixture.reply(fixture.refusal(2, NotRunReason::Shed, false));
    SECTION("no sub-query ran: not run")
    {
        fixture.reply(fixture.refusal(3, NotRunReason::Leaving, false));
        CHECK(fixture.run->answer().outcome == Outcome::NotRun);
    }
    SECTION("one sub-query may have run: unknown")
    {
        fixture.reply(fixture.unknownReply(3));
        CHECK(fixture.run->answer().outcome == Outcome::Unknown);
    }
}

TEST_CASE("A slow shard is hedged once at another replica and the outstanding attempt is cancelled")
{
    QueryFixture fixture;
    fixture.reply(fixture.completeReply(1));
    fixture.advanceTo(120ms);
    REQUIRE(fixture.attempts.size() == 3);
    CHECK(fixture.attempts[2].target != fixture.attempts[0].target);
    fixture.advanceTo(130ms);
    CHECK(fixture.attempts.size() == 3);
    fixture.reply(fixture.completeReply(2));
    CHECK(fixture.run->answer().outcome == Outcome::Answered);
    CHECK(fixture.cancels == 1);
    CHECK(fixture.router.outstanding == 0);
    CHECK(fixture.router.endCount == 2);
}

TEST_CASE("A shard whose hedge is slow too is hedged a second time and no more")
{
    QueryFixture fixture({}, 1, true);
    fixture.reply(fixture.completeReply(1));
    fixture.advanceTo(60ms);
    REQUIRE(fixture.attempts.size() == 3);
    fixture.advanceTo(89ms);
    CHECK(fixture.attempts.size() == 3);
    fixture.advanceTo(90ms);
    REQUIRE(fixture.attempts.size() == 4);
    CHECK(fixture.attempts[3].target != fixture.attempts[0].target);
    CHECK(fixture.attempts[3].target != fixture.attempts[2].target);
    fixture.advanceTo(180ms);
    CHECK(fixture.attempts.size() == 4);
    fixture.reply(fixture.completeReply(3));
    CHECK(fixture.run->answer().outcome == Outcome::Answered);
    CHECK(fixture.cancels == 2);
    CHECK(fixture.router.outstanding == 0);
}

TEST_CASE("Without budget no extra attempt is sent, and the answer is partial as soon as no attempt is outstanding")
{
    QueryFixture fixture;
    while (fixture.budget.tryAcquire())
        continue;
    fixture.reply(fixture.completeReply(1));
    fixture.advanceTo(120ms);
    fixture.reply(fixture.unknownReply(0));
    CHECK(fixture.attempts.size() == 2);
    CHECK(fixture.run->finished());
    CHECK(fixture.run->answer().outcome == Outcome::Partial);
}

TEST_CASE("Extra attempts never exceed their fraction of the first attempts")
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

TEST_CASE("A latency-first query ends at its latency objective once coverage suffices; a coverage-first query waits")
{
    auto policy = [](Preference weighs) {
        return [weighs](SearchFront& front) { front.setPreference(weighs).setLatencyObjective(59ms).setEnoughCoverage(Fraction(0.5)).setExtraAttemptRatio(Fraction(0)); };
    };
    QueryFixture latency(policy(Preference::Latency));
    latency.reply(latency.completeReply(1));
    latency.advanceTo(58ms);
    CHECK_FALSE(latency.run->finished());
    latency.advanceTo(59ms);
    CHECK(latency.run->finished());
    QueryFixture coverage(policy(Preference::Coverage));
    coverage.reply(coverage.completeReply(1));
    coverage.advanceTo(150ms);
    CHECK_FALSE(coverage.run->finished());
}

TEST_CASE("If the pinned snapshot is gone the whole query is planned again once")
{
    QueryFixture fixture;
    fixture.newest = { QueryFixture::configuration({}, 2), nullptr };
    fixture.reply(fixture.completeReply(1));
    fixture.reply(fixture.refusal(0, NotRunReason::SnapshotGone, true));
    REQUIRE(fixture.attempts.size() == 3);
    fixture.reply(fixture.refusal(2, NotRunReason::SnapshotGone, true));
    REQUIRE(fixture.attempts.size() == 5);
    fixture.reply(fixture.completeReply(3, 2));
    fixture.reply(fixture.completeReply(4, 2));
    CHECK(fixture.run->answer().outcome == Outcome::Answered);
    CHECK(fixture.run->answer().snapshot == SnapshotVersion(2));
    CHECK(fixture.run->answer().hits == "[3,4]");
}

TEST_CASE("A lost connection and an unsent frame end the attempts that they carried")
{
    QueryFixture fixture(notIdempotent);
    fixture.run->bind({ fixture.attempts[0].attempt }, 10, 100);
    fixture.run->bind({ fixture.attempts[1].attempt }, 11, 101);
    fixture.recordActions(fixture.run->handleUnsent(10, fixture.clock.now()));
    CHECK(fixture.attempts.size() == 3);
    fixture.recordActions(fixture.run->handleConnectionLost(101, fixture.clock.now()));
    CHECK(fixture.attempts.size() == 3);
    fixture.reply(fixture.completeReply(2));
    CHECK(fixture.run->answer().outcome == Outcome::Unknown);
}

TEST_CASE("Coverage is complete only if its ranges tile the key space")
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

TEST_CASE("Nine of ten equal shards reach a coverage of nine tenths, whichever is missing")
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
    QueryActions started = run.begin(clock.now());
    REQUIRE(started.attempts.size() == 10);
    for (std::size_t i = 0; i < started.attempts.size(); ++i) {
        SubReply reply;
        reply.attempt = started.attempts[i].subQuery.attempt;
        reply.outcome = Outcome::Answered;
        reply.snapshot = SnapshotVersion(1);
        reply.covered = { started.attempts[i].subQuery.range };
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
