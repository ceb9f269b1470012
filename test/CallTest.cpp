#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

std::string record(char c)
{
    return std::string(recordBytes, c);
}

/// Gives the engine credit for extra attempts by a series of successful calls.
void earnCredit(EngineFixture& fleet, const std::string& host)
{
    for (int i = 0; i < 20; ++i) {
        fleet.sendRequest(host, millisecond(0));
        while (!fleet.attempts.empty()) {
            auto send = fleet.attempts.begin()->first;
            fleet.reply(send, EngineFixture::ok("x"), millisecond(5));
        }
    }
    fleet.answers.clear();
    fleet.attemptsByTarget.clear();
}

} // namespace

TEST_CASE("A fan-out answers the greatest records of all shards with one signature per shard")
{
    EngineFixture fleet({ fanOutRoute(3) });
    discoverTargets(fleet, 3);
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    REQUIRE(fleet.attempts.size() == 3);
    char letter = 'a';
    for (auto [id, send] : std::map(fleet.attempts)) {
        fleet.reply(id, EngineFixture::ok(send.target.value(), record(letter) + record(static_cast<char>(letter + 3)) + "rest"), millisecond(5));
        ++letter;
    }
    REQUIRE(fleet.answers.contains(call));
    const CallerAnswer& answer = fleet.answers[call];
    CHECK(answer.status == 200);
    CHECK(answer.missingShards == 0);
    CHECK(answer.body == record('f') + record('e') + record('d') + record('c'));
    CHECK(std::count(answer.subRequestSignatures.begin(), answer.subRequestSignatures.end(), ',') == 2);
}

TEST_CASE("A straggling shard is hedged at another target, and only the first reply is used")
{
    EngineFixture fleet({ fanOutRoute(3) });
    discoverTargets(fleet, 3);
    earnCredit(fleet, "fan.example");
    CallId call = fleet.sendRequest("fan.example", millisecond(100));
    auto late = *fleet.attempts.begin();
    for (auto [id, send] : std::map(fleet.attempts)) {
        if (id != late.first)
            fleet.reply(id, EngineFixture::ok(send.target.value()), millisecond(105));
    }
    fleet.tick(millisecond(180));
    REQUIRE(fleet.attempts.size() == 2);
    auto hedge = *fleet.attempts.rbegin();
    CHECK(hedge.second.target != late.second.target);
    fleet.reply(hedge.first, EngineFixture::ok("hedge"), millisecond(185));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].missingShards == 0);
    CHECK(fleet.answers[call].subRequestSignatures.find("hedge") != std::string::npos);
    // The reply to the first attempt is no longer needed.
    fleet.reply(late.first, EngineFixture::ok("late"), millisecond(190));
    CHECK(fleet.answers.size() == 1);
}

TEST_CASE("A fan-out with the required coverage is answered before its objective, one below it waits until the deadline")
{
    struct Case {
        const char* name;
        std::size_t replies;
        bool answered;
    };
    for (const Case& each : { Case { "three of four", 3, true }, Case { "two of four", 2, false } }) {
        INFO(each.name);
        EngineFixture fleet({ fanOutRoute(4) });
        discoverTargets(fleet, 4, 1);
        CallId call = fleet.sendRequest("fan.example", millisecond(0));
        std::size_t left = each.replies;
        for (auto [id, send] : std::map(fleet.attempts)) {
            if (left-- == 0)
                break;
            fleet.reply(id, EngineFixture::ok(send.target.value()), millisecond(5));
        }
        CHECK_FALSE(fleet.answers.contains(call));
        fleet.tick(millisecond(195));
        CHECK(fleet.answers.contains(call) == each.answered);
        if (each.answered)
            CHECK(fleet.answers[call].missingShards == 1);
        fleet.tick(millisecond(1999));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == (each.answered ? 200 : 504));
    }
}

TEST_CASE("A fan-out that can no longer reach the required coverage is refused at once")
{
    EngineFixture fleet({ fanOutRoute(4) });
    discoverTargets(fleet, 2);
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status != 200);
}

TEST_CASE("A routing change during a call does not affect the shards of its answer")
{
    EngineFixture fleet({ fanOutRoute(2) });
    discoverTargets(fleet, 4);
    CallId call = fleet.sendRequest("fan.example", millisecond(0));
    RoutePolicy other = fanOutRoute(4);
    other.shards.erase(other.shards.begin(), other.shards.begin() + 2);
    fleet.setRoutes({ other }, 8, 2);
    for (auto [id, send] : std::map(fleet.attempts))
        fleet.reply(id, EngineFixture::ok(send.target.value()), millisecond(5));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].subRequestSignatures.find("s0-") != std::string::npos);
    CHECK(fleet.answers[call].subRequestSignatures.find("s2-") == std::string::npos);
    fleet.sendRequest("fan.example", millisecond(10));
    for (const auto& [id, send] : fleet.attempts)
        CHECK((send.target.value().starts_with("s2") || send.target.value().starts_with("s3")));
}

TEST_CASE("A request that is not idempotent is retried only if it certainly did not run")
{
    struct Case {
        const char* name;
        bool repeatable;
        TargetReply reply;
        bool sentAgain;
        unsigned status;
    };
    const Case cases[] = {
        { "lost, not idempotent", false, EngineFixture::lost(), false, 502 },
        { "lost, idempotent", true, EngineFixture::lost(), true, 0 },
        { "not sent, not idempotent", false, EngineFixture::lost(TargetReply::ReplyOutcome::NotSent), true, 0 },
        { "refused, not idempotent", false, EngineFixture::refused(), true, 0 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        RoutePolicy route = singleRoute("one");
        route.idempotent = each.repeatable;
        EngineFixture fleet({ route });
        for (int i = 1; i <= 3; ++i)
            fleet.pool.put(makeTarget("one", i), millisecond(0));
        earnCredit(fleet, "single.example");
        CallId call = fleet.sendRequest("single.example", millisecond(0));
        fleet.reply(fleet.attempts.begin()->first, each.reply, millisecond(1));
        CHECK(fleet.attempts.size() == (each.sentAgain ? 1 : 0));
        if (!each.sentAgain)
            CHECK(fleet.answers[call].status == each.status);
        // A request that is not idempotent is never hedged either.
        fleet.tick(millisecond(150));
        std::size_t most = each.repeatable ? 2 : 1;
        CHECK(fleet.attempts.size() <= most);
    }
}

TEST_CASE("A failed call is answered with 503 and a retry delay only if no target may have run it")
{
    for (bool ran : { false, true }) {
        EngineFixture fleet({ singleRoute("one") });
        for (int i = 1; i <= 3; ++i)
            fleet.pool.put(makeTarget("one", i), millisecond(0));
        CallId call = fleet.sendRequest("single.example", millisecond(0));
        while (!fleet.attempts.empty())
            fleet.reply(fleet.attempts.begin()->first, ran ? EngineFixture::lost() : EngineFixture::refused(), millisecond(1));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == (ran ? 502 : 503));
        CHECK((fleet.answers[call].retryAfter > Duration(0)) == !ran);
    }
}

TEST_CASE("A request is sent to no more targets than its route allows")
{
    RoutePolicy route = singleRoute("one");
    route.maxAttempts = 2;
    EngineFixture fleet({ route });
    for (int i = 1; i <= 6; ++i)
        fleet.pool.put(makeTarget("one", i), millisecond(0));
    earnCredit(fleet, "single.example");
    fleet.sendRequest("single.example", millisecond(0));
    while (!fleet.attempts.empty())
        fleet.reply(fleet.attempts.begin()->first, EngineFixture::refused(), millisecond(1));
    int sum = 0;
    for (const auto& [target, count] : fleet.attemptsByTarget)
        sum += count;
    CHECK(sum == 2);
}

TEST_CASE("Extra attempts stay within the earned fraction of requests when every attempt fails")
{
    EngineFixture fleet({ singleRoute("one") });
    for (int i = 1; i <= 3; ++i)
        fleet.pool.put(makeTarget("one", i), millisecond(0));
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i) {
        fleet.sendRequest("single.example", millisecond(i));
        while (!fleet.attempts.empty())
            fleet.reply(fleet.attempts.begin()->first, EngineFixture::lost(), millisecond(i));
    }
    int sum = 0;
    for (const auto& [target, count] : fleet.attemptsByTarget)
        sum += count;
    CHECK(sum - calls <= static_cast<int>(calls * ExtraAttemptLimits().earnedFraction.value()));
    CHECK(sum > calls);
}

TEST_CASE("Extra attempts of all hosts stay within ratio and slack in any window, also after an idle budget and a restart of half the hosts")
{
    constexpr double ratio = 0.2;
    constexpr int window = 10000;
    for (std::size_t hosts : { 1U, 8U, 60U }) {
        CallLimits limits;
        limits.extraAttempts.slack = 56;
        std::vector<int> requests;
        std::vector<int> repeats;
        for (std::size_t host = 0; host < hosts; ++host) {
            auto fleet = std::make_unique<EngineFixture>(std::vector { singleRoute("one") }, 800, 0, limits);
            int end = 40000;
            for (int time = static_cast<int>(host); time < end; time += 200) {
                // All requests succeed for 20 s, then all are lost; half of the hosts restart at 25 s.
                if (host % 2 && time >= 25000 && time < 25200)
                    fleet = std::make_unique<EngineFixture>(std::vector { singleRoute("one") }, 800, 0, limits);
                if (fleet->attemptsByTarget.empty()) {
                    for (int i = 1; i <= 3; ++i)
                        fleet->pool.put(makeTarget("one", i), millisecond(time));
                    fleet->engine.setHostFractions(1 / static_cast<double>(hosts), 1 / static_cast<double>(hosts));
                }
                fleet->sendRequest("single.example", millisecond(time));
                requests.push_back(time);
                int sends = 0;
                while (!fleet->attempts.empty()) {
                    ++sends;
                    fleet->reply(fleet->attempts.begin()->first, time < 20000 ? EngineFixture::ok("x") : EngineFixture::lost(), millisecond(time));
                }
                repeats.insert(repeats.end(), static_cast<std::size_t>(std::max(0, sends - 1)), time);
            }
        }
        auto within = [](const std::vector<int>& times, int from) { return std::count_if(times.begin(), times.end(), [from](int time) { return time >= from && time < from + window; }); };
        for (int start = 0; start <= 30000; start += 250) {
            INFO(hosts << " hosts, from " << start);
            CHECK(static_cast<double>(within(repeats, start)) <= ratio * static_cast<double>(within(requests, start)) + limits.extraAttempts.slack);
        }
        CHECK_FALSE(repeats.empty());
    }
}

TEST_CASE("A target's failure reaches the caller unchanged, with its signature")
{
    RoutePolicy route = singleRoute("one");
    route.maxAttempts = 1;
    EngineFixture fleet({ route });
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    CallId call = fleet.sendRequest("single.example", millisecond(0));
    TargetReply failure = EngineFixture::ok("stamp", "why");
    failure.status = 500;
    failure.headers.emplace_back("Stamp", "stamp");
    fleet.reply(fleet.attempts.begin()->first, failure, millisecond(1));
    CHECK(fleet.answers[call].status == 500);
    CHECK(fleet.answers[call].body == "why");
    REQUIRE(fleet.answers[call].headers.size() == 1);
}

TEST_CASE("A reply whose status concerns the request itself is returned at once and not retried")
{
    for (unsigned status : { 301U, 400U, 404U, 409U, 413U }) {
        INFO(status);
        EngineFixture fleet({ singleRoute("one"), fanOutRoute(4) });
        for (int i = 1; i <= 3; ++i)
            fleet.pool.put(makeTarget("one", i), millisecond(0));
        discoverTargets(fleet, 4);
        earnCredit(fleet, "single.example");
        earnCredit(fleet, "fan.example");
        TargetReply refusal = EngineFixture::ok("stamp", "no");
        refusal.status = status;
        CallId call = fleet.sendRequest("single.example", millisecond(10));
        fleet.reply(fleet.attempts.begin()->first, refusal, millisecond(11));
        CHECK(fleet.attempts.empty());
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == status);
        CHECK(fleet.answers[call].body == "no");
        fleet.attemptsByTarget.clear();
        fleet.sendRequest("fan.example", millisecond(20));
        fleet.reply(fleet.attempts.begin()->first, refusal, millisecond(21));
        CHECK(fleet.attemptsByTarget.size() == 4);
    }
}

TEST_CASE("A caller's disconnect aborts its outstanding attempts after the release timeout")
{
    EngineFixture fleet({ singleRoute("one") });
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    CallId call = fleet.sendRequest("single.example", millisecond(0));
    fleet.disconnect(call, millisecond(50));
    fleet.tick(millisecond(100));
    CHECK(fleet.attempts.size() == 1);
    fleet.tick(millisecond(50 + 301));
    CHECK(fleet.attempts.empty());
    CHECK(fleet.aborts == 1);
    CHECK(fleet.answers.empty());
}

TEST_CASE("Every call is answered before the caller's deadline and the route's timeout")
{
    for (int patience : { 300, 5000 }) {
        EngineFixture fleet({ singleRoute("one") });
        fleet.pool.put(makeTarget("one", 1), millisecond(0));
        CallId call = fleet.sendRequest("single.example", millisecond(0), std::chrono::milliseconds(patience));
        int limit = std::min(patience, 2000);
        fleet.tick(millisecond(limit - 1));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == 504);
    }
}

TEST_CASE("Weighted services receive requests in proportion to their weights")
{
    RoutePolicy route = singleRoute("one");
    route.services = { { ServiceName("one"), 3 }, { ServiceName("two"), 1 } };
    EngineFixture fleet({ route });
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    fleet.pool.put(makeTarget("two", 2), millisecond(0));
    for (int i = 0; i < 40; ++i) {
        fleet.sendRequest("single.example", millisecond(i));
        fleet.reply(fleet.attempts.begin()->first, EngineFixture::ok("x"), millisecond(i));
    }
    CHECK(fleet.attemptsByTarget[TargetName("one-1")] == 30);
    CHECK(fleet.attemptsByTarget[TargetName("two-2")] == 10);
}

TEST_CASE("A sub-request without a free connection waits while other sub-requests are outstanding")
{
    // Each target accepts one connection: the second call waits for the shard whose only target is in use.
    EngineFixture fleet({ fanOutRoute(2, 1) }, 1);
    for (int shard = 0; shard < 2; ++shard) {
        for (int replica = 1; replica <= 1 + shard; ++replica)
            fleet.pool.put(makeTarget("s" + std::to_string(shard), replica), millisecond(0));
    }
    CallId first = fleet.sendRequest("fan.example", millisecond(0));
    CallId second = fleet.sendRequest("fan.example", millisecond(0));
    auto reply = [&](const std::string& target, std::int64_t at) {
        for (auto [id, send] : std::map(fleet.attempts)) {
            if (send.target.value().starts_with(target))
                fleet.reply(id, EngineFixture::ok(send.target.value() + std::to_string(at)), millisecond(at));
        }
    };
    reply("s1", 10);
    for (int time = 20; time < 140; time += 20)
        fleet.tick(millisecond(time));
    CHECK(fleet.answers.empty());
    reply("s0", 140);
    reply("s0", 150);
    REQUIRE(fleet.answers.contains(first));
    REQUIRE(fleet.answers.contains(second));
    CHECK(fleet.answers[second].status == 200);
    CHECK(fleet.answers[second].missingShards == 0);
}
