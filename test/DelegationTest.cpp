#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// A fan-out fleet whose host "self" in data centre "a" knows one strong host beside it, "big".
struct DelegatingFleet : ServeFleet {
    explicit DelegatingFleet(std::vector<MemberRecord> others = { hostOf("big", "a", 8000) })
        : ServeFleet({ fanOutRoute(4) })
    {
        for (int shard = 0; shard < 4; ++shard) {
            for (int replica = 1; replica <= 3; ++replica)
                pool.put(targetOf("s" + std::to_string(shard), replica, std::string(1, static_cast<char>('a' + replica - 1))), millisecond(0));
        }
        aggregators.setMembers(others);
    }
    CallActions::Send only() const
    {
        REQUIRE(sends.size() == 1);
        return sends.begin()->second;
    }
};

} // namespace

TEST_CASE("a call that another host runs is passed on unchanged, with the caller's time that is left")
{
    DelegatingFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    CallActions::Send send = fleet.only();
    REQUIRE(send.delegation);
    CHECK(send.delegation->version == ConfigurationVersion(1));
    CHECK(send.deadline == millisecond(2000));
    fleet.reply(send.send, aggregate(), millisecond(50));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 200);
    CHECK(fleet.answers[call].fannedOut);
    CHECK(fleet.answers[call].partStamps == "x, y, z");
    CHECK(fleet.answers[call].missingParts == 1);
    CHECK(fleet.answers[call].body == recordOf('e') + recordOf('c'));
}

TEST_CASE("a call that the other host certainly did not run is run here; one that may have run is not sent again")
{
    struct Case {
        const char* name;
        TargetReply reply;
        unsigned status; ///< 0: it is run here.
    };
    const Case cases[] = {
        { "not sent", ServeFleet::lost(TargetReply::End::NotSent), 0 },
        { "refused", ServeFleet::refused(), 0 },
        { "broken off", ServeFleet::lost(), 502 },
        { "failed there", aggregate(504), 502 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        DelegatingFleet fleet;
        CallId call = fleet.ask("fan.example", millisecond(0));
        fleet.reply(fleet.only().send, each.reply, millisecond(5));
        CHECK(fleet.sends.size() == (each.status ? 0 : 4));
        CHECK(fleet.answers.contains(call) == (each.status != 0));
        if (each.status)
            CHECK(fleet.answers[call].status == each.status);
        for (auto [id, send] : std::map(fleet.sends)) {
            CHECK_FALSE(send.delegation);
            fleet.reply(id, ServeFleet::ok(send.target.value()), millisecond(20));
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
        CallId call = fleet.ask("fan.example", millisecond(0), std::chrono::milliseconds(1200));
        SendId silent = fleet.only().send;
        if (begins)
            fleet.engine.acknowledged(silent, millisecond(3));
        int end = begins ? 1020 : 50;
        fleet.tick(millisecond(end - 1));
        CHECK_FALSE(fleet.answers.contains(call));
        fleet.tick(millisecond(end));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == 502);
        CHECK(fleet.sends.empty());
        // A host that did not begin is left alone.
        fleet.ask("fan.example", millisecond(end + 1));
        CHECK(fleet.sends.size() == (begins ? 1 : 4));
    }
}

TEST_CASE("an acknowledgement after the call was given up changes nothing")
{
    DelegatingFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    SendId late = fleet.only().send;
    fleet.tick(millisecond(50));
    REQUIRE(fleet.answers.contains(call));
    fleet.engine.acknowledged(late, millisecond(51));
    CHECK(fleet.answers.size() == 1);
    CHECK(fleet.sends.empty());
}

TEST_CASE("when the caller leaves, the host that runs its call is told at once")
{
    DelegatingFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    fleet.leave(call, millisecond(10));
    CHECK(fleet.sends.empty());
    CHECK(fleet.aborts == 1);
}

TEST_CASE("a host runs fan-outs of others only with the same version, with processor time to spare, and never passes them on")
{
    CallLimits limits;
    limits.delegatedSends = 100;
    for (bool busy : { false, true }) {
        for (std::uint64_t version : { 1U, 2U }) {
            INFO("busy " << busy << ", version " << version);
            ServeFleet fleet({ fanOutRoute(4) }, 64, 0, limits);
            for (int shard = 0; shard < 4; ++shard)
                fleet.pool.put(targetOf("s" + std::to_string(shard), 1), millisecond(0));
            fleet.aggregators.setMembers({ hostOf("big", "a", 8000) });
            auto ask = [&](std::uint64_t asked, std::uint64_t id) {
                auto request = std::make_shared<CallerRequest>();
                request->id = "id" + std::to_string(id);
                request->target = "/q";
                request->host = "fan.example";
                request->patience = std::chrono::seconds(1);
                request->arrivedAt = millisecond(1000);
                request->delegation = Delegation { ConfigurationVersion(asked), Duration(0), {} };
                CallActions actions;
                fleet.engine.begin(CallId(id), request, millisecond(1000), actions);
                fleet.take(actions);
            };
            std::uint64_t calls = 0;
            // 26 calls of four sends within a moment are more than a hundred a second.
            while (busy && calls < 26)
                ask(1, ++calls);
            std::size_t before = fleet.sends.size();
            ask(version, ++calls);
            bool refused = busy || version != 1;
            CHECK(fleet.sends.size() - before == (refused ? 0 : 4));
            CHECK(fleet.answers.contains(CallId(calls)) == refused);
            if (refused)
                CHECK(fleet.answers[CallId(calls)].status == 503);
            for (const auto& [id, send] : fleet.sends)
                CHECK_FALSE(send.delegation);
        }
    }
}

namespace {

/// A fan-out over eight shards, or as many as are asked for, of which the host's own data centre lacks the first three; "b1" is in one that has all.
struct PartlyAwayFleet : ServeFleet {
    explicit PartlyAwayFleet(double minCoverage = 0.75, int shards = 8)
        : ServeFleet({ fanOutRoute(static_cast<std::size_t>(shards), minCoverage) })
    {
        for (int shard = 0; shard < shards; ++shard) {
            for (int replica = 1; replica <= 3; ++replica) {
                const char* places[] = { "b", "c", shard < 3 ? "d" : "a" };
                pool.put(targetOf("s" + std::to_string(shard), replica, places[replica - 1]), millisecond(0));
            }
        }
        aggregators.setMembers({ hostOf("b1", "b") });
    }
    CallActions::Send group() const
    {
        auto found = std::find_if(sends.begin(), sends.end(), [](const auto& send) { return send.second.delegation.has_value(); });
        REQUIRE(found != sends.end());
        return found->second;
    }
    void answerRest(Instant now, std::size_t most = 100)
    {
        for (auto [id, send] : std::map(sends)) {
            if (send.delegation || !most)
                continue;
            --most;
            reply(id, ok(send.target.value(), recordOf('d')), now);
        }
    }
};

} // namespace

TEST_CASE("the shards that a data centre lacks are asked for by one host of another, and all answers are merged")
{
    PartlyAwayFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    CHECK(fleet.sends.size() == 1 + 5);
    CHECK(fleet.group().delegation->shards == std::vector<std::size_t> { 0, 1, 2 });
    fleet.answerRest(millisecond(10));
    CHECK_FALSE(fleet.answers.contains(call));
    fleet.reply(fleet.group().send, aggregate(), millisecond(20));
    REQUIRE(fleet.answers.contains(call));
    const CallerAnswer& answer = fleet.answers[call];
    CHECK(answer.status == 200);
    CHECK(answer.missingParts == 1);
    CHECK(answer.body == recordOf('e') + recordOf('d') + recordOf('d') + recordOf('d'));
    // Three signatures of the other host's parts, five of ours.
    CHECK(std::count(answer.partStamps.begin(), answer.partStamps.end(), ',') == 7);
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
    TargetReply empty = aggregate();
    empty.missingParts = 3;
    const Case cases[] = {
        { "not sent", ServeFleet::lost(TargetReply::End::NotSent), 0.75, 200, 0, true },
        { "refused", ServeFleet::refused(), 0.75, 200, 0, true },
        { "broken off, enough without it", ServeFleet::lost(), 0.6, 200, 3, false },
        { "broken off, not enough without it", ServeFleet::lost(), 0.75, 502, 0, false },
        { "failed there", aggregate(502), 0.6, 200, 3, false },
        { "none of them came", empty, 0.6, 200, 3, false },
        { "one of them is missing", aggregate(), 0.75, 200, 1, false },
        { "one of them is missing, and none may", aggregate(), 1, 502, 0, false },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        PartlyAwayFleet fleet(each.minCoverage);
        CallId call = fleet.ask("fan.example", millisecond(0));
        fleet.answerRest(millisecond(5));
        fleet.reply(fleet.group().send, each.reply, millisecond(10));
        CHECK(fleet.sends.size() == (each.askedHere ? 3 : 0));
        fleet.answerRest(millisecond(15));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == each.status);
        CHECK(fleet.answers[call].missingParts == each.missing);
    }
}

TEST_CASE("a call of which another host ran a part is never refused as not run")
{
    // The other host has its three of six shards, four are needed, and every target here refuses.
    PartlyAwayFleet fleet(0.65, 6);
    CallId call = fleet.ask("fan.example", millisecond(0));
    TargetReply all = aggregate();
    all.missingParts = 0;
    fleet.reply(fleet.group().send, all, millisecond(5));
    while (!fleet.sends.empty())
        fleet.reply(fleet.sends.begin()->first, ServeFleet::refused(), millisecond(6));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 502);
}

TEST_CASE("parts that wait for a connection wait on after another host has answered for its own")
{
    PartlyAwayFleet fleet(1);
    fleet.setRoutes({ fanOutRoute(8, 1) }, 1, 2);
    // Three calls take the only connection to each target of the five shards at home.
    for (int i = 0; i < 3; ++i)
        fleet.ask("fan.example", millisecond(0));
    CallId call = fleet.ask("fan.example", millisecond(0));
    SendId own = fleet.sends.rbegin()->first;
    REQUIRE(fleet.sends.at(own).delegation);
    TargetReply all = aggregate();
    all.missingParts = 0;
    fleet.reply(own, all, millisecond(5));
    // A quarter of the objective is over.
    fleet.tick(millisecond(60));
    CHECK_FALSE(fleet.answers.contains(call));
}

TEST_CASE("a call that has enough shards is answered at its objective, and the other host is told to end")
{
    PartlyAwayFleet fleet(0.6);
    CallId call = fleet.ask("fan.example", millisecond(0));
    fleet.engine.acknowledged(fleet.group().send, millisecond(5));
    fleet.answerRest(millisecond(10));
    fleet.tick(millisecond(171));
    CHECK_FALSE(fleet.answers.contains(call));
    fleet.tick(millisecond(172));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].missingParts == 3);
    CHECK(fleet.sends.empty());
}

TEST_CASE("a host asked for some shards counts the others as in, and answers earlier by the time that is spent elsewhere")
{
    PartlyAwayFleet fleet(0.75);
    auto request = std::make_shared<CallerRequest>();
    request->id = "id1";
    request->target = "/q";
    request->host = "fan.example";
    request->patience = std::chrono::seconds(1);
    request->arrivedAt = millisecond(0);
    request->delegation = Delegation { ConfigurationVersion(1), std::chrono::milliseconds(20), { 4, 5, 6 } };
    CallActions actions;
    fleet.engine.begin(CallId(1), request, millisecond(0), actions);
    fleet.take(actions);
    REQUIRE(fleet.sends.size() == 3);
    // One of three is in: two of eight are missing, as many as may.
    fleet.answerRest(millisecond(10), 1);
    fleet.tick(millisecond(151));
    CHECK(fleet.answers.empty());
    fleet.tick(millisecond(152));
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[CallId(1)].status == 200);
    CHECK(fleet.answers[CallId(1)].missingParts == 2);
    // A shard that the route lacks is a fault of the sender.
    auto wrong = std::make_shared<CallerRequest>(*request);
    wrong->delegation->shards = { 8 };
    CallActions refusal;
    fleet.engine.begin(CallId(2), wrong, millisecond(0), refusal);
    REQUIRE(refusal.answers.size() == 1);
    CHECK(refusal.answers[0].answer.status == 400);
}

TEST_CASE("when the index is cut anew, what is given away is of the shards that are in force")
{
    PartlyAwayFleet fleet;
    fleet.ask("fan.example", millisecond(0));
    CHECK(fleet.group().delegation->shards.size() == 3);
    fleet.reply(fleet.group().send, aggregate(), millisecond(5));
    fleet.answerRest(millisecond(5));
    REQUIRE(fleet.sends.empty());
    // Two shards are left, both away; a moment later, so that nothing would be looked up again for its age alone.
    RoutePolicy route = fanOutRoute(2);
    fleet.setRoutes({ route }, 8, 2);
    CallId call = fleet.ask("fan.example", millisecond(10));
    CHECK(fleet.group().delegation->shards == std::vector<std::size_t> {});
    CHECK(fleet.group().delegation->version == ConfigurationVersion(2));
    TargetReply both = aggregate();
    both.missingParts = 0;
    fleet.reply(fleet.group().send, both, millisecond(20));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 200);
}
