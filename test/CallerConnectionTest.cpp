#include "Ports.h"

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <Pimentopoint/Serve>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace pimentopoint;

namespace {

/// A server that answers each request with its method, target and body, and functions of a raw caller.
struct ServerFixture {
    ServerFixture()
    {
        headerNames.requestId = "Id";
        headerNames.deadline = "Wait";
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
        hooks.disconnected = [this](CallId) { ++disconnects; };
        hooks.limits = [this] { return limits; };
        server = std::make_unique<CallerServer>(context, clock, headerNames, endpoint, 10, std::move(hooks));
    }

    std::shared_ptr<boost::asio::ip::tcp::socket> connect()
    {
        auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context);
        socket->connect({ boost::asio::ip::make_address_v4(endpoint.address()), endpoint.port() });
        socket->non_blocking(true);
        return socket;
    }

    /// Sends \a text; \returns the bytes received until \a done accepts them, the connection ends or the event loop was run 4000 times
    std::string talk(boost::asio::ip::tcp::socket& socket, const std::string& text, const std::function<bool(const std::string&)>& done)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        std::string received;
        char bytes[4096];
        for (int turn = 0; turn < 4000 && !done(received); ++turn) {
            context.run_for(std::chrono::milliseconds(1));
            boost::system::error_code error;
            std::size_t size = socket.read_some(boost::asio::buffer(bytes), error);
            received.append(bytes, size);
            if (error && error != boost::asio::error::would_block)
                break;
        }
        return received;
    }

    boost::asio::io_context context { 1 };
    BootClock clock;
    HeaderNames headerNames;
    CallerLimits limits;
    Endpoint endpoint;
    std::vector<CallerRequest> requests;
    int disconnects = 0;
    std::unique_ptr<CallerServer> server;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("Requests on one connection are answered in order, whatever the pieces in which they arrive")
{
    const std::string first = "GET /a?x=1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";
    const std::string second = "POST /b HTTP/1.1\r\nHost: h\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const std::string third = "POST /c HTTP/1.1\r\nHost: h\r\nId: 3\r\nContent-Length: 2\r\n\r\nxy";
    for (std::size_t piece : { std::size_t(1), std::size_t(7), std::size_t(10000) }) {
        INFO("pieces of " << piece);
        ServerFixture fixture;
        auto socket = fixture.connect();
        std::string all = first + second + third;
        std::string received;
        for (std::size_t at = 0; at < all.size(); at += piece) {
            bool last = at + piece >= all.size();
            received += fixture.talk(*socket, all.substr(at, piece), [&](const std::string& text) { return !last || contains(received + text, "POST/cxy"); });
        }
        CHECK(received.find("GET/a?x=1") < received.find("POST/babcde"));
        CHECK(received.find("POST/babcde") < received.find("POST/cxy"));
        REQUIRE(fixture.requests.size() == 3);
        CHECK(fixture.requests[1].id == "2");
    }
}

TEST_CASE("A malformed or oversized request is rejected with its status, and the connection is closed")
{
    struct Case {
        const char* name;
        std::string text;
        const char* status;
    };
    const Case cases[] = {
        { "not HTTP", "hello there\r\n\r\n", "400" },
        { "no id", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "400" },
        { "two lengths", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400" },
        { "a body too large", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'), "413" },
        { "a body too large that looks like a header", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 65\r\n\r\nX: 1\r\n\r\n" + std::string(57, 'x'), "413" },
        { "a body too large that looks like a header line", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 65\r\n\r\nX: 1\r\n" + std::string(59, 'x'), "413" },
        { "a length that can't be allocated", "POST / HTTP/1.1\r\nId: 1\r\nContent-Length: 4999999999999999999\r\n\r\nhello", "413" },
        { "a chunked body too large", "POST / HTTP/1.1\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + std::string(0x50, 'x') + "\r\n0\r\n\r\n", "413" },
        { "a header too large", "GET / HTTP/1.1\r\nId: 1\r\nX: " + std::string(600, 'x') + "\r\n\r\n", "431" },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        ServerFixture fixture;
        auto socket = fixture.connect();
        std::string received = fixture.talk(*socket, each.text, [](const std::string&) { return false; });
        CHECK(received.substr(0, 12) == std::string("HTTP/1.1 ") + each.status);
        CHECK(contains(received, "Connection: close"));
        CHECK(fixture.requests.empty());
    }
}

// Guards against: a number that can't be converted to a time becomes an arbitrary one.
TEST_CASE("A caller that states no usable time to wait is given the default one")
{
    struct Case {
        const char* value;
        Duration expected;
    };
    constexpr Duration defaultWait = std::chrono::seconds(30);
    for (const Case& each : { Case { "250", std::chrono::milliseconds(250) }, Case { "0.5", std::chrono::microseconds(500) }, Case { "nan", defaultWait }, Case { "-nan", defaultWait }, Case { "inf", defaultWait },
             Case { "-1", defaultWait }, Case { "1e300", defaultWait }, Case { "1e400", defaultWait }, Case { "", defaultWait }, Case { "x", defaultWait } }) {
        INFO("'" << each.value << "'");
        ServerFixture fixture;
        auto socket = fixture.connect();
        fixture.talk(*socket, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nWait: " + std::string(each.value) + "\r\n\r\n", [&](const std::string&) { return !fixture.requests.empty(); });
        REQUIRE(fixture.requests.size() == 1);
        CHECK(fixture.requests[0].timeout == each.expected);
    }
}

TEST_CASE("A caller's disconnect while its request runs is detected, also after bytes of the next request")
{
    for (const char* more : { "", "GET /next HTTP/1.1\r\nId: 2\r\n" }) {
        ServerFixture fixture;
        auto socket = fixture.connect();
        fixture.talk(*socket, std::string("GET /hold HTTP/1.1\r\nId: 1\r\n\r\n") + more, [&](const std::string&) { return fixture.requests.size() == 1; });
        REQUIRE(fixture.requests.size() == 1);
        socket->close();
        for (int turn = 0; turn < 4000 && !fixture.disconnects; ++turn)
            fixture.context.run_for(std::chrono::milliseconds(1));
        CHECK(fixture.disconnects == 1);
    }
}

TEST_CASE("While a host drains, answers ask callers to close, idle connections are closed and busy ones are kept")
{
    ServerFixture fixture;
    auto busy = fixture.connect();
    fixture.talk(*busy, "GET /hold HTTP/1.1\r\nId: 1\r\n\r\n", [&](const std::string&) { return fixture.requests.size() == 1; });
    auto idle = fixture.connect();
    auto used = fixture.connect();
    fixture.server->beginDrain();
    std::string received = fixture.talk(*used, "GET /a HTTP/1.1\r\nId: 2\r\n\r\n", [](const std::string&) { return false; });
    CHECK(contains(received, "200"));
    CHECK(contains(received, "Connection: close"));
    fixture.server->closeIdle();
    CHECK_FALSE(fixture.server->idle());
    CallerAnswer answer;
    answer.status = 200;
    answer.body = "late";
    fixture.server->answer(CallId(1), answer);
    CHECK(contains(fixture.talk(*busy, "", [](const std::string& text) { return contains(text, "late"); }), "late"));
}

TEST_CASE("A log writer whose pipe is not read never blocks and counts the dropped lines")
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

TEST_CASE("Settings of an edge host are checked, and a failure names the wrong key")
{
    const std::string validSettings = "name: n\ndataCentre: a\nlisten: { callers: 127.0.0.1:1, readiness: 127.0.0.1:2, members: 127.0.0.1:3 }\nmembers: []\nplatform: 127.0.0.1:4\n";
    for (std::size_t descriptors : { 64U, 1024U, 4100U, 8192U }) {
        HostSettings each = HostSettings::parse(validSettings + "descriptors: " + std::to_string(descriptors) + "\n", "test");
        INFO(descriptors);
        // Some descriptors are left for targets, the platform, members and the log.
        CHECK(each.maxCallerConnections() > 0);
        CHECK(each.maxHostConnections() > 0);
        CHECK(each.maxCallerConnections() + each.maxHostConnections() + std::min<std::size_t>(600, descriptors / 2) <= descriptors);
    }
    HostSettings settings = HostSettings::parse(validSettings + "times: { stop: 8s, news: 5000ms, leaving: 3000ms }\nrepeats: { ratio: 0.2, slack: 56, window: 10s }\n", "test");
    CHECK(settings.stopTimeout == std::chrono::seconds(8));
    CHECK(settings.extraAttemptSlack == 56);
    struct Case {
        const char* name;
        std::string text;
        const char* key;
    };
    const Case cases[] = {
        { "an unknown key", validSettings + "colour: red\n", "colour" },
        { "no unit", validSettings + "times: { stop: 8 }\n", "stop" },
        { "a ratio above 1", validSettings + "repeats: { ratio: 2 }\n", "ratio" },
        { "no address", "name: n\ndataCentre: a\nmembers: []\nplatform: here\n", "platform" },
        { "not YAML", "name: [", "" },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        try {
            HostSettings::parse(each.text, "test");
            FAIL("accepted");
        } catch (const Failure& invalid) {
            CHECK(contains(invalid.what(), each.key));
        }
    }
}
