#include "../platform/PlatformNames.h"
#include "../standins/StandinService.h"
#include "../standins/StandinStore.h"
#include "ChildProcess.h"
#include "Ports.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace pimentopoint;

namespace {

const std::string loopback = "127.0.0.1";

std::uint16_t freePort() { return test::freeEndpoint().port(); }

/// Links, targets and a store on one loop, run by the test itself.
struct Loop {
    boost::asio::io_context context { 1 };
    BootClock clock;
    Metrics metrics;

    /// Runs until \a condition holds; \returns whether it did before the test is given up
    bool until(const std::function<bool()>& condition)
    {
        constexpr auto giveUp = std::chrono::seconds(20);
        auto end = std::chrono::steady_clock::now() + giveUp;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_for(std::chrono::milliseconds(2));
        return condition();
    }
};

/// A raw server: answers the first bytes of each connection with a fixed text, then closes, resets or stays.
class RawServer {
public:
    enum class Then { Stay,
        Close,
        Reset };
    RawServer(Loop& loop, std::uint16_t port, std::string text, Then then)
        : m_acceptor(listenOn(loop.context, Endpoint(loopback, port)))
        , m_text(std::move(text))
        , m_then(then)
    {
        accept();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            auto held = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
            auto bytes = std::make_shared<std::string>(4096, '\0');
            held->async_read_some(boost::asio::buffer(*bytes), [this, held, bytes](const boost::system::error_code&, std::size_t) {
                boost::system::error_code ignored;
                boost::asio::write(*held, boost::asio::buffer(m_text), ignored);
                if (m_then == Then::Stay) {
                    m_held.push_back(held);
                    return;
                }
                if (m_then == Then::Reset)
                    held->set_option(boost::asio::socket_base::linger(true, 0), ignored);
                held->close(ignored);
            });
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_text;
    Then m_then;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_held;
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

std::string answerText(const std::string& extra, const std::string& body, const std::string& id = "id1")
{
    const HeaderNames& dialect = platform::headerNames();
    return "HTTP/1.1 200 OK\r\n" + dialect.requestId + ": " + id + "\r\n" + dialect.signature + ": s\r\n" + extra + "\r\n" + body;
}

} // namespace

TEST_CASE("a target's answer counts only if it is whole, signed and of this request")
{
    using Then = RawServer::Then;
    using ReplyOutcome = TargetReply::ReplyOutcome;
    struct Case {
        const char* name;
        std::string text;
        Then then;
        ReplyOutcome end;
    };
    const Case cases[] = {
        { "with a length", answerText("Content-Length: 2\r\n", "ok"), Then::Stay, ReplyOutcome::Answered },
        { "in chunks", answerText("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), Then::Stay, ReplyOutcome::Answered },
        { "ended by the connection", answerText("", "ok"), Then::Close, ReplyOutcome::Answered },
        { "without a length and reset", answerText("", "ok"), Then::Reset, ReplyOutcome::Lost },
        { "cut", answerText("Content-Length: 20\r\n", "ok"), Then::Close, ReplyOutcome::Lost },
        { "no HTTP", "\x01\x02 nonsense\r\n\r\n", Then::Stay, ReplyOutcome::Lost },
        { "of another request", answerText("Content-Length: 2\r\n", "ok", "id9"), Then::Stay, ReplyOutcome::Lost },
        { "without signature", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Then::Stay, ReplyOutcome::Lost },
        { "encoded", answerText("Content-Encoding: gzip\r\nContent-Length: 2\r\n", "ok"), Then::Stay, ReplyOutcome::Lost },
        { "closed without a byte", "", Then::Close, ReplyOutcome::Lost },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        Loop loop;
        std::uint16_t port = freePort();
        RawServer server(loop, port, each.text, each.then);
        std::optional<TargetReply> reply;
        TargetConnectionPool links(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, [&](AttemptNumber, TargetReply got) { reply = std::move(got); }, [](const TargetName&, std::size_t) {});
        links.send(sendTo(Endpoint(loopback, port), loop.clock));
        REQUIRE(loop.until([&] { return reply.has_value(); }));
        CHECK(reply->outcome == each.end);
        if (each.end == ReplyOutcome::Answered)
            CHECK(reply->body == "ok");
    }
}

TEST_CASE("bytes after a whole answer end the connection; a whole answer keeps it")
{
    for (bool extra : { false, true }) {
        Loop loop;
        std::uint16_t port = freePort();
        RawServer server(loop, port, answerText("Content-Length: 2\r\n", extra ? "ok" + answerText("Content-Length: 2\r\n", "no") : "ok"), RawServer::Then::Stay);
        std::size_t open = 0;
        int replies = 0;
        TargetConnectionPool links(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, [&](AttemptNumber, const TargetReply&) { ++replies; }, [&](const TargetName&, std::size_t left) { open = left; });
        links.send(sendTo(Endpoint(loopback, port), loop.clock));
        REQUIRE(loop.until([&] { return replies == 1; }));
        CHECK(loop.until([&] { return open == (extra ? 0 : 1); }));
        CHECK(replies == 1);
    }
}

TEST_CASE("a target that nobody serves got nothing for certain")
{
    Loop loop;
    std::optional<TargetReply> reply;
    TargetConnectionPool links(
        loop.context, loop.clock, platform::headerNames(), loop.metrics, [&](AttemptNumber, TargetReply got) { reply = std::move(got); }, [](const TargetName&, std::size_t) {});
    links.send(sendTo(Endpoint(loopback, freePort()), loop.clock));
    REQUIRE(loop.until([&] { return reply.has_value(); }));
    CHECK(reply->outcome == TargetReply::ReplyOutcome::NotSent);
}

TEST_CASE("each connection to a target is counted once when it opens and once when it ends, however it ends")
{
    struct Case {
        const char* name;
        bool listening;
        bool ahead; ///< Opened ahead of need, not by a send.
        bool aborted; ///< Before anything came back.
    };
    const Case cases[] = { { "refused, by a send", false, false, false }, { "refused, ahead", false, true, false }, { "refused after an abort", false, false, true },
        { "aborted at work", true, false, true }, { "answered and kept", true, false, false }, { "kept ahead", true, true, false } };
    for (const Case& each : cases) {
        INFO(each.name);
        Loop loop;
        std::uint16_t port = freePort();
        std::optional<RawServer> server;
        if (each.listening)
            server.emplace(loop, port, answerText("Content-Length: 2\r\n", "ok"), RawServer::Then::Stay);
        std::vector<std::size_t> counts;
        TargetConnectionPool links(
            loop.context, loop.clock, platform::headerNames(), loop.metrics, [](AttemptNumber, const TargetReply&) {}, [&](const TargetName&, std::size_t open) { counts.push_back(open); });
        if (each.ahead)
            links.open(TargetName("t"), Endpoint(loopback, port));
        else
            links.send(sendTo(Endpoint(loopback, port), loop.clock));
        if (each.aborted)
            links.abort(AttemptNumber(1));
        // Longer than a connection attempt may take.
        loop.context.run_for(std::chrono::milliseconds(500));
        bool kept = each.listening && !each.aborted;
        std::vector<std::size_t> wanted = kept ? std::vector<std::size_t> { 1 } : std::vector<std::size_t> { 1, 0 };
        CHECK(counts == wanted);
        // An idle connection that is no longer fresh ends once as well.
        links.closeExpired(loop.clock.now() + std::chrono::minutes(1));
        links.closeExpired(loop.clock.now() + std::chrono::minutes(1));
        CHECK(counts == std::vector<std::size_t> { 1, 0 });
    }
}

TEST_CASE("a connection attempt that is given up in the same turn as it times out ends once")
{
    Loop loop;
    std::uint16_t port = freePort();
    using boost::asio::ip::tcp;
    // Nobody accepts here, and the queue is full: further attempts hang.
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
    TargetConnectionPool links(
        loop.context, loop.clock, platform::headerNames(), loop.metrics, [](AttemptNumber, const TargetReply&) {}, [&](const TargetName&, std::size_t open) { counts.push_back(open); });
    links.send(sendTo(Endpoint(loopback, port), loop.clock, 1));
    links.send(sendTo(Endpoint(loopback, port), loop.clock, 2));
    loop.context.poll();
    // Both attempts time out while nothing runs; the first one's end is handled, the second one's is due.
    std::this_thread::sleep_for(std::chrono::milliseconds(450));
    loop.context.poll_one();
    links.abort(AttemptNumber(2));
    loop.context.run_for(std::chrono::milliseconds(50));
    CHECK(counts == std::vector<std::size_t> { 1, 2, 1, 0 });
}

TEST_CASE("an edge serves, notices a caller who leaves, and stops without cutting a request")
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
        behaviour.takes = slow ? Duration(std::chrono::milliseconds(700)) : Duration(0);
        return behaviour;
    });
    target.keepRequests();
    nlohmann::json entry = { { "service", "s" }, { "address", loopback + ":" + std::to_string(targetPort) }, { "zone", "a" }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 } };
    nlohmann::json configuration = { { "version", 1 }, { "services", { { { "name", "s" }, { "max_connections", 26 } } } },
        { "routes", { { { "name", "r" }, { "host", "h.example" }, { "prefix", "/r/" }, { "kind", "non_idempotent" }, { "timeout_ms", 3000 }, { "goal_ms", 500 }, { "service", "s" }, { "max_attempts", 1 } } } },
        { "limits", { { "header_bytes", 16384 }, { "body_bytes", 65536 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    std::string settings = "name: edge-1\ndataCentre: a\nlisten:\n  callers: 127.0.0.1:" + std::to_string(callerPort) + "\n  readiness: 127.0.0.1:" + std::to_string(freePort())
        + "\n  members: 127.0.0.1:" + std::to_string(freePort()) + "\nmembers: []\nplatform: 127.0.0.1:" + std::to_string(storePort) + "\n";
    ChildProcess edge("pimentopoint-edge", settings);
    auto ask = [&](const std::string& path, const std::string& id) {
        auto caller = std::make_shared<HttpReader>(loop.context, Endpoint(loopback, callerPort));
        caller->setHeaders(platform::headerNames().requestId + ": " + id + "\r\n" + platform::headerNames().deadline + ": 2500\r\n", "h.example");
        auto result = std::make_shared<std::optional<HttpReader::Result>>();
        caller->get(path, std::chrono::seconds(5), [caller, result](const HttpReader::Result& got) { *result = got; });
        return result;
    };
    auto answered = [&](const std::string& path, const std::string& id) {
        auto result = ask(path, id);
        REQUIRE(loop.until([&] { store.tick(); return result->has_value(); }));
        return **result;
    };
    // Before it knows any route it refuses as not run, with a time to come back.
    REQUIRE(loop.until([&] { return answered("/r/x", "early").status != 0; }));
    CHECK(answered("/r/x", "early2").status == 503);
    store.put("op/config", configuration.dump());
    store.put("servers/t", entry.dump());
    REQUIRE(loop.until([&] { return answered("/r/x", "first").status == 200; }));
    CHECK(answered("/r/x?y=1", "second").body == "body");
    CHECK(target.requests().back().requestTarget == "/r/x?y=1");
    CHECK(answered("/none", "third").status == 404);
    // A forged entry names no target and harms no other.
    store.put("servers/forged", "{\"service\":\"s\"}");
    CHECK(answered("/r/x", "fourth").status == 200);
    // A caller who leaves: the target is freed.
    slow = true;
    {
        std::uint64_t before = target.arrivals();
        auto socket = std::make_shared<boost::asio::ip::tcp::socket>(loop.context);
        socket->connect({ boost::asio::ip::make_address_v4(loopback), callerPort });
        std::string text = "POST /r/x HTTP/1.1\r\nHost: h.example\r\n" + platform::headerNames().requestId + ": leaver\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        boost::asio::write(*socket, boost::asio::buffer(text));
        REQUIRE(loop.until([&] { store.tick(); return target.arrivals() > before; }));
        CHECK(target.requests().back().body == "abc");
        socket->close();
        CHECK(loop.until([&] { store.tick(); return target.callersLeft() > 0; }));
    }
    // The store is away: what is known serves on.
    store.setFault(StandinStore::Fault::Silent);
    slow = false;
    CHECK(answered("/r/x", "fifth").status == 200);
    store.setFault(StandinStore::Fault::None);
    // A request at work when the signal comes is answered.
    slow = true;
    std::uint64_t before = target.arrivals();
    auto last = ask("/r/x", "last");
    REQUIRE(loop.until([&] { store.tick(); return target.arrivals() > before; }));
    edge.signal(SIGTERM);
    REQUIRE(loop.until([&] { store.tick(); return last->has_value(); }));
    CHECK((*last)->status == 200);
    CHECK(edge.waitForExit() == 0);
}
