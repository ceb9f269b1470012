#include "../platform/PlatformNames.h"
#include "../standins/StandinService.h"
#include "../standins/StandinStore.h"
#include "ChildProcess.h"
#include "OddEntries.h"
#include "Ports.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace pimentopoint;

namespace {

const std::string loopback = "127.0.0.1";

std::uint16_t freePort() { return test::freeEndpoint().port(); }

/// Event loop for connections, targets and a store, run by the test itself.
struct Loop {
    MemoryBudget memory { std::size_t(64) * 1024 * 1024 };
    boost::asio::io_context context { 1 };
    BootClock clock;
    Metrics metrics;

    /// Runs until \a condition holds or 20 s have passed; \returns whether it holds
    bool until(const std::function<bool()>& condition)
    {
        constexpr auto giveUp = std::chrono::seconds(20);
        auto end = std::chrono::steady_clock::now() + giveUp;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_for(std::chrono::milliseconds(2));
        return condition();
    }
};

/// A raw server: answers the first bytes of each connection with a fixed text, then closes or resets the connection or keeps it open.
class RawServer {
public:
    enum class AfterReply { Stay,
        Close,
        Reset };
    RawServer(Loop& loop, std::uint16_t port, std::string text, AfterReply afterReply)
        : m_acceptor(listenOn(loop.context, Endpoint(loopback, port)))
        , m_text(std::move(text))
        , m_afterReply(afterReply)
    {
        accept();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            auto connection = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
            auto bytes = std::make_shared<std::string>(4096, '\0');
            connection->async_read_some(boost::asio::buffer(*bytes), [this, connection, bytes](const boost::system::error_code&, std::size_t) {
                boost::system::error_code ignored;
                boost::asio::write(*connection, boost::asio::buffer(m_text), ignored);
                if (m_afterReply == AfterReply::Stay) {
                    m_open.push_back(connection);
                    return;
                }
                if (m_afterReply == AfterReply::Reset)
                    connection->set_option(boost::asio::socket_base::linger(true, 0), ignored);
                connection->close(ignored);
            });
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_text;
    AfterReply m_afterReply;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_open;
};

CallActions::Attempt sendTo(const Endpoint& endpoint, const Clock& clock, std::uint64_t number = 1)
{
    auto request = std::make_shared<CallerRequest>();
    request->id = "id" + std::to_string(number);
    request->method = "GET";
    request->requestTarget = "/q?x=1";
    request->headers = { { "Host", "h.example" }, { platform::headerNames().requestId, request->id } };
    return { AttemptNumber(number), TargetName("t"), endpoint, request, clock.now() + std::chrono::seconds(5), true };
}

std::string replyText(const std::string& extra, const std::string& body, const std::string& id = "id1")
{
    const HeaderNames& headerNames = platform::headerNames();
    return "HTTP/1.1 200 OK\r\n" + headerNames.requestId + ": " + id + "\r\n" + headerNames.signature + ": s\r\n" + extra + "\r\n" + body;
}

} // namespace

TEST_CASE("A target's reply is accepted only if it is complete, signed and to this request")
{
    using AfterReply = RawServer::AfterReply;
    using ReplyOutcome = TargetReply::ReplyOutcome;
    struct Case {
        const char* name;
        std::string text;
        AfterReply afterReply;
        ReplyOutcome outcome;
    };
    const Case cases[] = {
        { "with a length", replyText("Content-Length: 2\r\n", "ok"), AfterReply::Stay, ReplyOutcome::Answered },
        { "in chunks", replyText("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), AfterReply::Stay, ReplyOutcome::Answered },
        { "ended by the connection", replyText("", "ok"), AfterReply::Close, ReplyOutcome::Answered },
        { "without a length and reset", replyText("", "ok"), AfterReply::Reset, ReplyOutcome::Lost },
        { "cut", replyText("Content-Length: 20\r\n", "ok"), AfterReply::Close, ReplyOutcome::Lost },
        { "not HTTP", "\x01\x02 nonsense\r\n\r\n", AfterReply::Stay, ReplyOutcome::Lost },
        { "to another request", replyText("Content-Length: 2\r\n", "ok", "id9"), AfterReply::Stay, ReplyOutcome::Lost },
        { "without signature", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", AfterReply::Stay, ReplyOutcome::Lost },
        { "encoded", replyText("Content-Encoding: gzip\r\nContent-Length: 2\r\n", "ok"), AfterReply::Stay, ReplyOutcome::Lost },
        { "cut within the status line", "HTTP/1.1 20", AfterReply::Close, ReplyOutcome::Lost },
        { "cut after the status line", "HTTP/1.1 200 OK\r\n", AfterReply::Close, ReplyOutcome::Lost },
        { "cut within a header line", replyText("Content-Len", "").substr(0, replyText("Content-Len", "").size() - 2), AfterReply::Close, ReplyOutcome::Lost },
        { "cut before the empty line", replyText("Content-Length: 2\r\n", "").substr(0, replyText("Content-Length: 2\r\n", "").size() - 2), AfterReply::Close, ReplyOutcome::Lost },
        { "cut before the empty line, without a length", replyText("", "").substr(0, replyText("", "").size() - 2), AfterReply::Close, ReplyOutcome::Lost },
        { "cut within a length of chunks", replyText("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0"), AfterReply::Close, ReplyOutcome::Lost },
        { "closed without a byte", "", AfterReply::Close, ReplyOutcome::Lost },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        Loop loop;
        std::uint16_t port = freePort();
        RawServer server(loop, port, each.text, each.afterReply);
        std::optional<TargetReply> reply;
        TargetConnectionPool connections(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory, [&](AttemptNumber, TargetReply received) { reply = std::move(received); }, [](const TargetName&, std::size_t) {});
        connections.send(sendTo(Endpoint(loopback, port), loop.clock));
        REQUIRE(loop.until([&] { return reply.has_value(); }));
        CHECK(reply->outcome == each.outcome);
        if (each.outcome == ReplyOutcome::Answered)
            CHECK(reply->body == "ok");
    }
}

TEST_CASE("What a target states of itself is read from its reply")
{
    struct Case {
        const char* name;
        const char* status;
        std::string headers;
        std::optional<double> rateLimit;
        bool leaving;
        std::optional<Duration> retryAfter;
    };
    const std::string limit = platform::headerNames().rateLimit;
    const std::string leaving = platform::headerNames().leaving;
    const Case cases[] = {
        { "nothing", "200 OK", "", std::nullopt, false, std::nullopt },
        { "a limit", "200 OK", limit + ": 31.9\r\n", 31.9, false, std::nullopt },
        { "a limit of 0", "500 Failed", limit + ": 0\r\n", 0, false, std::nullopt },
        { "limits that are no decimal numbers", "200 OK", limit + ": 1e999\r\n", std::nullopt, false, std::nullopt },
        { "a negative limit", "200 OK", limit + ": -1\r\n", std::nullopt, false, std::nullopt },
        { "a limit that is not a number", "200 OK", limit + ": nan\r\n", std::nullopt, false, std::nullopt },
        { "that it stops", "200 OK", leaving + ": 1\r\n", std::nullopt, true, std::nullopt },
        { "that it does not stop", "200 OK", leaving + ": 0\r\n", std::nullopt, false, std::nullopt },
        { "a retry time in a refusal", "503 Unavailable", "Retry-After: 1.5\r\n", std::nullopt, false, Duration(std::chrono::milliseconds(1500)) },
        { "a retry time in a success", "200 OK", "Retry-After: 1.5\r\n", std::nullopt, false, std::nullopt },
        { "a date to retry at", "503 Unavailable", "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", std::nullopt, false, std::nullopt },
        { "an endless retry time", "503 Unavailable", "Retry-After: 1e300\r\n", std::nullopt, false, Duration(std::chrono::hours(1)) },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        Loop loop;
        std::uint16_t port = freePort();
        std::string text = replyText(each.headers + "Content-Length: 2\r\n", "ok");
        text.replace(text.find("200 OK"), std::string("200 OK").size(), each.status);
        RawServer server(loop, port, text, RawServer::AfterReply::Stay);
        std::optional<TargetReply> reply;
        TargetConnectionPool connections(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory, [&](AttemptNumber, TargetReply received) { reply = std::move(received); }, [](const TargetName&, std::size_t) {});
        connections.send(sendTo(Endpoint(loopback, port), loop.clock));
        REQUIRE(loop.until([&] { return reply.has_value(); }));
        CHECK(reply->outcome == TargetReply::ReplyOutcome::Answered);
        CHECK(reply->rateLimit == each.rateLimit);
        CHECK(reply->leaving == each.leaving);
        CHECK(reply->retryAfter == each.retryAfter);
    }
}

TEST_CASE("A complete reply keeps the connection open, and further bytes after it close the connection")
{
    for (bool extra : { false, true }) {
        Loop loop;
        std::uint16_t port = freePort();
        RawServer server(loop, port, replyText("Content-Length: 2\r\n", extra ? "ok" + replyText("Content-Length: 2\r\n", "no") : "ok"), RawServer::AfterReply::Stay);
        std::size_t open = 0;
        int replies = 0;
        TargetConnectionPool connections(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory, [&](AttemptNumber, const TargetReply&) { ++replies; }, [&](const TargetName&, std::size_t left) { open = left; });
        connections.send(sendTo(Endpoint(loopback, port), loop.clock));
        REQUIRE(loop.until([&] { return replies == 1; }));
        CHECK(loop.until([&] { return open == (extra ? 0 : 1); }));
        CHECK(replies == 1);
    }
}

TEST_CASE("A request to an address that is not listening is reported as not sent")
{
    Loop loop;
    std::optional<TargetReply> reply;
    TargetConnectionPool connections(
        loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory, [&](AttemptNumber, TargetReply received) { reply = std::move(received); }, [](const TargetName&, std::size_t) {});
    connections.send(sendTo(Endpoint(loopback, freePort()), loop.clock));
    REQUIRE(loop.until([&] { return reply.has_value(); }));
    CHECK(reply->outcome == TargetReply::ReplyOutcome::NotSent);
}

TEST_CASE("Each connection to a target is counted once when it opens and once when it ends, whatever ends it")
{
    struct Case {
        const char* name;
        bool listening;
        bool preconnected; ///< The connection is opened before a request needs it.
        bool aborted; ///< The request is aborted before any bytes are received.
    };
    const Case cases[] = { { "refused, by a request", false, false, false }, { "refused, preconnected", false, true, false }, { "refused after an abort", false, false, true },
        { "aborted in flight", true, false, true }, { "answered and kept", true, false, false }, { "preconnected and kept", true, true, false } };
    for (const Case& each : cases) {
        INFO(each.name);
        Loop loop;
        std::uint16_t port = freePort();
        std::optional<RawServer> server;
        if (each.listening)
            server.emplace(loop, port, replyText("Content-Length: 2\r\n", "ok"), RawServer::AfterReply::Stay);
        std::vector<std::size_t> counts;
        TargetConnectionPool connections(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory, [](AttemptNumber, const TargetReply&) {}, [&](const TargetName&, std::size_t open) { counts.push_back(open); });
        if (each.preconnected)
            connections.open(TargetName("t"), Endpoint(loopback, port));
        else
            connections.send(sendTo(Endpoint(loopback, port), loop.clock));
        if (each.aborted)
            connections.abort(AttemptNumber(1));
        // Longer than the connect timeout.
        loop.context.run_for(std::chrono::milliseconds(500));
        bool kept = each.listening && !each.aborted;
        std::vector<std::size_t> expected = kept ? std::vector<std::size_t> { 1 } : std::vector<std::size_t> { 1, 0 };
        CHECK(counts == expected);
        // An idle connection that has expired ends once as well.
        connections.closeExpired(loop.clock.now() + std::chrono::minutes(1));
        connections.closeExpired(loop.clock.now() + std::chrono::minutes(1));
        CHECK(counts == std::vector<std::size_t> { 1, 0 });
    }
}

TEST_CASE("A connection attempt that is aborted after its timeout is due but not yet handled ends once")
{
    Loop loop;
    std::uint16_t port = freePort();
    using boost::asio::ip::tcp;
    // The connections are never accepted and the queue is full: further connection attempts hang.
    tcp::acceptor acceptor(loop.context);
    tcp::endpoint endpoint(boost::asio::ip::make_address_v4(loopback), port);
    acceptor.open(tcp::v4());
    acceptor.bind(endpoint);
    acceptor.listen(0);
    std::vector<tcp::socket> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.emplace_back(loop.context);
        fillers.back().async_connect(endpoint, [](const boost::system::error_code&) {});
    }
    loop.context.run_for(std::chrono::milliseconds(50));
    std::vector<std::size_t> counts;
    TargetConnectionPool connections(
        loop.context, loop.clock, platform::headerNames(), loop.metrics, loop.memory, [](AttemptNumber, const TargetReply&) {}, [&](const TargetName&, std::size_t open) { counts.push_back(open); });
    connections.send(sendTo(Endpoint(loopback, port), loop.clock, 1));
    connections.send(sendTo(Endpoint(loopback, port), loop.clock, 2));
    loop.context.poll();
    // Both connection attempts time out while the loop is not run; the first timeout is handled, the second one is due.
    std::this_thread::sleep_for(std::chrono::milliseconds(450));
    loop.context.poll_one();
    connections.abort(AttemptNumber(2));
    loop.context.run_for(std::chrono::milliseconds(50));
    CHECK(counts == std::vector<std::size_t> { 1, 2, 1, 0 });
}

TEST_CASE("An edge host serves requests, detects a caller's disconnect and answers requests in flight before it stops")
{
    Loop loop;
    std::uint16_t storePort = freePort();
    std::uint16_t targetPort = freePort();
    std::uint16_t callerPort = freePort();
    StandinStore store(loop.context, loop.clock, Endpoint(loopback, storePort));
    bool slow = false;
    StandinService target(loop.context, loop.clock, platform::headerNames(), Endpoint(loopback, targetPort), "t", [&](const CallerRequest&) {
        StandinService::Behaviour behaviour;
        behaviour.body = "body";
        behaviour.serviceTime = slow ? Duration(std::chrono::milliseconds(700)) : Duration(0);
        return behaviour;
    });
    target.recordRequests();
    nlohmann::json entry = { { "service", "s" }, { "address", loopback + ":" + std::to_string(targetPort) }, { "zone", "a" }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 } };
    nlohmann::json configuration = { { "version", 1 }, { "services", { { { "name", "s" }, { "max_connections", 26 } } } },
        { "routes", { { { "name", "r" }, { "host", "h.example" }, { "prefix", "/r/" }, { "kind", "non_idempotent" }, { "timeout_ms", 3000 }, { "goal_ms", 500 }, { "service", "s" }, { "max_attempts", 1 } } } },
        { "limits", { { "header_bytes", 16384 }, { "body_bytes", 65536 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    std::string settings = "name: edge-1\ndataCentre: a\nlisten:\n  callers: 127.0.0.1:" + std::to_string(callerPort) + "\n  readiness: 127.0.0.1:" + std::to_string(freePort())
        + "\n  members: 127.0.0.1:" + std::to_string(freePort()) + "\nmembers: []\nplatform: 127.0.0.1:" + std::to_string(storePort) + "\n";
    ChildProcess edge("pimentopoint-edge", settings);
    auto startRequest = [&](const std::string& path, const std::string& id) {
        auto caller = std::make_shared<HttpReader>(loop.context, Endpoint(loopback, callerPort));
        caller->setHeaders(platform::headerNames().requestId + ": " + id + "\r\n" + platform::headerNames().deadline + ": 2500\r\n", "h.example");
        auto result = std::make_shared<std::optional<HttpReader::Result>>();
        caller->get(path, std::chrono::seconds(5), [caller, result](const HttpReader::Result& received) { *result = received; });
        return result;
    };
    auto requestAndWait = [&](const std::string& path, const std::string& id) {
        auto result = startRequest(path, id);
        REQUIRE(loop.until([&] { store.tick(); return result->has_value(); }));
        return **result;
    };
    // Before the host has read any route, it refuses requests as not run and states when to retry.
    REQUIRE(loop.until([&] { return requestAndWait("/r/x", "early").status != 0; }));
    CHECK(requestAndWait("/r/x", "early2").status == 503);
    store.put("op/config", configuration.dump());
    store.put("servers/t", entry.dump());
    REQUIRE(loop.until([&] { return requestAndWait("/r/x", "first").status == 200; }));
    CHECK(requestAndWait("/r/x?y=1", "second").body == "body");
    CHECK(target.requests().back().requestTarget == "/r/x?y=1");
    CHECK(requestAndWait("/none", "third").status == 404);
    // An invalid entry defines no target and does not affect the others.
    store.put("servers/forged", "{\"service\":\"s\"}");
    CHECK(requestAndWait("/r/x", "fourth").status == 200);
    // Nor do entries with extreme values; a later configuration is followed.
    int oddCount = 0;
    for (const auto& [name, value] : oddEntries(entry))
        store.put("servers/odd-" + std::to_string(++oddCount), value);
    configuration["version"] = 2;
    configuration["routes"].push_back(configuration["routes"][0]);
    configuration["routes"][1]["name"] = "later";
    configuration["routes"][1]["prefix"] = "/later/";
    store.put("op/config", configuration.dump());
    REQUIRE(loop.until([&] { return requestAndWait("/later/x", "later").status == 200; }));
    CHECK(requestAndWait("/r/x", "afterOdd").status == 200);
    // A caller disconnects: its request is aborted at the target.
    slow = true;
    {
        std::uint64_t before = target.requestCount();
        auto socket = std::make_shared<boost::asio::ip::tcp::socket>(loop.context);
        socket->connect({ boost::asio::ip::make_address_v4(loopback), callerPort });
        std::string text = "POST /r/x HTTP/1.1\r\nHost: h.example\r\n" + platform::headerNames().requestId + ": leaver\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        boost::asio::write(*socket, boost::asio::buffer(text));
        REQUIRE(loop.until([&] { store.tick(); return target.requestCount() > before; }));
        CHECK(target.requests().back().body == "abc");
        socket->close();
        CHECK(loop.until([&] { store.tick(); return target.callerDisconnects() > 0; }));
    }
    // The store is unresponsive: the host serves with its known state.
    store.setFault(StandinStore::Fault::Unresponsive);
    slow = false;
    CHECK(requestAndWait("/r/x", "fifth").status == 200);
    store.setFault(StandinStore::Fault::None);
    // A request in flight at the time of the signal is answered.
    slow = true;
    std::uint64_t before = target.requestCount();
    auto last = startRequest("/r/x", "last");
    REQUIRE(loop.until([&] { store.tick(); return target.requestCount() > before; }));
    edge.signal(SIGTERM);
    REQUIRE(loop.until([&] { store.tick(); return last->has_value(); }));
    CHECK((*last)->status == 200);
    CHECK(edge.waitForExit() == 0);
}
