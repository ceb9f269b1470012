#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// A host "self" in data centre "a" with a fan-out route of four shards and one much stronger local host, "big".
struct DelegatingFleet : EngineFixture {
    explicit DelegatingFleet(std::vector<MemberRecord> others = { makeHost("big", "a", 8000) })
        : EngineFixture({ fanOutRoute(4) })
    {
        for (int shard = 0; shard < 4; ++shard) {
            for (int replica = 1; replica <= 3; ++replica)
                pool.put(makeTarget("s" + std::to_string(shard), replica, std::string(1, static_cast<char>('a' + replica - 1))), millisecond(0));
        }
        aggregators.setMembers(others);
    }
    CallActions::Attempt only() const
    {
        REQUIRE(attempts.size() == 1);
        return attempts.begin()->second;
    }
};

} // namespace

TEST_CASE("A delegated call keeps the caller's deadline, and the aggregator's reply is returned unchanged")
{
    DelegatingFleet fleet;
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    CallActions::Attempt send = fleet.only();
    REQUIRE(send.delegation);
    CHECK(send.delegation->version == ConfigurationVersion(1));
    CHECK(send.deadline == millisecond(2000));
    fleet.reply(send.id, makeAggregateReply(), millisecond(50));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 200);
    CHECK(fleet.answers[call].isFanOut);
    CHECK(fleet.answers[call].subRequestSignatures == "x, y, z");
    CHECK(fleet.answers[call].missingShards == 1);
    CHECK(fleet.answers[call].body == makeRecord('e') + makeRecord('c'));
}

TEST_CASE("A delegated call runs locally if the aggregator certainly did not run it, and fails otherwise")
{
    struct Case {
        const char* name;
        TargetReply reply;
        unsigned status; ///< Status of the answer; 0: this host runs the call.
    };
    const Case cases[] = {
        { "not sent", EngineFixture::lost(TargetReply::ReplyOutcome::NotSent), 0 },
        { "refused", EngineFixture::refused(), 0 },
        { "connection lost", EngineFixture::lost(), 502 },
        { "failed at the aggregator", makeAggregateReply(504), 502 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        DelegatingFleet fleet;
        CallId call = fleet.sendRequest("fan.example", millisecond(0));
        fleet.reply(fleet.only().id, each.reply, millisecond(5));
        CHECK(fleet.attempts.size() == (each.status ? 0 : 4));
        CHECK(fleet.answers.contains(call) == (each.status != 0));
        if (each.status)
            CHECK(fleet.answers[call].status == each.status);
        for (auto [id, send] : std::map(fleet.attempts)) {
            CHECK_FALSE(send.delegation);
            fleet.reply(id, EngineFixture::ok(send.target.value()), millisecond(20));
        }
        if (!each.status)
            CHECK(fleet.answers[call].status == 200);
    }
}

TEST_CASE("An aggregator that does not acknowledge fails the call early, one that does gets most of the caller's timeout")
{
    for (bool begins : { false, true }) {
        INFO("begins " << begins);
        DelegatingFleet fleet;
        CallId call = fleet.sendRequest("fan.example", millisecond(0), std::chrono::milliseconds(1200));
        AttemptNumber silent = fleet.only().id;
        if (begins)
            fleet.engine.handleAcknowledgement(silent, millisecond(3));
        int end = begins ? 1020 : 50;
        fleet.tick(millisecond(end - 1));
        CHECK_FALSE(fleet.answers.contains(call));
        fleet.tick(millisecond(end));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == 502);
        CHECK(fleet.attempts.empty());
        // An aggregator that did not acknowledge is avoided.
        fleet.sendRequest("fan.example", millisecond(end + 1));
        CHECK(fleet.attempts.size() == (begins ? 1 : 4));
    }
}

TEST_CASE("An acknowledgement after the call was answered has no effect")
{
    DelegatingFleet fleet;
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    AttemptNumber late = fleet.only().id;
    fleet.tick(millisecond(50));
    REQUIRE(fleet.answers.contains(call));
    fleet.engine.handleAcknowledgement(late, millisecond(51));
    CHECK(fleet.answers.size() == 1);
    CHECK(fleet.attempts.empty());
}

TEST_CASE("A caller's disconnect aborts the delegation at once")
{
    DelegatingFleet fleet;
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    fleet.disconnect(call, millisecond(10));
    CHECK(fleet.attempts.empty());
    CHECK(fleet.aborts == 1);
}

TEST_CASE("A delegated fan-out is accepted only with the same version and below the attempt rate limit, and not delegated again")
{
    CallLimits limits;
    limits.delegationAttemptRate = 100;
    for (bool busy : { false, true }) {
        for (std::uint64_t version : { 1U, 2U }) {
            INFO("busy " << busy << ", version " << version);
            EngineFixture fleet({ fanOutRoute(4) }, 64, 0, limits);
            for (int shard = 0; shard < 4; ++shard)
                fleet.pool.put(makeTarget("s" + std::to_string(shard), 1), millisecond(0));
            fleet.aggregators.setMembers({ makeHost("big", "a", 8000) });
            auto ask = [&](std::uint64_t asked, std::uint64_t id) {
                auto request = std::make_shared<CallerRequest>();
                request->id = "id" + std::to_string(id);
                request->requestTarget = "/q";
                request->host = "fan.example";
                request->timeout = std::chrono::seconds(1);
                request->arrivedAt = millisecond(1000);
                request->delegation = Delegation { ConfigurationVersion(asked), Duration(0), {} };
                CallActions actions;
                fleet.engine.handleRequest(CallId(id), request, millisecond(1000), actions);
                fleet.apply(actions);
            };
            std::uint64_t calls = 0;
            // 26 calls of four attempts each exceed 100 attempts per second.
            while (busy && calls < 26)
                ask(1, ++calls);
            std::size_t before = fleet.attempts.size();
            ask(version, ++calls);
            bool refused = busy || version != 1;
            CHECK(fleet.attempts.size() - before == (refused ? 0 : 4));
            CHECK(fleet.answers.contains(CallId(calls)) == refused);
            if (refused)
                CHECK(fleet.answers[CallId(calls)].status == 503);
            for (const auto& [id, send] : fleet.attempts)
                CHECK_FALSE(send.delegation);
        }
    }
}

namespace {

/// A fan-out over \a shards shards, the first three of which have no local target; host "b1" is in a data centre that has all.
struct PartlyAwayFleet : EngineFixture {
    explicit PartlyAwayFleet(double minCoverage = 0.75, int shards = 8)
        : EngineFixture({ fanOutRoute(static_cast<std::size_t>(shards), minCoverage) })
    {
        for (int shard = 0; shard < shards; ++shard) {
            for (int replica = 1; replica <= 3; ++replica) {
                const char* places[] = { "b", "c", shard < 3 ? "d" : "a" };
                pool.put(makeTarget("s" + std::to_string(shard), replica, places[replica - 1]), millisecond(0));
            }
        }
        aggregators.setMembers({ makeHost("b1", "b") });
    }
    CallActions::Attempt group() const
    {
        auto found = std::find_if(attempts.begin(), attempts.end(), [](const auto& send) { return send.second.delegation.has_value(); });
        REQUIRE(found != attempts.end());
        return found->second;
    }
    void answerRest(Instant now, std::size_t most = 100)
    {
        for (auto [id, send] : std::map(attempts)) {
            if (send.delegation || !most)
                continue;
            --most;
            reply(id, ok(send.target.value(), makeRecord('d')), now);
        }
    }
};

} // namespace

TEST_CASE("Remote-only shards are delegated to one remote host, and all replies are merged")
{
    PartlyAwayFleet fleet;
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    CHECK(fleet.attempts.size() == 1 + 5);
    CHECK(fleet.group().delegation->shards == std::vector<std::size_t> { 0, 1, 2 });
    fleet.answerRest(millisecond(10));
    CHECK_FALSE(fleet.answers.contains(call));
    fleet.reply(fleet.group().id, makeAggregateReply(), millisecond(20));
    REQUIRE(fleet.answers.contains(call));
    const CallerAnswer& answer = fleet.answers[call];
    CHECK(answer.status == 200);
    CHECK(answer.missingShards == 1);
    CHECK(answer.body == makeRecord('e') + makeRecord('d') + makeRecord('d') + makeRecord('d'));
    // Three signatures from the aggregator, five from this host's targets.
    CHECK(std::count(answer.subRequestSignatures.begin(), answer.subRequestSignatures.end(), ',') == 7);
}

TEST_CASE("Delegated shards run locally if the aggregator certainly did not run them, and are missing otherwise")
{
    struct Case {
        const char* name;
        TargetReply reply;
        double minCoverage;
        unsigned status;
        unsigned missing;
        bool askedHere;
    };
    TargetReply empty = makeAggregateReply();
    empty.missingShards = 3;
    const Case cases[] = {
        { "not sent", EngineFixture::lost(TargetReply::ReplyOutcome::NotSent), 0.75, 200, 0, true },
        { "refused", EngineFixture::refused(), 0.75, 200, 0, true },
        { "connection lost, enough shards without it", EngineFixture::lost(), 0.6, 200, 3, false },
        { "connection lost, too few shards without it", EngineFixture::lost(), 0.75, 502, 0, false },
        { "failed at the aggregator", makeAggregateReply(502), 0.6, 200, 3, false },
        { "no delegated shard replied", empty, 0.6, 200, 3, false },
        { "one delegated shard is missing", makeAggregateReply(), 0.75, 200, 1, false },
        { "one delegated shard is missing, full coverage required", makeAggregateReply(), 1, 502, 0, false },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        PartlyAwayFleet fleet(each.minCoverage);
        CallId call = fleet.sendRequest("fan.example", millisecond(0));
        fleet.answerRest(millisecond(5));
        fleet.reply(fleet.group().id, each.reply, millisecond(10));
        CHECK(fleet.attempts.size() == (each.askedHere ? 3 : 0));
        fleet.answerRest(millisecond(15));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == each.status);
        CHECK(fleet.answers[call].missingShards == each.missing);
    }
}

TEST_CASE("A call of which an aggregator ran some shards is never refused as not run")
{
    // The aggregator replies for three of six shards, four are needed, and every local target refuses.
    PartlyAwayFleet fleet(0.65, 6);
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    TargetReply all = makeAggregateReply();
    all.missingShards = 0;
    fleet.reply(fleet.group().id, all, millisecond(5));
    while (!fleet.attempts.empty())
        fleet.reply(fleet.attempts.begin()->first, EngineFixture::refused(), millisecond(6));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 502);
}

TEST_CASE("Sub-requests that wait for a connection keep waiting after the aggregator has replied")
{
    PartlyAwayFleet fleet(1);
    fleet.setRoutes({ fanOutRoute(8, 1) }, 1, 2);
    // Three calls use the only connection to each target of the five local shards.
    for (int i = 0; i < 3; ++i)
        fleet.sendRequest("fan.example", millisecond(0));
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    AttemptNumber own = fleet.attempts.rbegin()->first;
    REQUIRE(fleet.attempts.at(own).delegation);
    TargetReply all = makeAggregateReply();
    all.missingShards = 0;
    fleet.reply(own, all, millisecond(5));
    // More than a quarter of the objective has passed.
    fleet.tick(millisecond(60));
    CHECK_FALSE(fleet.answers.contains(call));
}

TEST_CASE("A call with the required coverage is answered at its objective, and the delegation is aborted")
{
    PartlyAwayFleet fleet(0.6);
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    fleet.engine.handleAcknowledgement(fleet.group().id, millisecond(5));
    fleet.answerRest(millisecond(10));
    fleet.tick(millisecond(171));
    CHECK_FALSE(fleet.answers.contains(call));
    fleet.tick(millisecond(172));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].missingShards == 3);
    CHECK(fleet.attempts.empty());
}

TEST_CASE("An aggregator counts shards not delegated to it as covered and replies earlier by the elapsed time")
{
    PartlyAwayFleet fleet(0.75);
    auto request = std::make_shared<CallerRequest>();
    request->id = "id1";
    request->requestTarget = "/q";
    request->host = "fan.example";
    request->timeout = std::chrono::seconds(1);
    request->arrivedAt = millisecond(0);
    request->delegation = Delegation { ConfigurationVersion(1), std::chrono::milliseconds(20), { 4, 5, 6 } };
    CallActions actions;
    fleet.engine.handleRequest(CallId(1), request, millisecond(0), actions);
    fleet.apply(actions);
    REQUIRE(fleet.attempts.size() == 3);
    // One of the three delegated shards has replied, so two of eight are missing, the most that the coverage allows.
    fleet.answerRest(millisecond(10), 1);
    fleet.tick(millisecond(151));
    CHECK(fleet.answers.empty());
    fleet.tick(millisecond(152));
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[CallId(1)].status == 200);
    CHECK(fleet.answers[CallId(1)].missingShards == 2);
    // An index that is not in the route is an error of the delegating host.
    auto wrong = std::make_shared<CallerRequest>(*request);
    wrong->delegation->shards = { 8 };
    CallActions refusal;
    fleet.engine.handleRequest(CallId(2), wrong, millisecond(0), refusal);
    REQUIRE(refusal.answers.size() == 1);
    CHECK(refusal.answers[0].answer.status == 400);
}

TEST_CASE("A change of the route's shards refreshes the cached shard availability")
{
    PartlyAwayFleet fleet;
    fleet.sendRequest("fan.example", millisecond(0));
    CHECK(fleet.group().delegation->shards.size() == 3);
    fleet.reply(fleet.group().id, makeAggregateReply(), millisecond(5));
    fleet.answerRest(millisecond(5));
    REQUIRE(fleet.attempts.empty());
    // The new version has two shards, both remote. The call follows within the cache time of the shard availability.
    RoutePolicy route = fanOutRoute(2);
    fleet.setRoutes({ route }, 8, 2);
    CallId call = fleet.sendRequest("fan.example", millisecond(10));
    CHECK(fleet.group().delegation->shards == std::vector<std::size_t> {});
    CHECK(fleet.group().delegation->version == ConfigurationVersion(2));
    TargetReply both = makeAggregateReply();
    both.missingShards = 0;
    fleet.reply(fleet.group().id, both, millisecond(20));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 200);
}
