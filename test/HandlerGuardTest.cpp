#include "../platform/PlatformNames.h"
#include "../standins/StandinService.h"
#include "Ports.h"

#include <Pimentopoint/Net>
#include <Pimentopoint/Peer>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace pimentopoint;

namespace {

/// An event loop that no exception may leave, and a target that replies to each request.
struct GuardedLoop {
    MemoryBudget memory { std::size_t(64) * 1024 * 1024 };
    boost::asio::io_context context { 1 };
    BootClock clock;
    Metrics metrics;
    Endpoint endpoint = test::freeEndpoint();

    bool until(const std::function<bool()>& condition)
    {
        for (int turns = 0; turns < 5000 && !condition(); ++turns)
            CHECK_NOTHROW(context.run_for(std::chrono::milliseconds(2)));
        return condition();
    }

    static StandinService::Behaviour reply(const CallerRequest&)
    {
        StandinService::Behaviour behaviour;
        behaviour.body = "body";
        return behaviour;
    }

    CallActions::Attempt attempt(std::uint64_t number) const
    {
        auto request = std::make_shared<CallerRequest>();
        request->id = "id" + std::to_string(number);
        request->method = "GET";
        request->requestTarget = "/q";
        request->headers = { { "Host", "h.example" }, { platform::headerNames().requestId, request->id } };
        return { AttemptNumber(number), TargetName("t"), endpoint, request, clock.now() + std::chrono::seconds(5), true };
    }
};

} // namespace

// Guards against: an exception in the handler of one connection ends the process with the requests of all others.
TEST_CASE("An exception in the handler of a target's connection closes that connection only")
{
    GuardedLoop loop;
    StandinService target(loop.context, loop.clock, platform::headerNames(), loop.endpoint, "t", GuardedLoop::reply);
    int replies = 0;
    std::size_t open = 0;
    TargetConnectionPool connections(
        loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory,
        [&](AttemptNumber, const TargetReply&) {
            if (++replies == 1)
                throw std::bad_alloc();
        },
        [&](const TargetName&, std::size_t count) { open = count; });
    connections.send(loop.attempt(1));
    connections.send(loop.attempt(2));
    REQUIRE(loop.until([&] { return replies == 2; }));
    CHECK(loop.until([&] { return open == 1; }));
    connections.send(loop.attempt(3));
    CHECK(loop.until([&] { return replies == 3; }));
}

TEST_CASE("An exception while a caller's request is handled closes its connection only")
{
    GuardedLoop loop;
    int requests = 0;
    int disconnects = 0;
    CallerServer::Hooks hooks;
    std::unique_ptr<CallerServer> server;
    hooks.request = [&](CallId call, const std::shared_ptr<const CallerRequest>& request) {
        ++requests;
        if (request->requestTarget == "/fails")
            throw std::runtime_error("failed");
        CallerAnswer answer;
        answer.status = 200;
        server->answer(call, answer);
    };
    hooks.disconnected = [&](CallId) { ++disconnects; };
    hooks.limits = [] { return CallerLimits(); };
    server = std::make_unique<CallerServer>(loop.context, loop.clock, platform::headerNames(), loop.endpoint, 10, std::move(hooks));
    auto ask = [&](const std::string& path) {
        auto reader = std::make_shared<HttpReader>(loop.context, loop.endpoint);
        reader->setHeaders(platform::headerNames().requestId + ": id\r\n", "h.example");
        std::optional<unsigned> status;
        reader->get(path, std::chrono::seconds(3), [&](const HttpReader::Result& result) { status = result.status; });
        REQUIRE(loop.until([&] { return status.has_value(); }));
        reader->close();
        return *status;
    };
    CHECK(ask("/sound") == 200);
    CHECK(ask("/fails") == 0);
    CHECK(ask("/sound") == 200);
    CHECK(requests == 3);
    CHECK(loop.until([&] { return server->connections() == 0; }));
}

TEST_CASE("An exception in the callback of a reader closes its connection only")
{
    GuardedLoop loop;
    StandinService target(loop.context, loop.clock, platform::headerNames(), loop.endpoint, "t", GuardedLoop::reply);
    auto reader = std::make_shared<HttpReader>(loop.context, loop.endpoint);
    reader->setHeaders(platform::headerNames().requestId + ": id\r\n", "h.example");
    int callbacks = 0;
    auto read = [&] {
        reader->get("/q", std::chrono::seconds(3), [&](const HttpReader::Result& result) {
            CHECK(result.status == 200);
            if (++callbacks == 1)
                throw std::runtime_error("failed");
        });
    };
    read();
    REQUIRE(loop.until([&] { return callbacks == 1; }));
    read();
    CHECK(loop.until([&] { return callbacks == 2; }));
    CHECK(target.requestCount() == 2);
}

TEST_CASE("An exception while a datagram is handled leaves the member socket in use")
{
    GuardedLoop loop;
    auto record = [](const std::string& name, const Endpoint& endpoint) {
        MemberRecord result(MemberName(name), MemberRole::Front, DataCentreName("a"), Incarnation(1));
        result.setEndpoints(endpoint, endpoint, endpoint);
        return result;
    };
    Endpoint otherEndpoint = test::freeEndpoint();
    Membership membership(record("one", loop.endpoint), { otherEndpoint }, MembershipTiming(), 1);
    Membership otherMembership(record("two", otherEndpoint), { loop.endpoint }, MembershipTiming(), 2);
    int changes = 0;
    MemberSocket socket(loop.context, loop.clock, loop.endpoint, membership, { [&] {
                                                                                  if (++changes == 1)
                                                                                      throw std::runtime_error("failed");
                                                                              },
                                                                                 [](const MemberRecord&) {} });
    MemberSocket other(loop.context, loop.clock, otherEndpoint, otherMembership, { [] {}, [](const MemberRecord&) {} });
    auto run = [&](const std::function<bool()>& condition) {
        return loop.until([&] {
            other.tick();
            return condition();
        });
    };
    REQUIRE(run([&] { return changes == 1; }));
    other.leave();
    CHECK(loop.until([&] { return changes == 2; }));
}
