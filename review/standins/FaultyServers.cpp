// Cases 1 and 2: some servers of one service send bytes that are no answer; consumers of another service, whose servers are sound, lose their
// requests. Usage: faulty-servers KIND RECORD FOLDER, with TROUBLE=0 for the same without the disruption. KIND:
//   length     One of three servers spoils one in 25 of its answers: the value of Content-Length is far too large.
//   extension  Two of three servers send a body without end: a chunk header that never ends.
//   trailer    Like extension, in the trailer of a chunked body.
//   sized      Like extension, in a body whose Content-Length is 4 GB.
//   unframed   Like extension, in a body without a length.
//   head       Like extension, in the head.
#include "Edge.h"
#include "Store.h"

#include <cstdlib>
#include <memory>
#include <set>

using namespace review;

namespace {

constexpr double memoryLimitMegabytes = 260; // memory_mb of the small installations.
constexpr auto work = 220ms; // Work of a bench-query.
constexpr double linkBytesPerSecond = 100e6; // Below link_mbps = 1000, for all servers in trouble together.
constexpr auto duration = 30s;
constexpr auto troubleAt = 6s;
constexpr std::size_t benchConsumers = 24;

std::atomic<bool> inTrouble { false };
std::atomic<bool> finished { false };
std::atomic<std::uint64_t> endlessBytes { 0 };
constexpr int spoiledInterval = 25; // 4 % of the answers, the largest share of 'garble' in the site file.
std::atomic<int> answers { 0 };
std::atomic<int> spoiledAnswers { 0 };
std::mutex ranMutex;
std::map<std::string, std::string> arrivedAt; // The servers that each request reached, by its id.
std::set<std::string> ranSound; // Ids of the requests that reached a sound server.

// Lets the servers in trouble send one block when the shared link has room for it.
void awaitLink(std::size_t bytes)
{
    static std::mutex mutex;
    static auto nextAt = Clock::now();
    Clock::time_point at;
    {
        std::lock_guard lock(mutex);
        nextAt = std::max(nextAt, Clock::now());
        at = nextAt;
        nextAt += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / linkBytesPerSecond));
    }
    std::this_thread::sleep_until(at);
}

std::string kind;

void sendEndless(int peer, const std::string& id)
{
    std::string head = "HTTP/1.1 200 OK\r\nX-Pimentopoint-Request-Id: " + id + "\r\nX-Pimentopoint-Server-Stamp: bad." + id + "\r\n";
    std::string block(32768, 'x');
    if (kind == "extension")
        head += "Transfer-Encoding: chunked\r\n\r\n5;";
    else if (kind == "trailer")
        head += "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Checksum: ";
    else if (kind == "sized")
        head += "Content-Length: 4000000000\r\n\r\nhello";
    else if (kind == "unframed")
        head += "\r\n";
    else
        head += "X-Field: ";
    if (!sendAll(peer, head))
        return;
    while (!finished) {
        awaitLink(block.size());
        if (!sendAll(peer, block))
            return;
        endlessBytes += block.size();
    }
}

void serve(int peer, const std::string& name, bool troubled)
{
    std::string buffer;
    Message request;
    while (!finished && readMessage(peer, buffer, request, Clock::now() + 20s) == ReadResult::Message) {
        std::string id = request.header("x-pimentopoint-request-id");
        {
            std::lock_guard lock(ranMutex);
            arrivedAt[id] += " " + name;
            if (!troubled)
                ranSound.insert(id);
        }
        if (troubled && inTrouble && kind != "length") {
            sendEndless(peer, id);
            return;
        }
        std::this_thread::sleep_for(work);
        std::string body = "records of " + id;
        std::string length = std::to_string(body.size());
        if (troubled && inTrouble && ++answers % spoiledInterval == 0) {
            length = "4999999999999999999";
            ++spoiledAnswers;
        }
        if (!sendAll(peer, "HTTP/1.1 200 OK\r\nX-Pimentopoint-Request-Id: " + id + "\r\nX-Pimentopoint-Server-Stamp: " + name + "." + id + "\r\nContent-Length: " + length + "\r\n\r\n" + body))
            return;
    }
}

struct Counts {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> failed { 0 };
    std::atomic<int> closed { 0 }; // Closed without an answer, on a kept connection, after a sound server had got the request.
};

void consume(const Address& front, const std::string& path, std::size_t number, Counts& counts, Record& record)
{
    int peer = -1;
    std::string buffer;
    int answersHere = 0;
    for (int i = 0; !finished; ++i) {
        if (peer < 0) {
            peer = connectTo(front);
            buffer.clear();
            answersHere = 0;
            if (peer < 0) {
                std::this_thread::sleep_for(200ms);
                continue;
            }
        }
        char id[32];
        std::snprintf(id, sizeof id, "%04zx%s%08x", number, path == "/bench/" ? "b" : "a", i);
        ++counts.sent;
        auto sentAt = Clock::now();
        bool sent = sendAll(peer, "GET " + path + "q HTTP/1.1\r\nHost: hufi.example\r\nX-Pimentopoint-Request-Id: " + id + "\r\nX-Pimentopoint-Request-Deadline: 5000\r\n\r\n");
        Message reply;
        ReadResult result = sent ? readMessage(peer, buffer, reply, Clock::now() + 6s) : ReadResult::Closed;
        std::string servers;
        bool passedOn = false;
        {
            std::lock_guard lock(ranMutex);
            passedOn = ranSound.contains(id);
            servers = arrivedAt[id];
        }
        std::string outcome = result == ReadResult::TimedOut ? "no answer" : "connection closed without an answer";
        if (result == ReadResult::Message) {
            reply.word() == "200" ? ++counts.served : ++counts.failed;
            ++answersHere;
            outcome = "answer " + reply.word();
        } else if (result == ReadResult::Closed && answersHere > 0 && passedOn && !finished) {
            ++counts.closed;
            outcome += " on a kept connection, after a sound server had got the request";
        }
        record.line(path, " ", id, ", sent ", secondsSince(sentAt), " s ago, reached", servers.empty() ? " no server" : servers, ": ", outcome);
        if (result != ReadResult::Message || reply.header("connection") == "close") {
            close(peer);
            peer = -1;
        }
        std::this_thread::sleep_for(path == "/bench/" ? 280ms : 600ms);
    }
    if (peer >= 0)
        close(peer);
}

nlohmann::json route(const std::string& name, const std::string& service)
{
    return { { "name", name }, { "host", "hufi.example" }, { "prefix", "/" + name + "/" }, { "kind", "idempotent" }, { "timeout_ms", 5000 }, { "goal_ms", 800 }, { "priority", 2 }, { "service", service }, { "max_attempts", 2 } };
}

nlohmann::json service(const std::string& name)
{
    return { { "name", name }, { "health_path", "/health" }, { "max_connections", 110 }, { "protocol", "h1" }, { "tls", false }, { "warmup_s", 3.0 }, { "warmup_per_s", 0.0 } };
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    kind = argv[1];
    const char* troubleText = std::getenv("TROUBLE");
    bool trouble = !troubleText || std::string(troubleText) != "0";
    std::size_t badServers = kind == "length" ? 1 : 2;
    std::size_t invoiceConsumers = kind == "length" ? 24 : 4;
    Record record(argv[2]);
    Store store;
    const std::vector<std::string> zones { "adum", "suame", "asafo" };
    std::vector<std::unique_ptr<Listener>> servers;
    auto addServer = [&](const std::string& serviceName, std::size_t index, bool troubled) {
        std::string name = "i-" + serviceName + std::to_string(index);
        servers.push_back(std::make_unique<Listener>("127.0.0.1", [name, troubled](int peer) { serve(peer, name, troubled); }));
        nlohmann::json entry { { "service", serviceName }, { "address", servers.back()->address().text() }, { "zone", zones[index % zones.size()] }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 1 }, { "born", 1700000000000 + static_cast<long>(index) } };
        store.put("servers/" + name, entry.dump());
    };
    for (std::size_t i = 0; i < 6; ++i)
        addServer("bench-log", i, false);
    for (std::size_t i = 0; i < 3; ++i)
        addServer("invoice-book", i, i < badServers);
    nlohmann::json config { { "version", 7 }, { "routes", { route("bench", "bench-log"), route("invoice", "invoice-book") } }, { "services", { service("bench-log"), service("invoice-book") } }, { "limits", { { "header_bytes", 16384 }, { "body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    store.put("op/config", config.dump());

    std::vector<std::unique_ptr<Edge>> edges;
    std::vector<Address> seeds;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        edges.push_back(std::make_unique<Edge>(Edge::Options { "front-" + zones[i] + "-1", zones[i], "127.0.0." + std::to_string(i + 1), argv[3], store.address() }));
        seeds.push_back(edges.back()->control());
    }
    for (auto& edge : edges) {
        edge->writeSettings(seeds);
        if (!edge->start())
            return 2;
    }
    for (auto& edge : edges) {
        if (!edge->waitUntilReady(10s))
            return 2;
    }
    record.line("edges are ready");

    Counts bench;
    Counts invoice;
    std::vector<std::thread> consumers;
    for (std::size_t i = 0; i < benchConsumers; ++i)
        consumers.emplace_back([&, i] { consume(edges[i % edges.size()]->front(), "/bench/", i, bench, record); });
    for (std::size_t i = 0; i < invoiceConsumers; ++i)
        consumers.emplace_back([&, i] { consume(edges[i % edges.size()]->front(), "/invoice/", 256 + i, invoice, record); });

    int overMemory = 0;
    int ended = 0;
    double peak = 0;
    std::vector<Clock::time_point> restartAt(edges.size());
    auto start = Clock::now();
    auto nextLine = start;
    while (Clock::now() - start < duration) {
        if (trouble && !inTrouble && Clock::now() - start >= troubleAt) {
            inTrouble = true;
            record.line("from now on ", badServers, " of 3 servers of invoice-book ", kind == "length" ? "spoils the length of one in 25 answers" : "send bytes without end");
        }
        for (std::size_t i = 0; i < edges.size(); ++i) {
            Edge& edge = *edges[i];
            int status = 0;
            if (edge.pid()) {
                double resident = edge.residentMegabytes();
                peak = std::max(peak, resident);
                if (resident > memoryLimitMegabytes) {
                    ++overMemory;
                    record.line(edge.name(), " uses ", resident, " MB, more than memory_mb = 260: the platform kills it");
                    edge.stop();
                    restartAt[i] = Clock::now() + 1s;
                } else if (edge.ended(status)) {
                    ++ended;
                    record.line(edge.name(), " ended by itself: ", WIFEXITED(status) ? "exit code " : "signal ", WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
                    restartAt[i] = Clock::now() + 1s;
                }
            } else if (Clock::now() >= restartAt[i]) {
                edge.start();
                record.line(edge.name(), " is started again");
            }
        }
        if (Clock::now() >= nextLine) {
            nextLine += 1s;
            record.line("resident MB: ", edges[0]->residentMegabytes(), " ", edges[1]->residentMegabytes(), " ", edges[2]->residentMegabytes(), "; bytes without end, MB: ", static_cast<double>(endlessBytes) / 1e6, "; spoiled answers: ", spoiledAnswers.load());
        }
        std::this_thread::sleep_for(10ms);
    }
    finished = true;
    for (auto& consumer : consumers)
        consumer.join();
    for (auto& edge : edges)
        edge->stop();
    record.line("bench: sent ", bench.sent.load(), ", served ", bench.served.load(), ", failed ", bench.failed.load(), ", closed without an answer on a kept connection after a sound server had got it ", bench.closed.load());
    record.line("invoice: sent ", invoice.sent.load(), ", served ", invoice.served.load(), ", failed ", invoice.failed.load());
    record.line("processes that ended by themselves: ", ended, "; killed for their memory: ", overMemory, "; peak resident MB: ", peak);
    if (!bench.served) {
        record.line("the case could not run");
        _exit(2);
    }
    bool broken = bench.closed > 3;
    record.line(broken ? "LOST is broken" : "LOST holds");
    std::this_thread::sleep_for(200ms);
    _exit(broken ? 1 : 0);
}
