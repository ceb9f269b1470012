// Exchanges with targets over real sockets: the outcome that is reported for each way in which one can end.
#include "../standins/StandinTarget.h"
#include "Ports.h"

#include <Pimentopoint/Target>
#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <thread>

using namespace pimentopoint;
using namespace pimentopoint::test;
using namespace std::chrono_literals;

namespace {

/// Collects results and waits for them, at most 20 s.
class ResultCollector {
public:
    TargetClient::ResultHook hook()
    {
        return [this](const ExchangeResult& result) {
            std::lock_guard lock(m_mutex);
            m_results.push_back(result);
            m_changed.notify_all();
        };
    }
    std::vector<ExchangeResult> wait(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 20s, [&] { return m_results.size() >= count; });
        REQUIRE(m_results.size() == count);
        return m_results;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<ExchangeResult> m_results;
};

Dispatch dispatchTo(const Endpoint& endpoint, std::uint64_t number, Duration remaining = 5s, Duration replyTimeout = 5s)
{
    return { AttemptId(Incarnation(3), number), TargetId(1), endpoint, KeyRange(0, 10), SnapshotVersion(1), remaining, replyTimeout, "pans" };
}

/// Accepts connections and answers the first request of each; the constructor's argument selects how it fails at the second one.
class ScriptedServer {
public:
    enum class SecondRequest {
        ReadAndClose,
        NeverRead,
    };

    explicit ScriptedServer(SecondRequest secondRequest)
        : m_secondRequest(secondRequest)
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t length = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        endpoint = Endpoint("127.0.0.1", ntohs(address.sin_port));
        listen(m_socket, 8);
        m_thread = std::thread([this] { run(); });
    }
    ~ScriptedServer()
    {
        m_stop = true;
        m_thread.join();
        close(m_socket);
    }

    Endpoint endpoint;
    std::atomic<unsigned> requests { 0 };
    std::atomic<unsigned> connections { 0 };

private:
    bool readable(int socket) const
    {
        pollfd entry { socket, POLLIN, 0 };
        while (!m_stop) {
            if (poll(&entry, 1, 20) > 0)
                return true;
        }
        return false;
    }
    /// \returns the attempt id in one complete request, or "" if the connection ends
    std::string readRequest(int socket)
    {
        std::string text;
        char buffer[4096];
        while (readable(socket)) {
            ssize_t count = recv(socket, buffer, sizeof buffer, 0);
            if (count <= 0)
                return "";
            text.append(buffer, static_cast<std::size_t>(count));
            std::size_t body = text.find("\r\n\r\n");
            if (body != std::string::npos && text.ends_with("}"))
                break;
        }
        std::size_t begin = text.find("\"attempt\":\"");
        if (begin == std::string::npos)
            return "";
        begin += 11;
        ++requests;
        return text.substr(begin, text.find('"', begin) - begin);
    }
    void run()
    {
        while (!m_stop) {
            pollfd entry { m_socket, POLLIN, 0 };
            if (poll(&entry, 1, 20) <= 0)
                continue;
            int connection = accept(m_socket, nullptr, nullptr);
            ++connections;
            std::string attempt = readRequest(connection);
            std::string body = "{\"attempt\":\"" + attempt + "\",\"incarnation\":1,\"snapshot\":1,\"covered\":[[0,10]],\"hits\":[]}";
            std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
            if (m_secondRequest == SecondRequest::ReadAndClose)
                readRequest(connection);
            else
                readable(connection);
            if (m_secondRequest == SecondRequest::NeverRead) {
                while (!m_stop)
                    std::this_thread::sleep_for(5ms);
            }
            close(connection);
        }
    }

    SecondRequest m_secondRequest;
    int m_socket;
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
};

} // namespace

TEST_CASE("Each way in which an exchange ends is reported as its own outcome")
{
    struct Row {
        const char* name;
        std::function<void(standins::TargetBehaviour&)> change;
        ExchangeOutcome end;
    };
    const auto row = GENERATE(Row { "replied", [](auto&) {}, ExchangeOutcome::Replied },
        Row { "shed", [](auto& target) { target.shedThreshold = 0; }, ExchangeOutcome::RefusedShed },
        Row { "leaving", [](auto& target) { target.leaving = true; }, ExchangeOutcome::RefusedLeaving },
        Row { "snapshot gone", [](auto& target) { target.snapshots = { 2 }; }, ExchangeOutcome::RefusedSnapshot },
        Row { "crossed", [](auto& target) { target.mismatchedReplies = 1; }, ExchangeOutcome::InvalidReply },
        Row { "not JSON", [](auto& target) { target.malformedReplies = 1; }, ExchangeOutcome::InvalidReply },
        Row { "cut", [](auto& target) { target.truncatedReplies = 1; }, ExchangeOutcome::InvalidReply },
        Row { "connection dropped", [](auto& target) { target.droppedReplies = 1; }, ExchangeOutcome::ConnectionLost });
    INFO(row.name);
    Endpoint endpoint = freeEndpoint();
    standins::StandinTarget target(endpoint, {}, 4);
    target.change(row.change);
    ResultCollector results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(endpoint, 1));
    CHECK(results.wait(1).front().outcome == row.end);
}

TEST_CASE("An exchange with an unresponsive target ends at its reply timeout or deadline, and the next one uses another connection")
{
    Endpoint endpoint = freeEndpoint();
    standins::StandinTarget target(endpoint, {}, 6);
    target.change([](auto& behaviour) { behaviour.unansweredRequests = 2; });
    ResultCollector results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(endpoint, 1, 5s, 100ms));
    CHECK(results.wait(1)[0].outcome == ExchangeOutcome::ConnectionLost);
    client.dispatch(dispatchTo(endpoint, 2, 100ms, 100ms));
    CHECK(results.wait(2)[1].outcome == ExchangeOutcome::TimedOut);
    client.dispatch(dispatchTo(endpoint, 3));
    ExchangeResult last = results.wait(3)[2];
    CHECK(last.outcome == ExchangeOutcome::Replied);
    CHECK(last.reply.attempt.number() == 3);
    CHECK(last.newConnection);
}

TEST_CASE("An exchange with a port that is not listening ends as not connected")
{
    ResultCollector results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(freeEndpoint(), 1));
    CHECK(results.wait(1).front().outcome == ExchangeOutcome::NotConnected);
}

TEST_CASE("The transport does not resend a request if its reused connection ends without a reply")
{
    ScriptedServer server(ScriptedServer::SecondRequest::ReadAndClose);
    ResultCollector results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(server.endpoint, 1));
    REQUIRE(results.wait(1)[0].outcome == ExchangeOutcome::Replied);
    client.dispatch(dispatchTo(server.endpoint, 2));
    CHECK(results.wait(2)[1].outcome == ExchangeOutcome::ConnectionLost);
    CHECK(server.requests == 2);
}

TEST_CASE("A connection with an unanswered request is not reused")
{
    ScriptedServer server(ScriptedServer::SecondRequest::NeverRead);
    ResultCollector results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(server.endpoint, 1));
    REQUIRE(results.wait(1)[0].outcome == ExchangeOutcome::Replied);
    client.dispatch(dispatchTo(server.endpoint, 2, 100ms, 100ms));
    CHECK(results.wait(2)[1].outcome == ExchangeOutcome::TimedOut);
    client.dispatch(dispatchTo(server.endpoint, 3, 100ms, 100ms));
    CHECK(results.wait(3)[2].outcome != ExchangeOutcome::Replied);
}

TEST_CASE("A reply that does not match its request is invalid")
{
    SearchReply reply;
    Dispatch dispatch = dispatchTo(Endpoint("127.0.0.1", 1), 1);
    const std::string valid = R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[0,10]],"hits":[]})";
    CHECK(parseTargetReply(dispatch, 200, valid, reply) == ExchangeOutcome::Replied);
    for (const char* invalid : { "", "null", "[]", "{}", R"({"attempt":"3-2","incarnation":1,"snapshot":1,"covered":[],"hits":[]})",
             R"({"attempt":"3-1","incarnation":-1,"snapshot":"x","covered":[],"hits":[]})", R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[0,11]],"hits":[]})",
             R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[5,5]],"hits":[]})", R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[0]],"hits":[]})",
             R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[],"hits":{}})" })
        CHECK(parseTargetReply(dispatch, 200, invalid, reply) == ExchangeOutcome::InvalidReply);
    CHECK(parseTargetReply(dispatch, 500, valid, reply) == ExchangeOutcome::InvalidReply);
    CHECK(parseTargetReply(dispatch, 503, R"({"attempt":"3-1","notRun":"no idea"})", reply) == ExchangeOutcome::InvalidReply);
}
