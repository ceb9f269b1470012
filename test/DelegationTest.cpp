#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// A host "self" in data centre "a" with a fan-out route of four shards and one much stronger local host, "big".
struct DelegatingFixture : EngineFixture {
    explicit DelegatingFixture(std::vector<MemberRecord> others = { makeHost("big", "a", 8000) })
        : EngineFixture({ fanOutRoute(4) })
    {
        for (int shard = 0; shard < 4; ++shard) {
            for (int replica = 1; replica <= 3; ++replica)
                pool.put(makeTarget("s" + std::to_string(shard), replica, std::string(1, static_cast<char>('a' + replica - 1))), millisecond(0));
        }
        aggregators.setMembers(others);
    }
    CallActions::Attempt onlyAttempt() const
    {
        REQUIRE(attempts.size() == 1);
        return attempts.begin()->second;
    }
};

} // namespace

TEST_CASE("A delegated call keeps the caller's deadline, and the aggregator's reply is returned unchanged")
{
    DelegatingFixture fixture;
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    CallActions::Attempt attempt = fixture.onlyAttempt();
    REQUIRE(attempt.delegation);
    CHECK(attempt.delegation->version == ConfigurationVersion(1));
    CHECK(attempt.deadline == millisecond(2000));
    fixture.reply(attempt.id, makeAggregateReply(), millisecond(50));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].status == 200);
    CHECK(fixture.answers[call].isFanOut);
    CHECK(fixture.answers[call].subRequestSignatures == "x, y, z");
    CHECK(fixture.answers[call].missingShards == 1);
    CHECK(fixture.answers[call].body == makeRecord('e') + makeRecord('c'));
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
        DelegatingFixture fixture;
        CallId call = fixture.sendRequest("fan.example", millisecond(0));
        fixture.reply(fixture.onlyAttempt().id, each.reply, millisecond(5));
        CHECK(fixture.attempts.size() == (each.status ? 0 : 4));
        CHECK(fixture.answers.contains(call) == (each.status != 0));
        if (each.status)
            CHECK(fixture.answers[call].status == each.status);
        for (auto [id, attempt] : std::map(fixture.attempts)) {
            CHECK_FALSE(attempt.delegation);
            fixture.reply(id, EngineFixture::ok(attempt.target.value()), millisecond(20));
        }
        if (!each.status)
            CHECK(fixture.answers[call].status == 200);
    }
}

TEST_CASE("An aggregator that does not acknowledge fails the call early, one that does gets most of the caller's timeout")
{
    for (bool acknowledges : { false, true }) {
        INFO("acknowledges " << acknowledges);
        DelegatingFixture fixture;
        CallId call = fixture.sendRequest("fan.example", millisecond(0), std::chrono::milliseconds(1200));
        AttemptNumber delegated = fixture.onlyAttempt().id;
        if (acknowledges)
            fixture.engine.handleAcknowledgement(delegated, millisecond(3));
        int givenUpAt = acknowledges ? 1020 : 50;
        fixture.tick(millisecond(givenUpAt - 1));
        CHECK_FALSE(fixture.answers.contains(call));
        fixture.tick(millisecond(givenUpAt));
        REQUIRE(fixture.answers.contains(call));
        CHECK(fixture.answers[call].status == 502);
        CHECK(fixture.attempts.empty());
        // An aggregator that did not acknowledge is avoided.
        fixture.sendRequest("fan.example", millisecond(givenUpAt + 1));
        CHECK(fixture.attempts.size() == (acknowledges ? 1 : 4));
    }
}

TEST_CASE("An acknowledgement after the call was answered has no effect")
{
    DelegatingFixture fixture;
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    AttemptNumber delegated = fixture.onlyAttempt().id;
    fixture.tick(millisecond(50));
    REQUIRE(fixture.answers.contains(call));
    fixture.engine.handleAcknowledgement(delegated, millisecond(51));
    CHECK(fixture.answers.size() == 1);
    CHECK(fixture.attempts.empty());
}

TEST_CASE("A caller's disconnect aborts the delegation at once")
{
    DelegatingFixture fixture;
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    fixture.disconnect(call, millisecond(10));
    CHECK(fixture.attempts.empty());
    CHECK(fixture.aborts == 1);
}

TEST_CASE("A delegated fan-out is accepted only with the same version and below the attempt rate limit, and not delegated again")
{
    CallLimits limits;
    limits.delegationAttemptRate = 100;
    for (bool busy : { false, true }) {
        for (std::uint64_t version : { 1U, 2U }) {
            INFO("busy " << busy << ", version " << version);
            EngineFixture fixture({ fanOutRoute(4) }, 64, 0, limits);
            for (int shard = 0; shard < 4; ++shard)
                fixture.pool.put(makeTarget("s" + std::to_string(shard), 1), millisecond(0));
            fixture.aggregators.setMembers({ makeHost("big", "a", 8000) });
            auto sendRequest = [&](std::uint64_t requestVersion, std::uint64_t id) {
                auto request = std::make_shared<CallerRequest>();
                request->id = "id" + std::to_string(id);
                request->requestTarget = "/q";
                request->host = "fan.example";
                request->timeout = std::chrono::seconds(1);
                request->arrivedAt = millisecond(1000);
                request->delegation = Delegation { ConfigurationVersion(requestVersion), Duration(0), {} };
                CallActions actions;
                fixture.engine.handleRequest(CallId(id), request, millisecond(1000), actions);
                fixture.apply(actions);
            };
            std::uint64_t calls = 0;
            // 26 calls of four attempts each exceed 100 attempts per second.
            while (busy && calls < 26)
                sendRequest(1, ++calls);
            std::size_t before = fixture.attempts.size();
            sendRequest(version, ++calls);
            bool refused = busy || version != 1;
            CHECK(fixture.attempts.size() - before == (refused ? 0 : 4));
            CHECK(fixture.answers.contains(CallId(calls)) == refused);
            if (refused)
                CHECK(fixture.answers[CallId(calls)].status == 503);
            for (const auto& [id, attempt] : fixture.attempts)
                CHECK_FALSE(attempt.delegation);
        }
    }
}

namespace {

/// A fan-out over \a shards shards, the first three of which have no local target; host "b1" is in a data centre that has all.
struct PartlyRemoteFixture : EngineFixture {
    explicit PartlyRemoteFixture(double minCoverage = 0.75, int shards = 8)
        : EngineFixture({ fanOutRoute(static_cast<std::size_t>(shards), minCoverage) })
    {
        for (int shard = 0; shard < shards; ++shard) {
            for (int replica = 1; replica <= 3; ++replica) {
                const char* dataCentres[] = { "b", "c", shard < 3 ? "d" : "a" };
                pool.put(makeTarget("s" + std::to_string(shard), replica, dataCentres[replica - 1]), millisecond(0));
            }
        }
        aggregators.setMembers({ makeHost("b1", "b") });
    }
    CallActions::Attempt delegatedAttempt() const
    {
        auto found = std::find_if(attempts.begin(), attempts.end(), [](const auto& attempt) { return attempt.second.delegation.has_value(); });
        REQUIRE(found != attempts.end());
        return found->second;
    }
    void replyToRest(Instant now, std::size_t maxCount = 100)
    {
        for (auto [id, attempt] : std::map(attempts)) {
            if (attempt.delegation || !maxCount)
                continue;
            --maxCount;
            reply(id, ok(attempt.target.value(), makeRecord('d')), now);
        }
    }
};

} // namespace

TEST_CASE("Remote-only shards are delegated to one remote host, and all replies are merged")
{
    PartlyRemoteFixture fixture;
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    CHECK(fixture.attempts.size() == 1 + 5);
    CHECK(fixture.delegatedAttempt().delegation->shards == std::vector<std::size_t> { 0, 1, 2 });
    fixture.replyToRest(millisecond(10));
    CHECK_FALSE(fixture.answers.contains(call));
    fixture.reply(fixture.delegatedAttempt().id, makeAggregateReply(), millisecond(20));
    REQUIRE(fixture.answers.contains(call));
    const CallerAnswer& answer = fixture.answers[call];
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
        bool runsLocally;
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
        PartlyRemoteFixture fixture(each.minCoverage);
        CallId call = fixture.sendRequest("fan.example", millisecond(0));
        fixture.replyToRest(millisecond(5));
        fixture.reply(fixture.delegatedAttempt().id, each.reply, millisecond(10));
        CHECK(fixture.attempts.size() == (each.runsLocally ? 3 : 0));
        fixture.replyToRest(millisecond(15));
        REQUIRE(fixture.answers.contains(call));
        CHECK(fixture.answers[call].status == each.status);
        CHECK(fixture.answers[call].missingShards == each.missing);
    }
}

TEST_CASE("A call of which an aggregator ran some shards is never refused as not run")
{
    // The aggregator replies for three of six shards, four are needed, and every local target refuses.
    PartlyRemoteFixture fixture(0.65, 6);
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    TargetReply all = makeAggregateReply();
    all.missingShards = 0;
    fixture.reply(fixture.delegatedAttempt().id, all, millisecond(5));
    while (!fixture.attempts.empty())
        fixture.reply(fixture.attempts.begin()->first, EngineFixture::refused(), millisecond(6));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].status == 502);
}

TEST_CASE("Sub-requests that wait for a connection keep waiting after the aggregator has replied")
{
    PartlyRemoteFixture fixture(1);
    fixture.setRoutes({ fanOutRoute(8, 1) }, 1, 2);
    // Three calls use the only connection to each target of the five local shards.
    for (int i = 0; i < 3; ++i)
        fixture.sendRequest("fan.example", millisecond(0));
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    AttemptNumber delegated = fixture.attempts.rbegin()->first;
    REQUIRE(fixture.attempts.at(delegated).delegation);
    TargetReply all = makeAggregateReply();
    all.missingShards = 0;
    fixture.reply(delegated, all, millisecond(5));
    // More than a quarter of the objective has passed.
    fixture.tick(millisecond(60));
    CHECK_FALSE(fixture.answers.contains(call));
}

TEST_CASE("A call with the required coverage is answered at its objective, and the delegation is aborted")
{
    PartlyRemoteFixture fixture(0.6);
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    fixture.engine.handleAcknowledgement(fixture.delegatedAttempt().id, millisecond(5));
    fixture.replyToRest(millisecond(10));
    fixture.tick(millisecond(171));
    CHECK_FALSE(fixture.answers.contains(call));
    fixture.tick(millisecond(172));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].missingShards == 3);
    CHECK(fixture.attempts.empty());
}

TEST_CASE("An aggregator counts shards not delegated to it as covered and replies earlier by the elapsed time")
{
    PartlyRemoteFixture fixture(0.75);
    auto request = std::make_shared<CallerRequest>();
    request->id = "id1";
    request->requestTarget = "/q";
    request->host = "fan.example";
    request->timeout = std::chrono::seconds(1);
    request->arrivedAt = millisecond(0);
    request->delegation = Delegation { ConfigurationVersion(1), std::chrono::milliseconds(20), { 4, 5, 6 } };
    CallActions actions;
    fixture.engine.handleRequest(CallId(1), request, millisecond(0), actions);
    fixture.apply(actions);
    REQUIRE(fixture.attempts.size() == 3);
    // One of the three delegated shards has replied, so two of eight are missing, the most that the coverage allows.
    fixture.replyToRest(millisecond(10), 1);
    fixture.tick(millisecond(151));
    CHECK(fixture.answers.empty());
    fixture.tick(millisecond(152));
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[CallId(1)].status == 200);
    CHECK(fixture.answers[CallId(1)].missingShards == 2);
    // An index that is not in the route is an error of the delegating host.
    auto wrong = std::make_shared<CallerRequest>(*request);
    wrong->delegation->shards = { 8 };
    CallActions refusal;
    fixture.engine.handleRequest(CallId(2), wrong, millisecond(0), refusal);
    REQUIRE(refusal.answers.size() == 1);
    CHECK(refusal.answers[0].answer.status == 400);
}

TEST_CASE("A change of the route's shards refreshes the cached shard availability")
{
    PartlyRemoteFixture fixture;
    fixture.sendRequest("fan.example", millisecond(0));
    CHECK(fixture.delegatedAttempt().delegation->shards.size() == 3);
    fixture.reply(fixture.delegatedAttempt().id, makeAggregateReply(), millisecond(5));
    fixture.replyToRest(millisecond(5));
    REQUIRE(fixture.attempts.empty());
    // The new version has two shards, both remote. The call follows within the cache time of the shard availability.
    RoutePolicy route = fanOutRoute(2);
    fixture.setRoutes({ route }, 8, 2);
    CallId call = fixture.sendRequest("fan.example", millisecond(10));
    CHECK(fixture.delegatedAttempt().delegation->shards == std::vector<std::size_t> {});
    CHECK(fixture.delegatedAttempt().delegation->version == ConfigurationVersion(2));
    TargetReply both = makeAggregateReply();
    both.missingShards = 0;
    fixture.reply(fixture.delegatedAttempt().id, both, millisecond(20));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].status == 200);
}
