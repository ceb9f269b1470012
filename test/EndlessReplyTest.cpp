#include "../platform/PlatformNames.h"
#include "../standins/StandinService.h"
#include "../standins/StandinStore.h"
#include "ChildProcess.h"
#include "Ports.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace pimentopoint;

namespace {

/// A target that answers each request with the same bytes, followed by a block that it sends again and again until the connection is closed.
class FloodingTarget {
public:
    FloodingTarget(boost::asio::io_context& context, const Endpoint& endpoint, std::string start, std::string block)
        : m_acceptor(listenOn(context, endpoint))
        , m_start(std::move(start))
        , m_block(std::move(block))
    {
        accept();
    }

    std::uint64_t requestCount() const { return m_requestCount; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& error, Socket accepted) {
            if (error)
                return;
            auto socket = std::make_shared<Socket>(std::move(accepted));
            serve(socket);
            accept();
        });
    }

    void serve(const std::shared_ptr<Socket>& socket)
    {
        auto request = std::make_shared<std::string>(4096, '\0');
        socket->async_read_some(boost::asio::buffer(*request), [this, socket, request](const boost::system::error_code& failed, std::size_t) {
            if (failed)
                return;
            ++m_requestCount;
            send(socket, m_start);
        });
    }

    void send(const std::shared_ptr<Socket>& socket, const std::string& bytes)
    {
        boost::asio::async_write(*socket, boost::asio::buffer(bytes), [this, socket](const boost::system::error_code& failed, std::size_t) {
            if (failed)
                return;
            if (m_block.empty())
                serve(socket);
            else
                send(socket, m_block);
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_start;
    std::string m_block;
    std::uint64_t m_requestCount = 0;
};

std::string replyHead(const std::string& headers)
{
    return "HTTP/1.1 200 OK\r\n" + platform::headerNames().signature + ": s\r\n" + headers;
}

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

constexpr std::chrono::milliseconds floodTime(1500);
/// Time for which a large reply is on its way.
constexpr std::chrono::milliseconds replyTime(30);

/// What the targets of the service "faulty" do, and who calls it.
struct Flood {
    std::string start; ///< Sent in reply to each request.
    std::string block; ///< Sent after it again and again; empty: nothing.
    std::size_t callers = 4; ///< Number of callers, each with one request at a time.
    std::size_t silentCallers = 0; ///< Number of callers that do not read their answers.
    std::size_t shards = 0; ///< Number of services over which requests fan out; 0: it is a single service.
    bool hasSilentShard = false; ///< Whether the targets of the first shard do not reply at all.
};

/// An edge process whose service "sound" has a target without faults and whose service "faulty" has a flooding one.
class EdgeBesideFlood {
public:
    explicit EdgeBesideFlood(const Flood& flood)
        : m_flood(m_context, m_floodEndpoint, flood.start, flood.block)
    {
        addTarget("sound", "sound", m_soundEndpoint);
        nlohmann::json services { service("sound"), service("faulty") };
        nlohmann::json faultyRoute = route("faulty");
        if (!flood.shards)
            addTarget("faulty", "faulty", m_floodEndpoint);
        else
            faultyRoute.erase("service");
        for (std::size_t i = 0; i < flood.shards; ++i) {
            std::string name = "shard" + std::to_string(i);
            services.push_back(service(name));
            faultyRoute["fanout"].push_back(name);
            for (const char* replica : { "a", "b", "c" })
                addTarget(name + replica, name, flood.hasSilentShard && !i ? m_silentEndpoint : m_floodEndpoint);
        }
        if (flood.shards) {
            faultyRoute["top_k"] = 10;
            faultyRoute["min_coverage"] = 0.5;
        }
        nlohmann::json configuration { { "version", 1 }, { "services", services }, { "routes", { route("sound"), faultyRoute } },
            { "limits", { { "header_bytes", 16384 }, { "body_bytes", 65536 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
        m_store.put("op/config", configuration.dump());
    }

    /// Runs until \a condition holds or \a timeout has passed; \returns whether it holds
    bool until(const std::function<bool()>& condition, std::chrono::milliseconds timeout = std::chrono::seconds(20))
    {
        auto end = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_store.tick();
            m_context.run_for(std::chrono::milliseconds(2));
        }
        return condition();
    }

    void runFor(std::chrono::milliseconds time)
    {
        until([] { return false; }, time);
    }

    /// Sends requests to \a service one after the other over one connection from now on; counts the statuses of their answers.
    void startCaller(const std::string& service)
    {
        m_callers.push_back(std::make_shared<HttpReader>(m_context, m_callerEndpoint));
        sendNext(service, m_callers.back());
    }

    /// Sends \a count requests to the flooding target, one after the other and each over a connection whose answer is never read.
    void startSilentCallers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto& socket = m_silentCallers.emplace_back(m_context);
            socket.connect({ boost::asio::ip::make_address_v4(m_callerEndpoint.address()), m_callerEndpoint.port() });
            boost::asio::write(socket, boost::asio::buffer("GET /faulty/q HTTP/1.1\r\nHost: h.example\r\n" + platform::headerNames().requestId + ": silent" + std::to_string(i) + "\r\n\r\n"));
            runFor(replyTime);
        }
    }

    /// \returns the number of answers with \a status to requests to \a service; status 0 counts requests that ended without an answer
    std::uint64_t answers(const std::string& service, unsigned status) const
    {
        auto found = m_answers.find({ service, status });
        return found == m_answers.end() ? 0 : found->second;
    }

    std::uint64_t floodedRequests() const { return m_flood.requestCount(); }
    std::optional<int> exitCode() { return m_edge.exitCode(); }
    double peakMegabytes() const { return m_edge.peakMegabytes(); }

private:
    static nlohmann::json route(const std::string& service)
    {
        return { { "name", service }, { "host", "h.example" }, { "prefix", "/" + service + "/" }, { "kind", "idempotent" }, { "timeout_ms", 5000 }, { "goal_ms", 800 }, { "service", service }, { "max_attempts", 1 } };
    }

    static nlohmann::json service(const std::string& name) { return { { "name", name }, { "max_connections", 1000 } }; }

    static StandinService::Behaviour answerSoundly(const CallerRequest&)
    {
        StandinService::Behaviour behaviour;
        behaviour.body = "records";
        behaviour.serviceTime = std::chrono::milliseconds(20);
        return behaviour;
    }

    void addTarget(const std::string& name, const std::string& service, const Endpoint& endpoint)
    {
        nlohmann::json entry { { "service", service }, { "address", endpoint.text() }, { "zone", "a" }, { "version", "v1" }, { "slots", 500 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 } };
        m_store.put("servers/" + name, entry.dump());
    }

    void sendNext(const std::string& service, const std::shared_ptr<HttpReader>& caller)
    {
        caller->setHeaders(platform::headerNames().requestId + ": id" + std::to_string(++m_requests) + "\r\n" + platform::headerNames().deadline + ": 5000\r\n", "h.example");
        caller->get("/" + service + "/q", std::chrono::seconds(6), [this, service, caller](const HttpReader::Result& result) {
            ++m_answers[{ service, result.status }];
            // Posted, since the reader must not start a request within its callback.
            boost::asio::post(m_context, [this, service, caller] { sendNext(service, caller); });
        });
    }

    std::string settings() const
    {
        return "name: edge-1\ndataCentre: a\nlisten:\n  callers: " + m_callerEndpoint.text() + "\n  readiness: " + test::freeEndpoint().text() + "\n  members: " + test::freeEndpoint().text()
            + "\nmembers: []\nplatform: " + m_storeEndpoint.text() + "\n";
    }

    boost::asio::io_context m_context { 1 };
    BootClock m_clock;
    Endpoint m_storeEndpoint = test::freeEndpoint();
    Endpoint m_soundEndpoint = test::freeEndpoint();
    Endpoint m_floodEndpoint = test::freeEndpoint();
    Endpoint m_silentEndpoint = test::freeEndpoint();
    Endpoint m_callerEndpoint = test::freeEndpoint();
    StandinStore m_store { m_context, m_clock, m_storeEndpoint };
    StandinService m_sound { m_context, m_clock, platform::headerNames(), m_soundEndpoint, "sound", answerSoundly };
    FloodingTarget m_flood;
    FloodingTarget m_silent { m_context, m_silentEndpoint, "", "" };
    ChildProcess m_edge { "pimentopoint-edge", settings() };
    std::vector<std::shared_ptr<HttpReader>> m_callers;
    std::vector<boost::asio::ip::tcp::socket> m_silentCallers;
    std::map<std::pair<std::string, unsigned>, std::uint64_t> m_answers;
    std::uint64_t m_requests = 0;
};

/// Memory that an edge process uses at most if its settings don't state any.
constexpr double defaultMemoryMegabytes = 128;

/// Plays a flooding target beside a sound one and checks that only the callers of the flooding one notice.
void checkFlood(const Flood& flood)
{
    EdgeBesideFlood edge(flood);
    for (int i = 0; i < 4; ++i)
        edge.startCaller("sound");
    REQUIRE(edge.until([&] { return edge.answers("sound", 200) >= 4; }));
    std::uint64_t lostBefore = edge.answers("sound", 0);
    for (std::size_t i = 0; i < flood.callers; ++i) {
        edge.startCaller("faulty");
        if (flood.hasSilentShard)
            edge.runFor(replyTime);
    }
    edge.startSilentCallers(flood.silentCallers);
    REQUIRE(edge.until([&] { return edge.floodedRequests() > 0; }));
    std::uint64_t servedBefore = edge.answers("sound", 200);
    std::optional<int> exitCode;
    edge.until(
        [&] {
            exitCode = edge.exitCode();
            return exitCode.has_value();
        },
        floodTime);
    CHECK_FALSE(exitCode);
    CHECK(edge.answers("sound", 0) == lostBefore);
    CHECK(edge.answers("sound", 200) > servedBefore);
    // Sanitizers keep freed memory and add their own.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    CHECK(edge.peakMegabytes() < defaultMemoryMegabytes);
#endif
}

constexpr std::size_t blockBytes = std::size_t(64) * 1024;

} // namespace

// Guards against: one reply with a stated length that can't be allocated ends the process with all requests in progress.
TEST_CASE("A reply that states a length above the limit is lost alone, and its process goes on")
{
    for (const char* length : { "4999999999999999999", "18446744073709551615", "4000000000", "9000000" }) {
        INFO("Content-Length: " << length);
        // The first bytes of the body arrive with the head.
        checkFlood({ replyHead("Content-Length: " + std::string(length) + "\r\n\r\nhello"), std::string(blockBytes, 'x') });
    }
}

// Guards against: bytes that no limit counts fill the memory of the process until it is killed.
TEST_CASE("A reply that never ends is lost alone, whichever part of it goes on")
{
    struct Case {
        const char* name;
        std::string start;
        std::string block;
    };
    const std::string chunked = replyHead("Transfer-Encoding: chunked\r\n\r\n");
    const std::string filler(blockBytes, 'x');
    const Case cases[] = {
        { "a chunk header", chunked + "5;", filler },
        { "a trailer", chunked + "5\r\nhello\r\n0\r\nX-Checksum: ", filler },
        { "many trailers", chunked + "5\r\nhello\r\n0\r\n", repeated("X-Checksum: 1\r\n", blockBytes) },
        { "chunks of one byte with long headers", chunked, repeated("1;" + std::string(1000, 'x') + "\r\na\r\n", blockBytes) },
        { "a header field", replyHead("X-Field: "), filler },
        { "many header fields", replyHead(""), repeated("X-Field: 1\r\n", blockBytes) },
        { "a body without a length", replyHead("\r\n"), filler },
        { "interim replies", "", repeated("HTTP/1.1 103 Early Hints\r\nX-Field: 1\r\n\r\n", blockBytes) },
        { "a chunk header after an interim reply", "HTTP/1.1 103 Early Hints\r\n\r\n" + chunked + "5;", filler },
        { "a header field after an interim reply", "HTTP/1.1 103 Early Hints\r\n\r\n" + replyHead("X-Field: "), filler },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        checkFlood({ each.start, each.block });
    }
}

// Guards against: replies that are each within their limit together exceed the memory of the process.
TEST_CASE("Many replies in progress together keep within the memory of the process")
{
    checkFlood({ replyHead("Content-Length: 8000000\r\n\r\n"), std::string(blockBytes, 'x'), 150 });
}

// Guards against: answers that callers don't read exceed the memory of the process, each of them within its limit.
TEST_CASE("Many large answers that callers do not read keep within the memory of the process")
{
    checkFlood({ replyHead("Content-Length: 8000000\r\n\r\n") + std::string(8000000, 'x'), "", 0, 60 });
}

// Guards against: replies in progress of fan-outs whose targets all misbehave exceed the memory of the process.
TEST_CASE("Fan-outs over targets that all reply without end keep within the memory of the process")
{
    checkFlood({ replyHead("\r\n"), std::string(blockBytes, 'x'), 8, 0, 10 });
}

// Guards against: the whole bodies of a fan-out's replies are kept until its last shard has replied.
TEST_CASE("Fan-outs that wait for a shard after large replies of the others keep within the memory of the process")
{
    checkFlood({ replyHead("Content-Length: 1000000\r\n\r\n") + std::string(1000000, 'x'), "", 40, 0, 10, true });
}
