// Exchanges with targets over real sockets: what is reported of each way in which one can end.
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

/// Collects results; waits for them with a generous cap.
class Results {
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

Dispatch dispatchTo(const Endpoint& endpoint, std::uint64_t number, Duration remaining = 5s, Duration silence = 5s)
{
    return { AttemptId(Incarnation(3), number), TargetId(1), endpoint, KeyRange(0, 10), SnapshotVersion(1), remaining, silence, "pans" };
}

/// Accepts connections and answers the first request of each; what it does with the second is its fault.
class ScriptedServer {
public:
    enum class Second {
        ReadAndClose,
        NeverRead,
    };

    explicit ScriptedServer(Second second)
        : m_second(second)
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
    /// \returns the attempt named in one whole request, or "" at the end
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
            if (m_second == Second::ReadAndClose)
                readRequest(connection);
            else
                readable(connection);
            if (m_second == Second::NeverRead) {
                while (!m_stop)
                    std::this_thread::sleep_for(5ms);
            }
            close(connection);
        }
    }

    Second m_second;
    int m_socket;
    std::atomic<bool> m_stop { false };
    std::thread m_thread;
};

} // namespace

TEST_CASE("each end of an exchange is reported as what it is")
{
    struct Row {
        const char* name;
        std::function<void(standins::TargetBehaviour&)> change;
        ExchangeOutcome end;
    };
    const auto row = GENERATE(Row { "replied", [](auto&) {}, ExchangeOutcome::Replied },
        Row { "shed", [](auto& target) { target.shedAt = 0; }, ExchangeOutcome::RefusedShed },
        Row { "leaving", [](auto& target) { target.leaving = true; }, ExchangeOutcome::RefusedLeaving },
        Row { "snapshot gone", [](auto& target) { target.snapshots = { 2 }; }, ExchangeOutcome::RefusedSnapshot },
        Row { "crossed", [](auto& target) { target.crossed = 1; }, ExchangeOutcome::InvalidReply },
        Row { "no JSON", [](auto& target) { target.garbage = 1; }, ExchangeOutcome::InvalidReply },
        Row { "cut", [](auto& target) { target.cut = 1; }, ExchangeOutcome::InvalidReply },
        Row { "connection dropped", [](auto& target) { target.drop = 1; }, ExchangeOutcome::ConnectionLost });
    INFO(row.name);
    Endpoint endpoint = freeEndpoint();
    standins::StandinTarget target(endpoint, {}, 4);
    target.change(row.change);
    Results results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(endpoint, 1));
    CHECK(results.wait(1).front().outcome == row.end);
}

TEST_CASE("a silent target ends an exchange by its silence or its deadline, and the next one uses another connection")
{
    Endpoint endpoint = freeEndpoint();
    standins::StandinTarget target(endpoint, {}, 6);
    target.change([](auto& behaviour) { behaviour.silent = 2; });
    Results results;
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

TEST_CASE("nothing leaves towards a port where nobody listens")
{
    Results results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(freeEndpoint(), 1));
    CHECK(results.wait(1).front().outcome == ExchangeOutcome::NotConnected);
}

TEST_CASE("a request on a reused connection that ends unanswered is not sent again by the transport")
{
    ScriptedServer server(ScriptedServer::Second::ReadAndClose);
    Results results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(server.endpoint, 1));
    REQUIRE(results.wait(1)[0].outcome == ExchangeOutcome::Replied);
    client.dispatch(dispatchTo(server.endpoint, 2));
    CHECK(results.wait(2)[1].outcome == ExchangeOutcome::ConnectionLost);
    CHECK(server.requests == 2);
}

TEST_CASE("a connection with an unanswered request is never used again")
{
    ScriptedServer server(ScriptedServer::Second::NeverRead);
    Results results;
    TargetClient client(results.hook());
    client.dispatch(dispatchTo(server.endpoint, 1));
    REQUIRE(results.wait(1)[0].outcome == ExchangeOutcome::Replied);
    client.dispatch(dispatchTo(server.endpoint, 2, 100ms, 100ms));
    CHECK(results.wait(2)[1].outcome == ExchangeOutcome::TimedOut);
    client.dispatch(dispatchTo(server.endpoint, 3, 100ms, 100ms));
    CHECK(results.wait(3)[2].outcome != ExchangeOutcome::Replied);
}

TEST_CASE("a reply that is not what was asked for is invalid")
{
    TargetReply reply;
    Dispatch dispatch = dispatchTo(Endpoint("127.0.0.1", 1), 1);
    const std::string good = R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[0,10]],"hits":[]})";
    CHECK(parseTargetReply(dispatch, 200, good, reply) == ExchangeOutcome::Replied);
    for (const char* bad : { "", "null", "[]", "{}", R"({"attempt":"3-2","incarnation":1,"snapshot":1,"covered":[],"hits":[]})",
             R"({"attempt":"3-1","incarnation":-1,"snapshot":"x","covered":[],"hits":[]})", R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[0,11]],"hits":[]})",
             R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[5,5]],"hits":[]})", R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[[0]],"hits":[]})",
             R"({"attempt":"3-1","incarnation":1,"snapshot":1,"covered":[],"hits":{}})" })
        CHECK(parseTargetReply(dispatch, 200, bad, reply) == ExchangeOutcome::InvalidReply);
    CHECK(parseTargetReply(dispatch, 500, good, reply) == ExchangeOutcome::InvalidReply);
    CHECK(parseTargetReply(dispatch, 503, R"({"attempt":"3-1","notRun":"no idea"})", reply) == ExchangeOutcome::InvalidReply);
}
