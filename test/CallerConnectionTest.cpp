#include "Ports.h"

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <Pimentopoint/Serve>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace pimentopoint;

namespace {

/// A server that answers each request with its method, target and body, and a raw caller.
struct Edge {
    Edge()
    {
        dialect.requestId = "Id";
        dialect.deadline = "Wait";
        limits.headerBytes = 512;
        limits.bodyBytes = 64;
        endpoint = test::freeEndpoint();
        CallerServer::Hooks hooks;
        hooks.request = [this](CallId call, const std::shared_ptr<const CallerRequest>& request) {
            requests.push_back(*request);
            if (request->requestTarget == "/hold")
                return;
            CallerAnswer answer;
            answer.status = 200;
            answer.body = request->method + request->requestTarget + request->body;
            server->answer(call, answer);
        };
        hooks.disconnected = [this](CallId) { ++left; };
        hooks.limits = [this] { return limits; };
        server = std::make_unique<CallerServer>(context, clock, dialect, endpoint, 10, std::move(hooks));
    }

    std::shared_ptr<boost::asio::ip::tcp::socket> connect()
    {
        auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context);
        socket->connect({ boost::asio::ip::make_address_v4(endpoint.address()), endpoint.port() });
        socket->non_blocking(true);
        return socket;
    }

    /// \returns what comes back until \a done holds for it or the connection ends
    std::string talk(boost::asio::ip::tcp::socket& socket, const std::string& text, const std::function<bool(const std::string&)>& done)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        std::string got;
        char bytes[4096];
        for (int turn = 0; turn < 4000 && !done(got); ++turn) {
            context.run_for(std::chrono::milliseconds(1));
            boost::system::error_code error;
            std::size_t size = socket.read_some(boost::asio::buffer(bytes), error);
            got.append(bytes, size);
            if (error && error != boost::asio::error::would_block)
                break;
        }
        return got;
    }

    boost::asio::io_context context { 1 };
    BootClock clock;
    HeaderNames dialect;
    CallerLimits limits;
    Endpoint endpoint;
    std::vector<CallerRequest> requests;
    int left = 0;
    std::unique_ptr<CallerServer> server;
};

bool holds(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("requests on one connection are answered in order, however their bytes arrive")
{
    const std::string first = "GET /a?x=1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";
    const std::string second = "POST /b HTTP/1.1\r\nHost: h\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const std::string third = "POST /c HTTP/1.1\r\nHost: h\r\nId: 3\r\nContent-Length: 2\r\n\r\nxy";
    for (std::size_t piece : { std::size_t(1), std::size_t(7), std::size_t(10000) }) {
        INFO("pieces of " << piece);
        Edge edge;
        auto socket = edge.connect();
        std::string all = first + second + third;
        std::string got;
        for (std::size_t at = 0; at < all.size(); at += piece) {
            bool last = at + piece >= all.size();
            got += edge.talk(*socket, all.substr(at, piece), [&](const std::string& text) { return !last || holds(got + text, "POST/cxy"); });
        }
        CHECK(got.find("GET/a?x=1") < got.find("POST/babcde"));
        CHECK(got.find("POST/babcde") < got.find("POST/cxy"));
        REQUIRE(edge.requests.size() == 3);
        CHECK(edge.requests[1].id == "2");
    }
}

TEST_CASE("what can't be read is refused with its reason and the connection ends")
{
    struct Case {
        const char* name;
        std::string text;
        const char* status;
    };
    const Case cases[] = {
        { "no HTTP", "hello there\r\n\r\n", "400" },
        { "no id", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
        { "two lengths", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400" },
        { "a body too large", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'), "413" },
        { "a chunked body too large", "POST / HTTP/1.1\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + std::string(0x50, 'x') + "\r\n0\r\n\r\n", "413" },
        { "a header too large", "GET / HTTP/1.1\r\nId: 1\r\nX: " + std::string(600, 'x') + "\r\n\r\n", "431" },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        Edge edge;
        auto socket = edge.connect();
        std::string got = edge.talk(*socket, each.text, [](const std::string&) { return false; });
        CHECK(got.substr(0, 12) == std::string("HTTP/1.1 ") + each.status);
        CHECK(holds(got, "Connection: close"));
        CHECK(edge.requests.empty());
    }
}

TEST_CASE("a caller who closes while its request is at work is noticed, also with bytes of the next one read")
{
    for (const char* more : { "", "GET /next HTTP/1.1\r\nId: 2\r\n" }) {
        Edge edge;
        auto socket = edge.connect();
        edge.talk(*socket, std::string("GET /hold HTTP/1.1\r\nId: 1\r\n\r\n") + more, [&](const std::string&) { return edge.requests.size() == 1; });
        REQUIRE(edge.requests.size() == 1);
        socket->close();
        for (int turn = 0; turn < 4000 && !edge.left; ++turn)
            edge.context.run_for(std::chrono::milliseconds(1));
        CHECK(edge.left == 1);
    }
}

TEST_CASE("while a host drains, answers ask the caller to close; idle connections are closed, busy ones are not")
{
    Edge edge;
    auto busy = edge.connect();
    edge.talk(*busy, "GET /hold HTTP/1.1\r\nId: 1\r\n\r\n", [&](const std::string&) { return edge.requests.size() == 1; });
    auto idle = edge.connect();
    auto used = edge.connect();
    edge.server->beginDrain();
    std::string got = edge.talk(*used, "GET /a HTTP/1.1\r\nId: 2\r\n\r\n", [](const std::string&) { return false; });
    CHECK(holds(got, "200"));
    CHECK(holds(got, "Connection: close"));
    edge.server->closeIdle();
    CHECK_FALSE(edge.server->idle());
    CallerAnswer answer;
    answer.status = 200;
    answer.body = "late";
    edge.server->answer(CallId(1), answer);
    CHECK(holds(edge.talk(*busy, "", [](const std::string& text) { return holds(text, "late"); }), "late"));
}

TEST_CASE("a log whose pipe nobody reads never blocks, and counts what it leaves out")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    LineWriter writer(ends[1]);
    const std::string line(1000, 'x');
    constexpr int lines = 2000;
    for (int i = 0; i < lines; ++i)
        writer.write(line);
    CHECK(writer.dropped() > 0);
    CHECK(writer.dropped() < lines);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("settings of an edge are checked as a whole")
{
    const std::string good = "name: n\ndataCentre: a\nlisten: { callers: 127.0.0.1:1, readiness: 127.0.0.1:2, members: 127.0.0.1:3 }\nmembers: []\nplatform: 127.0.0.1:4\n";
    for (std::size_t descriptors : { 64U, 1024U, 4100U, 8192U }) {
        HostSettings each = HostSettings::parse(good + "descriptors: " + std::to_string(descriptors) + "\n", "test");
        INFO(descriptors);
        // Something is left for targets, the platform, members and the log.
        CHECK(each.maxCallerConnections() > 0);
        CHECK(each.maxHostConnections() > 0);
        CHECK(each.maxCallerConnections() + each.maxHostConnections() + std::min<std::size_t>(600, descriptors / 2) <= descriptors);
    }
    HostSettings settings = HostSettings::parse(good + "times: { stop: 8s, news: 5000ms, leaving: 3000ms }\nrepeats: { ratio: 0.2, slack: 56, window: 10s }\n", "test");
    CHECK(settings.stopTimeout == std::chrono::seconds(8));
    CHECK(settings.extraAttemptSlack == 56);
    struct Case {
        const char* name;
        std::string text;
        const char* word;
    };
    const Case cases[] = {
        { "a key nobody knows", good + "colour: red\n", "colour" },
        { "no unit", good + "times: { stop: 8 }\n", "stop" },
        { "a ratio above 1", good + "repeats: { ratio: 2 }\n", "ratio" },
        { "no address", "name: n\ndataCentre: a\nmembers: []\nplatform: here\n", "platform" },
        { "no YAML", "name: [", "" },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        try {
            HostSettings::parse(each.text, "test");
            FAIL("accepted");
        } catch (const Failure& invalid) {
            CHECK(holds(invalid.what(), each.word));
        }
    }
}
