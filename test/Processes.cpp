// Tests of the daemons as processes, with signals, sockets and shutdowns, which the simulated tests do not cover. The tests wait
// for events; none checks a duration.
#include "Ports.h"
#include "ProcessFleet.h"

#include <Pimentopoint/Peer>
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace pimentopoint;
using namespace pimentopoint::test;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

/// Sends requests continuously from several threads and counts the replies by status.
class LoadGenerator {
public:
    LoadGenerator(ProcessFleet& fleet, std::vector<std::string> fronts, unsigned threads)
        : m_fleet(fleet)
        , m_fronts(std::move(fronts))
    {
        for (unsigned i = 0; i < threads; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }
    ~LoadGenerator() { stop(); }
    void stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }
    /// \returns the first replies that were not whole answers, one a line
    std::string others()
    {
        std::lock_guard lock(m_othersMutex);
        std::string text;
        for (const std::string& each : m_others)
            text += each + "\n";
        return text;
    }

    std::atomic<unsigned> answers { 0 };
    std::atomic<unsigned> partial { 0 };
    std::atomic<unsigned> refused { 0 };
    std::atomic<unsigned> unknown { 0 };
    std::atomic<unsigned> unanswered { 0 };

private:
    void run(unsigned number)
    {
        for (unsigned i = 0; !m_stop; ++i) {
            HttpReply reply = m_fleet.search(m_fronts[i % m_fronts.size()], "read", "load" + std::to_string(number) + "-" + std::to_string(i));
            if (reply.status == 0)
                ++unanswered;
            else if (reply.body.starts_with("{\"status\":\"answer\""))
                ++answers;
            else if (reply.body.starts_with("{\"status\":\"partial\""))
                ++partial;
            else if (reply.body.starts_with("{\"status\":\"not-run\""))
                ++refused;
            else
                ++unknown;
            if (!reply.body.starts_with("{\"status\":\"answer\""))
                recordOther(reply);
        }
    }
    void recordOther(const HttpReply& reply)
    {
        constexpr std::size_t maxRecorded = 20;
        std::lock_guard lock(m_othersMutex);
        if (m_others.size() < maxRecorded)
            m_others.push_back(std::to_string(reply.status) + " " + reply.body);
    }

    ProcessFleet& m_fleet;
    std::vector<std::string> m_fronts;
    std::atomic<bool> m_stop { false };
    std::vector<std::thread> m_threads;
    std::mutex m_othersMutex;
    std::vector<std::string> m_others;
};

std::uint64_t maxRunsPerShard(const ProcessFleet& fleet, const std::string& text)
{
    std::uint64_t maxRuns = 0;
    for (std::size_t shard = 0; shard < fleet.targets.size() / 2; ++shard)
        maxRuns = std::max(maxRuns, fleet.targets[2 * shard]->runs(text) + fleet.targets[2 * shard + 1]->runs(text));
    return maxRuns;
}

} // namespace

TEST_CASE("Callers are answered while a gateway is killed, and complete answers resume after its restart", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    REQUIRE(fleet.waitForWholeAnswer("fb"));
    LoadGenerator load(fleet, { "fa", "fb" }, 4);
    REQUIRE(eventually([&] { return load.answers > 50; }));
    fleet.signal("ga", SIGKILL);
    CHECK(fleet.wait("ga") == -1);
    unsigned before = load.answers;
    CHECK(eventually([&] { return load.answers > before + 50; }));
    fleet.start("ga");
    CHECK(fleet.waitForWholeAnswer("fa"));
    load.stop();
    CHECK(load.unanswered == 0);
    for (const auto& target : fleet.targets)
        CHECK(target->maxOutstanding() <= 4);
}

TEST_CASE("A graceful stop of a gateway or a front fails no request and exits with 0", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    REQUIRE(fleet.waitForWholeAnswer("fb"));
    SECTION("gateway")
    {
        LoadGenerator load(fleet, { "fa", "fb" }, 4);
        REQUIRE(eventually([&] { return load.answers > 50; }));
        fleet.signal("ga", SIGTERM);
        CHECK(fleet.wait("ga") == 0);
        load.stop();
        INFO("other replies:\n"
            << load.others());
        CHECK(load.unanswered == 0);
        CHECK(load.refused == 0);
        CHECK(load.unknown == 0);
        CHECK(load.partial == 0);
    }
    SECTION("front: callers that stop when its health check fails get only complete answers")
    {
        std::atomic<bool> leaving { false };
        std::atomic<unsigned> failed { 0 };
        std::atomic<unsigned> served { 0 };
        std::vector<std::thread> callers;
        for (int i = 0; i < 4; ++i) {
            callers.emplace_back([&] {
                while (!leaving) {
                    if (http("GET", fleet.http("fa"), "/healthz").status != 200)
                        break;
                    HttpReply reply = fleet.search("fa", "read", "q");
                    ++(reply.body.starts_with("{\"status\":\"answer\"") ? served : failed);
                }
            });
        }
        CHECK(eventually([&] { return served > 50; }));
        fleet.signal("fa", SIGTERM);
        CHECK(fleet.wait("fa") == 0);
        leaving = true;
        for (std::thread& caller : callers)
            caller.join();
        CHECK(failed == 0);
    }
}

TEST_CASE("A request that is not idempotent runs at most once when its front fails and it is retried at another front", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    REQUIRE(fleet.waitForWholeAnswer("fb"));
    std::string ticket = fleet.ticket("fa");
    REQUIRE_FALSE(ticket.empty());
    SECTION("frozen")
    {
        fleet.signal("fa", SIGSTOP);
        CHECK_THAT(fleet.search("fb", "order", "frozen", ticket).body, Contains("\"unknown\""));
        fleet.signal("fa", SIGCONT);
        CHECK(fleet.waitForWholeAnswer("fa"));
        HttpReply again = fleet.search("fb", "order", "frozen", ticket);
        HttpReply other = fleet.search("fa", "order", "frozen", ticket);
        CHECK(again.body == other.body);
        CHECK(maxRunsPerShard(fleet, "frozen") <= 1);
    }
    SECTION("front killed and restarted: the request with its old ticket is never run")
    {
        fleet.signal("fa", SIGKILL);
        fleet.wait("fa");
        CHECK_THAT(fleet.search("fb", "order", "restarted", ticket).body, Contains("\"unknown\""));
        fleet.start("fa");
        CHECK(fleet.waitForWholeAnswer("fa"));
        CHECK_THAT(fleet.search("fa", "order", "restarted", ticket).body, Contains("incarnation-gone"));
        CHECK(maxRunsPerShard(fleet, "restarted") == 0);
    }
    SECTION("no failure: both fronts return the same outcome")
    {
        HttpReply first = fleet.search("fb", "order", "quiet", ticket);
        CHECK_THAT(first.body, Contains("\"answer\""));
        CHECK(fleet.search("fa", "order", "quiet", ticket).body == first.body);
        CHECK(maxRunsPerShard(fleet, "quiet") == 1);
    }
    SECTION("a request without a ticket is not run")
    {
        CHECK_THAT(fleet.search("fa", "order", "bare").body, Contains("no-ticket"));
        CHECK(maxRunsPerShard(fleet, "bare") == 0);
    }
}

TEST_CASE("Without the platform the fleet keeps serving, and a new front receives the documents from members", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    fleet.publish();
    for (const char* name : { "fa", "fb", "ga", "gb" })
        REQUIRE(fleet.waitForVersions(name, fleet.version, 0));
    fleet.platform.reset();
    CHECK(fleet.waitForWholeAnswer("fb"));
    fleet.start("fc");
    CHECK(fleet.waitForVersions("fc", fleet.version, 0));
    CHECK(fleet.waitForWholeAnswer("fc"));
}

TEST_CASE("An older configuration on the platform is ignored, even by a newly started process", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    fleet.publish();
    for (const char* name : { "fa", "fb", "ga", "gb" })
        REQUIRE(fleet.waitForVersions(name, 2, 0));
    fleet.version = 0;
    fleet.publish();
    fleet.start("fc");
    CHECK(fleet.waitForWholeAnswer("fc"));
    CHECK(fleet.waitForVersions("fc", 2, 0));
    CHECK(fleet.waitForVersions("fa", 2, 0));
}

TEST_CASE("A leaving target and a data centre taken out of service receive no new requests once the documents are active", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    REQUIRE(fleet.waitForWholeAnswer("fb"));
    LoadGenerator load(fleet, { "fa", "fb" }, 3);
    fleet.publishHosts("t0");
    for (const char* name : { "fa", "fb", "ga", "gb" })
        REQUIRE(fleet.waitForVersions(name, 1, 1));
    std::uint64_t atLeaving = fleet.targets[0]->requests();
    fleet.publish("b");
    for (const char* name : { "fa", "fb", "ga", "gb" })
        REQUIRE(fleet.waitForVersions(name, 2, 1));
    std::uint64_t atTakeOut = fleet.targets[3]->requests();
    unsigned before = load.partial + load.answers;
    CHECK(eventually([&] { return load.partial + load.answers > before + 100; }));
    CHECK(fleet.targets[0]->requests() <= atLeaving + 1);
    CHECK(fleet.targets[3]->requests() <= atTakeOut + 1);
    fleet.publishHosts("");
    fleet.publish();
    CHECK(fleet.waitForWholeAnswer("fa"));
    CHECK(fleet.waitForWholeAnswer("fb"));
    load.stop();
    CHECK(load.unanswered == 0);
}

TEST_CASE("A gateway that resumes after a pause with a full queue sends no stale requests", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    REQUIRE(fleet.waitForWholeAnswer("fb"));
    fleet.signal("gb", SIGSTOP);
    LoadGenerator load(fleet, { "fb" }, 4);
    REQUIRE(eventually([&] { return load.answers + load.partial + load.unknown + load.refused > 20; }));
    fleet.publishHosts("t1");
    for (const char* name : { "fa", "fb", "ga" })
        REQUIRE(fleet.waitForVersions(name, 1, 1));
    std::uint64_t before = fleet.targets[1]->requests();
    // Longer than pauseThreshold, so that the gateway detects the pause. During a shorter pause the host list is still within the
    // time allowed for its distribution.
    std::this_thread::sleep_for(3 * pauseThreshold);
    fleet.signal("gb", SIGCONT);
    REQUIRE(fleet.waitForVersions("gb", 1, 1));
    CHECK(fleet.waitForWholeAnswer("fb"));
    load.stop();
    CHECK(fleet.targets[1]->requests() == before);
    CHECK(load.unanswered == 0);
}

TEST_CASE("Missing, truncated and mismatched replies of targets do not prevent complete answers", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    LoadGenerator load(fleet, { "fa" }, 2);
    for (const auto& target : fleet.targets) {
        target->change([](standins::TargetBehaviour& behaviour) {
            behaviour.unansweredRequests = 1;
            behaviour.truncatedReplies = 2;
            behaviour.mismatchedReplies = 2;
            behaviour.malformedReplies = 1;
            behaviour.droppedReplies = 2;
        });
    }
    REQUIRE(eventually([&] { return load.answers > 200; }));
    load.stop();
    CHECK(load.unanswered == 0);
    CHECK(fleet.waitForWholeAnswer("fa"));
}

TEST_CASE("Invalid bytes on the ports between processes do not stop them, and no file is created", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    for (const char* name : { "fa", "ga" }) {
        for (const std::string& bytes : { std::string("\xff\xff\xff\xff rubbish"), std::string(3, '\0'), std::string("\0\0\0\3\0\1\1", 7), std::string("\0\0\0\3\0\7\1", 7),
                 std::string("GET / HTTP/1.1\r\n\r\n") }) {
            int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(fleet.tcp(name).port());
            REQUIRE(connect(tcp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
            send(tcp, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            close(tcp);
            int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
            address.sin_port = htons(fleet.udp(name).port());
            sendto(udp, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address), sizeof address);
            close(udp);
        }
    }
    for (int i = 0; i < 50; ++i)
        fleet.search("fa", "read", "after rubbish");
    CHECK(fleet.isResponding("fa"));
    CHECK(fleet.isResponding("ga"));
    CHECK(fleet.waitForWholeAnswer("fa"));
    CHECK(std::filesystem::is_empty(fleet.temporaryFolder));
    std::ifstream log(fleet.log("fa"));
    for (std::string line; std::getline(log, line);) {
        auto parsed = nlohmann::json::parse(line, nullptr, false);
        REQUIRE_FALSE(parsed.is_discarded());
        for (const char* key : { "time", "level", "host", "dataCentre", "event" })
            CHECK(parsed.contains(key));
    }
}

TEST_CASE("An invalid request is rejected with a reason", "[processes]")
{
    ProcessFleet fleet;
    REQUIRE(fleet.waitForWholeAnswer("fa"));
    Endpoint front = fleet.http("fa");
    CHECK_THAT(http("POST", front, "/v1/search/nowhere", R"({"query":"a"})").body, Contains("no-such-search-front"));
    CHECK_THAT(http("POST", front, "/v1/search/read", "{").body, Contains("bad-request"));
    CHECK(http("POST", front, "/v1/search/read", std::string(70000, 'x')).status == 413);
    CHECK_THAT(http("GET", front, "/v1/search/read").body, Contains("allowed is POST"));
    CHECK(http("GET", front, "/nowhere").status == 404);
    std::string request = R"({"query":"a","id":"same"})";
    CHECK(http("POST", front, "/v1/search/read", request).status == 200);
    CHECK(http("POST", front, "/v1/search/read", request).status == 200);
    CHECK_THAT(http("GET", front, "/v1/explain/same").body, Contains("\"status\":\"answer\""));
    CHECK_THAT(http("GET", front, "/metrics").body, Contains("pimentopoint_latency_ms_bucket"));
    CHECK_THAT(http("GET", front, "/v1/burn").body, Contains("\"windows\""));
}
