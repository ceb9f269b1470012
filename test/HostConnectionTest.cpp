#include "../Pimentopoint/src/Net/HttpText.h"
#include "../platform/PlatformNames.h"
#include "Ports.h"

#include <Pimentopoint/Net>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// A delegating host and an aggregator on one event loop.
struct TwoHosts {
    MemoryBudget memory { std::size_t(64) * 1024 * 1024 };
    boost::asio::io_context context { 1 };
    BootClock clock;
    Metrics metrics;
    Endpoint endpoint = test::freeEndpoint();
    std::shared_ptr<const CallerRequest> receivedRequest;
    std::optional<CallId> call;
    int disconnects = 0;
    std::vector<AttemptNumber> acknowledged;
    std::optional<TargetReply> reply;
    CallerServer server { context, clock, platform::headerNames(), endpoint, 8, hooks() };
    TargetConnectionPool connections { context, clock, platform::headerNames(), metrics, memory, [this](AttemptNumber, TargetReply each) { reply = std::move(each); }, [](const TargetName&, std::size_t) {} };

    TwoHosts()
    {
        connections.onAcknowledged([this](AttemptNumber attempt) { acknowledged.push_back(attempt); });
    }

    CallerServer::Hooks hooks()
    {
        CallerServer::Hooks hooks;
        hooks.request = [this](CallId id, std::shared_ptr<const CallerRequest> request) {
            call = id;
            receivedRequest = std::move(request);
        };
        hooks.disconnected = [this](CallId) { ++disconnects; };
        hooks.limits = [] { return CallerLimits(); };
        hooks.acceptsDelegations = true;
        return hooks;
    }

    void send(std::vector<std::size_t> shards)
    {
        auto request = std::make_shared<CallerRequest>();
        request->id = "id1";
        request->method = "GET";
        request->requestTarget = "/q?x=1";
        request->headers = { { "Host", "h.example" }, { platform::headerNames().requestId, request->id }, { "X-Other", "kept" } };
        Delegation delegation { ConfigurationVersion(7), Duration(1234), std::move(shards) };
        connections.send({ AttemptNumber(5), TargetName("other"), endpoint, request, clock.now() + std::chrono::seconds(5), false, std::move(delegation) });
    }

    bool until(const std::function<bool()>& condition)
    {
        for (int turns = 0; turns < 5000 && !condition(); ++turns)
            context.run_for(std::chrono::milliseconds(2));
        return condition();
    }
};

} // namespace

TEST_CASE("A delegated request carries version, time spent and shards; its acknowledgement and merged reply reach the delegating host")
{
    for (bool all : { true, false }) {
        INFO("all shards: " << all);
        TwoHosts hosts;
        hosts.send(all ? std::vector<std::size_t>() : std::vector<std::size_t> { 0, 5, 35 });
        REQUIRE(hosts.until([&] { return !hosts.acknowledged.empty(); }));
        CHECK(hosts.acknowledged == std::vector { AttemptNumber(5) });
        REQUIRE(hosts.receivedRequest->delegation);
        CHECK(hosts.receivedRequest->delegation->version == ConfigurationVersion(7));
        CHECK(hosts.receivedRequest->delegation->elapsed == Duration(1234));
        CHECK(hosts.receivedRequest->delegation->shards.size() == (all ? 0 : 3));
        CHECK(hosts.receivedRequest->requestTarget == "/q?x=1");
        // Only the caller's headers are forwarded to targets.
        CHECK(hosts.receivedRequest->headers.size() == 3);
        CallerAnswer answer;
        answer.status = 200;
        answer.isFanOut = true;
        answer.subRequestSignatures = "a, b";
        answer.missingShards = 1;
        answer.body = "body";
        hosts.server.answer(*hosts.call, answer);
        REQUIRE(hosts.until([&] { return hosts.reply.has_value(); }));
        CHECK(hosts.reply->outcome == TargetReply::ReplyOutcome::Answered);
        CHECK_FALSE(hosts.reply->notRun);
        CHECK(hosts.reply->subRequestSignatures == "a, b");
        CHECK(hosts.reply->missingShards == 1);
        CHECK(hosts.reply->body == "body");
        CHECK(hosts.reply->processingTime >= Duration(0));
    }
}

TEST_CASE("An aggregator's refusal counts as not run, its failure as run, and a success without signatures as lost")
{
    struct Case {
        const char* name;
        unsigned status;
        bool signatures;
        TargetReply::ReplyOutcome outcome;
        bool notRun;
    };
    const Case cases[] = {
        { "refused", 503, false, TargetReply::ReplyOutcome::Answered, true },
        { "failed", 502, false, TargetReply::ReplyOutcome::Answered, false },
        { "no signatures", 200, false, TargetReply::ReplyOutcome::Lost, false },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        TwoHosts hosts;
        hosts.send({ 1 });
        REQUIRE(hosts.until([&] { return hosts.call.has_value(); }));
        CallerAnswer answer;
        answer.status = each.status;
        answer.isFanOut = each.signatures;
        hosts.server.answer(*hosts.call, answer);
        REQUIRE(hosts.until([&] { return hosts.reply.has_value(); }));
        CHECK(hosts.reply->outcome == each.outcome);
        CHECK(hosts.reply->notRun == each.notRun);
    }
}

TEST_CASE("Aborting a delegated request disconnects it at the aggregator and reports no reply")
{
    TwoHosts hosts;
    hosts.send({});
    REQUIRE(hosts.until([&] { return hosts.call.has_value(); }));
    hosts.connections.abort(AttemptNumber(5));
    CHECK(hosts.until([&] { return hosts.disconnects == 1; }));
    CHECK_FALSE(hosts.reply);
}

TEST_CASE("A delegated request with a missing or invalid header is rejected with status 400")
{
    const std::string id = platform::headerNames().requestId + ": id1\r\n";
    for (const char* headers : { "", "Pimentopoint-Version: 7\r\n", "Pimentopoint-Version: x\r\nPimentopoint-Spent: 1\r\n", "Pimentopoint-Version: 7\r\nPimentopoint-Spent: -1\r\n",
             "Pimentopoint-Version: 7\r\nPimentopoint-Spent: 9223372036854775808\r\n",
             "Pimentopoint-Version: 7\r\nPimentopoint-Spent: 1\r\nPimentopoint-Shards: 1,,2\r\n" }) {
        INFO(headers);
        TwoHosts hosts;
        boost::asio::ip::tcp::socket socket(hosts.context);
        socket.connect({ boost::asio::ip::make_address_v4(hosts.endpoint.address()), hosts.endpoint.port() });
        boost::asio::write(socket, boost::asio::buffer("GET /q HTTP/1.1\r\nHost: h\r\n" + id + headers + "\r\n"));
        std::string answer(256, '\0');
        bool done = false;
        socket.async_read_some(boost::asio::buffer(answer), [&](const boost::system::error_code&, std::size_t) { done = true; });
        REQUIRE(hosts.until([&] { return done; }));
        CHECK(answer.starts_with("HTTP/1.1 400 "));
        CHECK_FALSE(hosts.call);
    }
}

TEST_CASE("Lists of numbers are parsed and joined, and malformed lists are rejected")
{
    CHECK(parseNumbers("") == std::vector<std::size_t> {});
    CHECK(parseNumbers("3") == std::vector<std::size_t> { 3 });
    CHECK(parseNumbers("0,12,7") == std::vector<std::size_t> { 0, 12, 7 });
    CHECK(joinNumbers({ 0, 12, 7 }) == "0,12,7");
    for (const char* malformed : { ",", "1,", ",1", "1,,2", "1 ,2", "-1", "x", "99999999999999999999999" })
        CHECK_FALSE(parseNumbers(malformed));
}
