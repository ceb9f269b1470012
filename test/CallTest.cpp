#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

std::string record(char c)
{
    return std::string(recordBytes, c);
}

/// Gives the engine credit for extra attempts by a series of successful calls.
void earnCredit(EngineFixture& fixture, const std::string& host)
{
    for (int i = 0; i < 20; ++i) {
        fixture.sendRequest(host, millisecond(0));
        while (!fixture.attempts.empty()) {
            auto attempt = fixture.attempts.begin()->first;
            fixture.reply(attempt, EngineFixture::ok("x"), millisecond(5));
        }
    }
    fixture.answers.clear();
    fixture.attemptsByTarget.clear();
}

} // namespace

TEST_CASE("A fan-out answers the greatest records of all shards with one signature per shard")
{
    EngineFixture fixture({ fanOutRoute(3) });
    discoverTargets(fixture, 3);
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    REQUIRE(fixture.attempts.size() == 3);
    char letter = 'a';
    for (auto [id, attempt] : std::map(fixture.attempts)) {
        fixture.reply(id, EngineFixture::ok(attempt.target.value(), record(letter) + record(static_cast<char>(letter + 3)) + "rest"), millisecond(5));
        ++letter;
    }
    REQUIRE(fixture.answers.contains(call));
    const CallerAnswer& answer = fixture.answers[call];
    CHECK(answer.status == 200);
    CHECK(answer.missingShards == 0);
    CHECK(answer.body == record('f') + record('e') + record('d') + record('c'));
    CHECK(std::count(answer.subRequestSignatures.begin(), answer.subRequestSignatures.end(), ',') == 2);
}

TEST_CASE("A straggling shard is hedged at another target, and only the first reply is used")
{
    EngineFixture fixture({ fanOutRoute(3) });
    discoverTargets(fixture, 3);
    earnCredit(fixture, "fan.example");
    CallId call = fixture.sendRequest("fan.example", millisecond(100));
    auto straggler = *fixture.attempts.begin();
    for (auto [id, attempt] : std::map(fixture.attempts)) {
        if (id != straggler.first)
            fixture.reply(id, EngineFixture::ok(attempt.target.value()), millisecond(105));
    }
    fixture.tick(millisecond(180));
    REQUIRE(fixture.attempts.size() == 2);
    auto hedge = *fixture.attempts.rbegin();
    CHECK(hedge.second.target != straggler.second.target);
    fixture.reply(hedge.first, EngineFixture::ok("hedge"), millisecond(185));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].missingShards == 0);
    CHECK(fixture.answers[call].subRequestSignatures.find("hedge") != std::string::npos);
    // The reply to the first attempt is no longer needed.
    fixture.reply(straggler.first, EngineFixture::ok("late"), millisecond(190));
    CHECK(fixture.answers.size() == 1);
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
        EngineFixture fixture({ fanOutRoute(4) });
        discoverTargets(fixture, 4, 1);
        CallId call = fixture.sendRequest("fan.example", millisecond(0));
        std::size_t remaining = each.replies;
        for (auto [id, attempt] : std::map(fixture.attempts)) {
            if (remaining-- == 0)
                break;
            fixture.reply(id, EngineFixture::ok(attempt.target.value()), millisecond(5));
        }
        CHECK_FALSE(fixture.answers.contains(call));
        fixture.tick(millisecond(195));
        CHECK(fixture.answers.contains(call) == each.answered);
        if (each.answered)
            CHECK(fixture.answers[call].missingShards == 1);
        fixture.tick(millisecond(1999));
        REQUIRE(fixture.answers.contains(call));
        CHECK(fixture.answers[call].status == (each.answered ? 200 : 504));
    }
}

TEST_CASE("A fan-out that can no longer reach the required coverage is refused at once")
{
    EngineFixture fixture({ fanOutRoute(4) });
    discoverTargets(fixture, 2);
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].status != 200);
}

TEST_CASE("A routing change during a call does not affect the shards of its answer")
{
    EngineFixture fixture({ fanOutRoute(2) });
    discoverTargets(fixture, 4);
    CallId call = fixture.sendRequest("fan.example", millisecond(0));
    RoutePolicy other = fanOutRoute(4);
    other.shards.erase(other.shards.begin(), other.shards.begin() + 2);
    fixture.setRoutes({ other }, 8, 2);
    for (auto [id, attempt] : std::map(fixture.attempts))
        fixture.reply(id, EngineFixture::ok(attempt.target.value()), millisecond(5));
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].subRequestSignatures.find("s0-") != std::string::npos);
    CHECK(fixture.answers[call].subRequestSignatures.find("s2-") == std::string::npos);
    fixture.sendRequest("fan.example", millisecond(10));
    for (const auto& [id, attempt] : fixture.attempts)
        CHECK((attempt.target.value().starts_with("s2") || attempt.target.value().starts_with("s3")));
}

TEST_CASE("A request that is not idempotent is retried only if it certainly did not run")
{
    struct Case {
        const char* name;
        bool idempotent;
        TargetReply reply;
        bool retried;
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
        route.idempotent = each.idempotent;
        EngineFixture fixture({ route });
        for (int i = 1; i <= 3; ++i)
            fixture.pool.put(makeTarget("one", i), millisecond(0));
        earnCredit(fixture, "single.example");
        CallId call = fixture.sendRequest("single.example", millisecond(0));
        fixture.reply(fixture.attempts.begin()->first, each.reply, millisecond(1));
        CHECK(fixture.attempts.size() == (each.retried ? 1 : 0));
        if (!each.retried)
            CHECK(fixture.answers[call].status == each.status);
        // A request that is not idempotent is never hedged either.
        fixture.tick(millisecond(150));
        std::size_t maxAttempts = each.idempotent ? 2 : 1;
        CHECK(fixture.attempts.size() <= maxAttempts);
    }
}

TEST_CASE("A failed call is answered with 503 and a retry delay only if no target may have run it")
{
    for (bool ran : { false, true }) {
        EngineFixture fixture({ singleRoute("one") });
        for (int i = 1; i <= 3; ++i)
            fixture.pool.put(makeTarget("one", i), millisecond(0));
        CallId call = fixture.sendRequest("single.example", millisecond(0));
        while (!fixture.attempts.empty())
            fixture.reply(fixture.attempts.begin()->first, ran ? EngineFixture::lost() : EngineFixture::refused(), millisecond(1));
        REQUIRE(fixture.answers.contains(call));
        CHECK(fixture.answers[call].status == (ran ? 502 : 503));
        CHECK((fixture.answers[call].retryAfter > Duration(0)) == !ran);
    }
}

TEST_CASE("A request is sent to no more targets than its route allows")
{
    RoutePolicy route = singleRoute("one");
    route.maxAttempts = 2;
    EngineFixture fixture({ route });
    for (int i = 1; i <= 6; ++i)
        fixture.pool.put(makeTarget("one", i), millisecond(0));
    earnCredit(fixture, "single.example");
    fixture.sendRequest("single.example", millisecond(0));
    while (!fixture.attempts.empty())
        fixture.reply(fixture.attempts.begin()->first, EngineFixture::refused(), millisecond(1));
    int sum = 0;
    for (const auto& [target, count] : fixture.attemptsByTarget)
        sum += count;
    CHECK(sum == 2);
}

TEST_CASE("Extra attempts stay within the earned fraction of requests when every attempt fails")
{
    EngineFixture fixture({ singleRoute("one") });
    for (int i = 1; i <= 3; ++i)
        fixture.pool.put(makeTarget("one", i), millisecond(0));
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i) {
        fixture.sendRequest("single.example", millisecond(i));
        while (!fixture.attempts.empty())
            fixture.reply(fixture.attempts.begin()->first, EngineFixture::lost(), millisecond(i));
    }
    int sum = 0;
    for (const auto& [target, count] : fixture.attemptsByTarget)
        sum += count;
    CHECK(sum - calls <= static_cast<int>(calls * ExtraAttemptLimits().earnedFraction.value()));
    CHECK(sum > calls);
}

TEST_CASE("Extra attempts of all hosts stay within ratio and slack in any window, also after a time without extra attempts and a restart of half the hosts")
{
    constexpr double ratio = 0.2;
    constexpr int window = 10000;
    for (std::size_t hosts : { 1U, 8U, 60U }) {
        CallLimits limits;
        limits.extraAttempts.slack = 56;
        std::vector<int> requests;
        std::vector<int> extraAttempts;
        for (std::size_t host = 0; host < hosts; ++host) {
            auto fixture = std::make_unique<EngineFixture>(std::vector { singleRoute("one") }, 800, 0, limits);
            int end = 40000;
            for (int time = static_cast<int>(host); time < end; time += 200) {
                // All requests succeed for 20 s, then all are lost; half of the hosts restart at 25 s.
                if (host % 2 && time >= 25000 && time < 25200)
                    fixture = std::make_unique<EngineFixture>(std::vector { singleRoute("one") }, 800, 0, limits);
                if (fixture->attemptsByTarget.empty()) {
                    for (int i = 1; i <= 3; ++i)
                        fixture->pool.put(makeTarget("one", i), millisecond(time));
                    fixture->engine.setHostFractions(1 / static_cast<double>(hosts), 1 / static_cast<double>(hosts));
                }
                fixture->sendRequest("single.example", millisecond(time));
                requests.push_back(time);
                int attempts = 0;
                while (!fixture->attempts.empty()) {
                    ++attempts;
                    fixture->reply(fixture->attempts.begin()->first, time < 20000 ? EngineFixture::ok("x") : EngineFixture::lost(), millisecond(time));
                }
                extraAttempts.insert(extraAttempts.end(), static_cast<std::size_t>(std::max(0, attempts - 1)), time);
            }
        }
        auto within = [](const std::vector<int>& times, int from) { return std::count_if(times.begin(), times.end(), [from](int time) { return time >= from && time < from + window; }); };
        for (int start = 0; start <= 30000; start += 250) {
            INFO(hosts << " hosts, from " << start);
            CHECK(static_cast<double>(within(extraAttempts, start)) <= ratio * static_cast<double>(within(requests, start)) + limits.extraAttempts.slack);
        }
        CHECK_FALSE(extraAttempts.empty());
    }
}

TEST_CASE("A target's failure reaches the caller unchanged, with its signature")
{
    RoutePolicy route = singleRoute("one");
    route.maxAttempts = 1;
    EngineFixture fixture({ route });
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    CallId call = fixture.sendRequest("single.example", millisecond(0));
    TargetReply failure = EngineFixture::ok("stamp", "why");
    failure.status = 500;
    failure.headers.emplace_back("Stamp", "stamp");
    fixture.reply(fixture.attempts.begin()->first, failure, millisecond(1));
    CHECK(fixture.answers[call].status == 500);
    CHECK(fixture.answers[call].body == "why");
    REQUIRE(fixture.answers[call].headers.size() == 1);
}

TEST_CASE("A reply whose status concerns the request itself is returned at once and not retried")
{
    for (unsigned status : { 301U, 400U, 404U, 409U, 413U }) {
        INFO(status);
        EngineFixture fixture({ singleRoute("one"), fanOutRoute(4) });
        for (int i = 1; i <= 3; ++i)
            fixture.pool.put(makeTarget("one", i), millisecond(0));
        discoverTargets(fixture, 4);
        earnCredit(fixture, "single.example");
        earnCredit(fixture, "fan.example");
        TargetReply refusal = EngineFixture::ok("stamp", "no");
        refusal.status = status;
        CallId call = fixture.sendRequest("single.example", millisecond(10));
        fixture.reply(fixture.attempts.begin()->first, refusal, millisecond(11));
        CHECK(fixture.attempts.empty());
        REQUIRE(fixture.answers.contains(call));
        CHECK(fixture.answers[call].status == status);
        CHECK(fixture.answers[call].body == "no");
        fixture.attemptsByTarget.clear();
        fixture.sendRequest("fan.example", millisecond(20));
        fixture.reply(fixture.attempts.begin()->first, refusal, millisecond(21));
        CHECK(fixture.attemptsByTarget.size() == 4);
    }
}

TEST_CASE("A caller's disconnect aborts its outstanding attempts after the release timeout")
{
    EngineFixture fixture({ singleRoute("one") });
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    CallId call = fixture.sendRequest("single.example", millisecond(0));
    fixture.disconnect(call, millisecond(50));
    fixture.tick(millisecond(100));
    CHECK(fixture.attempts.size() == 1);
    fixture.tick(millisecond(50 + 301));
    CHECK(fixture.attempts.empty());
    CHECK(fixture.aborts == 1);
    CHECK(fixture.answers.empty());
}

TEST_CASE("Every call is answered before the caller's deadline and the route's timeout")
{
    for (int timeout : { 300, 5000 }) {
        EngineFixture fixture({ singleRoute("one") });
        fixture.pool.put(makeTarget("one", 1), millisecond(0));
        CallId call = fixture.sendRequest("single.example", millisecond(0), std::chrono::milliseconds(timeout));
        int limit = std::min(timeout, 2000);
        fixture.tick(millisecond(limit - 1));
        REQUIRE(fixture.answers.contains(call));
        CHECK(fixture.answers[call].status == 504);
    }
}

TEST_CASE("Weighted services receive requests in proportion to their weights")
{
    RoutePolicy route = singleRoute("one");
    route.services = { { ServiceName("one"), 3 }, { ServiceName("two"), 1 } };
    EngineFixture fixture({ route });
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    fixture.pool.put(makeTarget("two", 2), millisecond(0));
    for (int i = 0; i < 40; ++i) {
        fixture.sendRequest("single.example", millisecond(i));
        fixture.reply(fixture.attempts.begin()->first, EngineFixture::ok("x"), millisecond(i));
    }
    CHECK(fixture.attemptsByTarget[TargetName("one-1")] == 30);
    CHECK(fixture.attemptsByTarget[TargetName("two-2")] == 10);
}

TEST_CASE("A sub-request without a free connection waits while other sub-requests are outstanding")
{
    // Each target accepts one connection: the second call waits for the shard whose only target is in use.
    EngineFixture fixture({ fanOutRoute(2, 1) }, 1);
    for (int shard = 0; shard < 2; ++shard) {
        for (int replica = 1; replica <= 1 + shard; ++replica)
            fixture.pool.put(makeTarget("s" + std::to_string(shard), replica), millisecond(0));
    }
    CallId first = fixture.sendRequest("fan.example", millisecond(0));
    CallId second = fixture.sendRequest("fan.example", millisecond(0));
    auto reply = [&](const std::string& target, std::int64_t at) {
        for (auto [id, attempt] : std::map(fixture.attempts)) {
            if (attempt.target.value().starts_with(target))
                fixture.reply(id, EngineFixture::ok(attempt.target.value() + std::to_string(at)), millisecond(at));
        }
    };
    reply("s1", 10);
    for (int time = 20; time < 140; time += 20)
        fixture.tick(millisecond(time));
    CHECK(fixture.answers.empty());
    reply("s0", 140);
    reply("s0", 150);
    REQUIRE(fixture.answers.contains(first));
    REQUIRE(fixture.answers.contains(second));
    CHECK(fixture.answers[second].status == 200);
    CHECK(fixture.answers[second].missingShards == 0);
}
