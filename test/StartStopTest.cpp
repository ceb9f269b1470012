#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// An engine without routes.
struct StartingHost {
    Metrics metrics;
    TargetPool pool { DataCentreName("a"), TargetPoolTiming(), 1, [](const TargetName&, std::string_view, std::string_view) {} };
    AggregatorPool aggregators = makeEmptyAggregatorPool();
    std::vector<std::string> reasons;
    CallEngine engine { pool, aggregators, metrics, CallLimits(), [this](const CallRecord& record) { reasons.emplace_back(record.reason); }, RequestQuarantine(1, QuarantineLimits()) };
};

} // namespace

TEST_CASE("A call held during startup is refused no later than half of the caller's timeout")
{
    StartingHost host;
    CallEngine& engine = host.engine;
    auto request = [](int timeout) {
        auto made = std::make_shared<CallerRequest>();
        made->host = "single.example";
        made->requestTarget = "/";
        made->timeout = std::chrono::milliseconds(timeout);
        return made;
    };
    CallActions actions;
    engine.handleRequest(CallId(1), request(5000), millisecond(0), actions);
    engine.handleRequest(CallId(2), request(100), millisecond(0), actions);
    engine.handleRequest(CallId(3), request(5000), millisecond(0), actions);
    REQUIRE(engine.nextWakeup());
    CHECK(*engine.nextWakeup() <= millisecond(50));
    engine.tick(millisecond(50), actions);
    REQUIRE(actions.answers.size() == 1);
    CHECK(actions.answers[0].call == CallId(2));
    // A held call whose caller disconnects is recorded in the log.
    engine.handleCallerDisconnected(CallId(3), millisecond(60), actions);
    CHECK(host.reasons.size() == 2);
    engine.handleShutdown(millisecond(70), actions);
    REQUIRE(actions.answers.size() == 2);
    CHECK(host.reasons.back() == "process is stopping");
}

TEST_CASE("At shutdown calls with the required coverage are answered and the others fail with the reason")
{
    EngineFixture fixture({ fanOutRoute(4), singleRoute("one") });
    discoverTargets(fixture, 4, 1);
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    CallId enough = fixture.sendRequest("fan.example", millisecond(0));
    for (int i = 0; i < 3; ++i)
        fixture.reply(fixture.attempts.begin()->first, EngineFixture::ok("x"), millisecond(5));
    CallId none = fixture.sendRequest("single.example", millisecond(10));
    CallActions actions;
    fixture.engine.handleShutdown(millisecond(20), actions);
    fixture.apply(actions);
    CHECK(fixture.answers[enough].status == 200);
    CHECK(fixture.answers[none].status == 504);
    CHECK(std::count(fixture.reasons.begin(), fixture.reasons.end(), "process is stopping") == 1);
}

TEST_CASE("A host without routes answers 503, an unknown route is answered with 404")
{
    StartingHost host;
    CallEngine& engine = host.engine;
    CallActions actions;
    auto request = std::make_shared<CallerRequest>();
    request->requestTarget = "/";
    engine.handleRequest(CallId(1), request, millisecond(0), actions);
    CHECK(actions.answers.empty());
    engine.tick(millisecond(250), actions);
    REQUIRE(actions.answers.size() == 1);
    CHECK(actions.answers[0].answer.status == 503);
    CHECK(actions.answers[0].answer.retryAfter > Duration(0));
    EngineFixture fixture({ singleRoute("one") });
    CallId call = fixture.sendRequest("other.example", millisecond(0));
    CHECK(fixture.answers[call].status == 404);
}

TEST_CASE("A call held during startup is sent once the routes are known")
{
    StartingHost host;
    CallEngine& engine = host.engine;
    CallActions actions;
    auto request = std::make_shared<CallerRequest>();
    request->host = "single.example";
    request->requestTarget = "/";
    request->timeout = std::chrono::seconds(1);
    engine.handleRequest(CallId(1), request, millisecond(0), actions);
    engine.handleRequest(CallId(2), request, millisecond(0), actions);
    engine.handleCallerDisconnected(CallId(2), millisecond(10), actions);
    RoutingTable::Contents contents;
    contents.routes.push_back(singleRoute("one"));
    engine.setRouting(std::make_shared<const RoutingTable>(std::move(contents)));
    host.pool.put(makeTarget("one", 1), millisecond(40));
    engine.startServing(millisecond(40), actions);
    CHECK(actions.answers.empty());
    CHECK(actions.attempts.size() == 1);
}

TEST_CASE("While a host stops, a call is refused at once if it may not be answered before the end, and served otherwise")
{
    struct Case {
        const char* name;
        const char* host;
        int time; ///< In milliseconds; answers are given until 5,000.
        bool refused;
    };
    // The objective of the routes is 200 ms, their timeout 2 s.
    const Case cases[] = { { "time for the objective", "single.example", 4700, false }, { "less than the objective", "single.example", 4801, true }, { "after the last answers", "single.example", 5100, true },
        { "fan-out, time for the objective", "fan.example", 4700, false }, { "fan-out, less than the objective", "fan.example", 4900, true }, { "not idempotent, time for the timeout", "order.example", 2900, false },
        { "not idempotent, less than the timeout", "order.example", 3001, true } };
    for (const Case& each : cases) {
        INFO(each.name);
        RoutePolicy order = singleRoute("one");
        order.host = "order.example";
        order.idempotent = false;
        EngineFixture fixture({ fanOutRoute(4), singleRoute("one"), order });
        discoverTargets(fixture, 4, 1);
        fixture.pool.put(makeTarget("one", 1), millisecond(0));
        fixture.engine.beginStop(millisecond(5000));
        CallId call = fixture.sendRequest(each.host, millisecond(each.time));
        CHECK(fixture.attempts.empty() == each.refused);
        CHECK(fixture.answers.contains(call) == each.refused);
        if (each.refused)
            CHECK(fixture.answers[call].status == 503);
    }
}
