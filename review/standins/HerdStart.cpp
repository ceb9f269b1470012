// Case: all edges are killed at once and start again within 0.3 s, those that are seeds last. For seconds each of the others takes itself for
// the only one. Usage: herd-start RECORD FOLDER (TROUBLE=0: without the kill)
#include "Edge.h"
#include "Store.h"

#include <cstdlib>
#include <memory>
#include <set>

using namespace review;

namespace {

constexpr std::size_t edgeCount = 8;
constexpr std::size_t seedCount = 3;
constexpr std::size_t serverCount = 2;
constexpr std::size_t consumersPerEdge = 8;
constexpr auto work = 20ms;
constexpr auto think = 140ms;
constexpr double warmupPerSecond = 20;
constexpr double warmupFactor = 1.5; // warmup_factor and warmup_slack of all installations.
constexpr double warmupSlack = 5;
constexpr auto warmup = 3000ms; // warmup_s.
constexpr double allowed = warmupPerSecond * warmupFactor + warmupSlack;

std::atomic<bool> finished { false };
std::mutex mutex;
std::map<std::string, Clock::time_point> sentAt;
struct Arrival {
    Clock::time_point sent;
    Clock::time_point arrived;
};
std::vector<Arrival> arrivals; // At the server that becomes cold.
std::atomic<int> served { 0 };
std::atomic<int> failed { 0 };

void serve(int peer, const std::string& name, bool cold)
{
    std::string buffer;
    Message request;
    while (!finished && readMessage(peer, buffer, request, Clock::now() + 60s) == ReadResult::Message) {
        std::string id = request.header("x-pimentopoint-request-id");
        if (cold) {
            std::lock_guard lock(mutex);
            arrivals.push_back({ sentAt[id], Clock::now() });
        }
        std::this_thread::sleep_for(work);
        std::string body = "records of " + id;
        if (!sendAll(peer, "HTTP/1.1 200 OK\r\nX-Pimentopoint-Request-Id: " + id + "\r\nX-Pimentopoint-Server-Stamp: " + name + "." + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

void consume(const Address& front, std::size_t number, Record& record)
{
    int peer = -1;
    std::string buffer;
    for (int i = 0; !finished; ++i) {
        if (peer < 0) {
            buffer.clear();
            peer = connectTo(front);
        }
        char id[32];
        std::snprintf(id, sizeof id, "%08zx%08x", number, i);
        {
            std::lock_guard lock(mutex);
            sentAt[id] = Clock::now();
        }
        Message reply;
        bool sent = peer >= 0 && sendAll(peer, std::string("GET /bench/q HTTP/1.1\r\nHost: hufi.example\r\nX-Pimentopoint-Request-Id: ") + id + "\r\nX-Pimentopoint-Request-Deadline: 5000\r\n\r\n");
        bool answered = sent && readMessage(peer, buffer, reply, Clock::now() + 6s) == ReadResult::Message;
        bool good = answered && reply.word() == "200";
        if (good)
            ++served;
        else if (!finished)
            ++failed;
        record.line("request ", id, answered ? ": answer " + reply.word() + " from " + reply.header("x-pimentopoint-server-stamp") : std::string(": no answer"));
        if (!answered && peer >= 0) {
            close(peer);
            peer = -1;
        }
        std::this_thread::sleep_for(think);
    }
    if (peer >= 0)
        close(peer);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const char* troubleText = std::getenv("TROUBLE");
    bool trouble = !troubleText || std::string(troubleText) != "0";
    Record record(argv[1]);
    Store store;
    const std::vector<std::string> zones { "adum", "suame", "asafo" };
    std::vector<std::unique_ptr<Listener>> servers;
    auto entry = [&](std::size_t i, long warmupLeft, int sequence) {
        nlohmann::json json { { "service", "bench-log" }, { "address", servers[i]->address().text() }, { "zone", zones[0] }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmup_left_ms", warmupLeft }, { "sequence", sequence }, { "born", 1700000000000 + static_cast<long>(i) } };
        return json.dump();
    };
    for (std::size_t i = 0; i < serverCount; ++i) {
        std::string name = "i-bench" + std::to_string(i);
        servers.push_back(std::make_unique<Listener>("127.0.0.1", [name, i](int peer) { serve(peer, name, i == 0); }));
        store.put("servers/" + name, entry(i, 0, 1));
    }
    nlohmann::json route { { "name", "bench" }, { "host", "hufi.example" }, { "prefix", "/bench/" }, { "kind", "idempotent" }, { "timeout_ms", 5000 }, { "goal_ms", 800 }, { "priority", 2 }, { "service", "bench-log" }, { "max_attempts", 2 } };
    nlohmann::json service { { "name", "bench-log" }, { "health_path", "/health" }, { "max_connections", 110 }, { "protocol", "h1" }, { "tls", false }, { "warmup_s", 3.0 }, { "warmup_per_s", warmupPerSecond } };
    nlohmann::json config { { "version", 7 }, { "routes", { route } }, { "services", { service } }, { "limits", { { "header_bytes", 16384 }, { "body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    store.put("op/config", config.dump());

    std::vector<std::unique_ptr<Edge>> edges;
    std::vector<Address> seeds;
    for (std::size_t i = 0; i < edgeCount; ++i) {
        edges.push_back(std::make_unique<Edge>(Edge::Options { "front-" + zones[i % zones.size()] + "-" + std::to_string(1 + i / zones.size()), zones[i % zones.size()], "127.0.0." + std::to_string(i + 1), argv[2], store.address() }));
        if (seeds.size() < seedCount)
            seeds.push_back(edges.back()->control());
    }
    // All machines start within 0.3 s of each other, in any order: here the seeds are the last.
    auto startAll = [&] {
        for (std::size_t i = edgeCount; i > 0; --i) {
            if (i == seedCount)
                std::this_thread::sleep_for(250ms);
            edges[i - 1]->writeSettings(seeds);
            if (!edges[i - 1]->start())
                return false;
            record.line(edges[i - 1]->name(), " starts", i <= seedCount ? " (a seed)" : "");
        }
        return true;
    };
    if (!startAll())
        return 2;
    for (auto& edge : edges) {
        if (!edge->waitUntilReady(10s))
            return 2;
    }
    std::vector<std::thread> consumers;
    for (std::size_t i = 0; i < edgeCount * consumersPerEdge; ++i)
        consumers.emplace_back([&, i] { consume(edges[i % edgeCount]->front(), i, record); });
    std::this_thread::sleep_for(12s);
    if (trouble) {
        for (auto& edge : edges)
            edge->stop();
        record.line("all processes are killed");
        std::this_thread::sleep_for(1s);
        if (!startAll())
            return 2;
    }
    std::this_thread::sleep_for(2s);
    store.put("servers/i-bench0", entry(0, std::chrono::duration_cast<std::chrono::milliseconds>(warmup).count(), 2));
    auto coldAt = Clock::now();
    record.line("i-bench0 is cold for 3 s: it tolerates ", warmupPerSecond, " requests a second; the rule allows ", allowed);
    std::this_thread::sleep_for(warmup + 500ms);
    finished = true;
    for (auto& consumer : consumers)
        consumer.join();
    for (auto& edge : edges)
        edge->stop();

    std::size_t most = 0;
    std::lock_guard lock(mutex);
    for (const Arrival& first : arrivals) {
        // All machines have had half a second to learn of it.
        if (first.sent < coldAt + 500ms)
            continue;
        auto end = first.sent + 1s;
        if (end > coldAt + warmup)
            continue;
        std::size_t count = 0;
        for (const Arrival& each : arrivals)
            count += each.sent >= first.sent && each.arrived <= end;
        most = std::max(most, count);
    }
    for (const Arrival& each : arrivals) {
        if (each.arrived > coldAt - 1s)
            record.line("arrival at i-bench0 ", std::chrono::duration<double>(each.arrived - coldAt).count(), " s after it became cold");
    }
    record.line("served ", served.load(), ", failed ", failed.load(), "; most requests that were sent and arrived within one second at the cold server: ", most, ", allowed ", allowed);
    if (!served || arrivals.empty()) {
        record.line("the case could not run");
        _exit(2);
    }
    bool broken = static_cast<double>(most) > allowed;
    record.line(broken ? "FAILBACK is broken" : "FAILBACK holds");
    _exit(broken ? 1 : 0);
}
