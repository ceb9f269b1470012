#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// A fan-out fleet whose host "self" in data centre "a" knows one strong host beside it, "big".
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

TEST_CASE("a call that another host runs is passed on unchanged, with the caller's time that is left")
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

TEST_CASE("a call that the other host certainly did not run is run here; one that may have run is not sent again")
{
    struct Case {
        const char* name;
        TargetReply reply;
        unsigned status; ///< 0: it is run here.
    };
    const Case cases[] = {
        { "not sent", EngineFixture::lost(TargetReply::ReplyOutcome::NotSent), 0 },
        { "refused", EngineFixture::refused(), 0 },
        { "broken off", EngineFixture::lost(), 502 },
        { "failed there", makeAggregateReply(504), 502 },
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

TEST_CASE("a host that does not begin costs one call, which ends soon; one that has begun has most of the caller's patience")
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
        // A host that did not begin is left alone.
        fleet.sendRequest("fan.example", millisecond(end + 1));
        CHECK(fleet.attempts.size() == (begins ? 1 : 4));
    }
}

TEST_CASE("an acknowledgement after the call was given up changes nothing")
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

TEST_CASE("when the caller leaves, the host that runs its call is told at once")
{
    DelegatingFleet fleet;
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    fleet.disconnect(call, millisecond(10));
    CHECK(fleet.attempts.empty());
    CHECK(fleet.aborts == 1);
}

TEST_CASE("a host runs fan-outs of others only with the same version, with processor time to spare, and never passes them on")
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
            // 26 calls of four sends within a moment are more than a hundred a second.
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

/// A fan-out over eight shards, or as many as are asked for, of which the host's own data centre lacks the first three; "b1" is in one that has all.
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

TEST_CASE("the shards that a data centre lacks are asked for by one host of another, and all answers are merged")
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
    // Three signatures of the other host's parts, five of ours.
    CHECK(std::count(answer.subRequestSignatures.begin(), answer.subRequestSignatures.end(), ',') == 7);
}

TEST_CASE("shards that another host was to ask for are asked for here if it certainly did not, and are missing otherwise")
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
        { "broken off, enough without it", EngineFixture::lost(), 0.6, 200, 3, false },
        { "broken off, not enough without it", EngineFixture::lost(), 0.75, 502, 0, false },
        { "failed there", makeAggregateReply(502), 0.6, 200, 3, false },
        { "none of them came", empty, 0.6, 200, 3, false },
        { "one of them is missing", makeAggregateReply(), 0.75, 200, 1, false },
        { "one of them is missing, and none may", makeAggregateReply(), 1, 502, 0, false },
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

TEST_CASE("a call of which another host ran a part is never refused as not run")
{
    // The other host has its three of six shards, four are needed, and every target here refuses.
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

TEST_CASE("parts that wait for a connection wait on after another host has answered for its own")
{
    PartlyAwayFleet fleet(1);
    fleet.setRoutes({ fanOutRoute(8, 1) }, 1, 2);
    // Three calls take the only connection to each target of the five shards at home.
    for (int i = 0; i < 3; ++i)
        fleet.sendRequest("fan.example", millisecond(0));
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    AttemptNumber own = fleet.attempts.rbegin()->first;
    REQUIRE(fleet.attempts.at(own).delegation);
    TargetReply all = makeAggregateReply();
    all.missingShards = 0;
    fleet.reply(own, all, millisecond(5));
    // A quarter of the objective is over.
    fleet.tick(millisecond(60));
    CHECK_FALSE(fleet.answers.contains(call));
}

TEST_CASE("a call that has enough shards is answered at its objective, and the other host is told to end")
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

TEST_CASE("a host asked for some shards counts the others as in, and answers earlier by the time that is spent elsewhere")
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
    // One of three is in: two of eight are missing, as many as may.
    fleet.answerRest(millisecond(10), 1);
    fleet.tick(millisecond(151));
    CHECK(fleet.answers.empty());
    fleet.tick(millisecond(152));
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[CallId(1)].status == 200);
    CHECK(fleet.answers[CallId(1)].missingShards == 2);
    // A shard that the route lacks is a fault of the sender.
    auto wrong = std::make_shared<CallerRequest>(*request);
    wrong->delegation->shards = { 8 };
    CallActions refusal;
    fleet.engine.handleRequest(CallId(2), wrong, millisecond(0), refusal);
    REQUIRE(refusal.answers.size() == 1);
    CHECK(refusal.answers[0].answer.status == 400);
}

TEST_CASE("when the index is cut anew, what is given away is of the shards that are in force")
{
    PartlyAwayFleet fleet;
    fleet.sendRequest("fan.example", millisecond(0));
    CHECK(fleet.group().delegation->shards.size() == 3);
    fleet.reply(fleet.group().id, makeAggregateReply(), millisecond(5));
    fleet.answerRest(millisecond(5));
    REQUIRE(fleet.attempts.empty());
    // Two shards are left, both away; a moment later, so that nothing would be looked up again for its age alone.
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
