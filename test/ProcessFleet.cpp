#include "ProcessFleet.h"

#include "Ports.h"

#include <Pimentopoint/Operator>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <curl/curl.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char** environ;

namespace pimentopoint::test {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t shardCount = 4;

    std::size_t append(char* data, std::size_t size, std::size_t count, void* body)
    {
        static_cast<std::string*>(body)->append(data, size * count);
        return size * count;
    }

} // namespace

HttpReply http(const std::string& method, const Endpoint& endpoint, const std::string& path, const std::string& body)
{
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(curl_slist_append(nullptr, "Content-Type: application/json"), curl_slist_free_all);
    HttpReply reply;
    std::string url = "http://" + endpoint.text() + path;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, 20000L);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    if (method == "POST") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_COPYPOSTFIELDS, body.c_str());
    }
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply.body);
    if (curl_easy_perform(easy.get()) != CURLE_OK)
        return {};
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &reply.status);
    return reply;
}

bool eventually(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + 60s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

ProcessFleet::ProcessFleet()
{
    static const bool curlReady = curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
    (void)curlReady;
    std::string pattern = (std::filesystem::temp_directory_path() / "pimentopoint-XXXXXX").string();
    temporaryFolder = mkdtemp(pattern.data());
    m_filesFolder = temporaryFolder + "-files";
    std::filesystem::create_directory(m_filesFolder);
    m_platformEndpoint = freeEndpoint();
    platform = std::make_unique<standins::StandinPlatform>(m_platformEndpoint, 24);
    for (std::size_t i = 0; i < 2 * shardCount; ++i) {
        standins::TargetBehaviour behaviour;
        behaviour.name = "t" + std::to_string(i);
        behaviour.slots = 4;
        behaviour.shedThreshold = 16;
        m_targetEndpoints.push_back(freeEndpoint());
        targets.push_back(std::make_unique<standins::StandinTarget>(m_targetEndpoints.back(), behaviour, 16));
    }
    for (const char* name : { "fa", "fb", "fc", "ga", "gb" })
        m_processes[name] = { name[0] == 'f' ? "pimentopoint-front" : "pimentopoint-gateway", freeEndpoint(), freeEndpoint(), freeEndpoint(), 0 };
    publish();
    for (const char* name : { "ga", "gb", "fa", "fb" })
        spawn(name);
    try {
        for (const char* name : { "ga", "gb", "fa", "fb" })
            waitForStart(name);
    } catch (...) {
        killAll();
        throw;
    }
}

ProcessFleet::~ProcessFleet()
{
    killAll();
}

void ProcessFleet::killAll()
{
    for (auto& [name, process] : m_processes) {
        if (process.pid) {
            kill(process.pid, SIGCONT);
            kill(process.pid, SIGKILL);
            wait(name);
        }
    }
    for (const auto& [name, process] : m_processes)
        checkSanitizerReports(name);
    // Stopped in parallel, as each takes seconds to stop its threads.
    std::vector<std::thread> stops;
    for (auto& target : targets)
        stops.emplace_back([&target] { target.reset(); });
    platform.reset();
    for (std::thread& stop : stops)
        stop.join();
    std::filesystem::remove_all(temporaryFolder);
    std::filesystem::remove_all(m_filesFolder);
}

void ProcessFleet::checkSanitizerReports(const std::string& name)
{
    std::ifstream file(log(name));
    for (std::string line; std::getline(file, line);) {
        bool found = line.find("Sanitizer") != std::string::npos || line.find("runtime error:") != std::string::npos;
        if (!found)
            continue;
        std::stringstream report;
        report << file.rdbuf();
        FAIL_CHECK(name << " has a sanitizer report: " << line << "\n"
                        << report.str());
        return;
    }
}

void ProcessFleet::start(const std::string& name)
{
    spawn(name);
    waitForStart(name);
}

void ProcessFleet::waitForStart(const std::string& name)
{
    Process& process = m_processes.at(name);
    int status = 0;
    bool ended = false;
    bool started = eventually([&] {
        ended = !process.pid || waitpid(process.pid, &status, WNOHANG) == process.pid;
        return ended || isResponding(name);
    });
    if (started && !ended)
        return;
    if (ended)
        process.pid = 0;
    std::stringstream text;
    text << std::ifstream(log(name)).rdbuf();
    throw std::runtime_error(name + " did not start; its log: " + text.str());
}

void ProcessFleet::spawn(const std::string& name)
{
    Process& process = m_processes.at(name);
    std::string settings = m_filesFolder + "/" + name + ".yaml";
    std::ofstream(settings) << "name: " << name << "\ndataCentre: " << (name[1] == 'b' ? "b" : "a") << "\nlisten: {http: " << process.http.text()
                            << ", tcp: " << process.tcp.text() << ", udp: " << process.udp.text() << "}\nmembers: [" << udp("fa").text() << ", " << udp("gb").text()
                            << "]\nplatform: " << m_platformEndpoint.text() << "\nthreads: 24\n";
    std::string program = std::string(PIMENTOPOINT_BINARIES) + "/" + process.program;
    std::vector<std::string> words { program, "--settings", settings };
    std::vector<char*> arguments;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    setenv("TMPDIR", temporaryFolder.c_str(), 1);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log(name).c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    if (posix_spawn(&process.pid, program.c_str(), &actions, nullptr, arguments.data(), environ))
        process.pid = 0;
    posix_spawn_file_actions_destroy(&actions);
    unsetenv("TMPDIR");
}

void ProcessFleet::signal(const std::string& name, int signal)
{
    kill(m_processes.at(name).pid, signal);
}

int ProcessFleet::wait(const std::string& name)
{
    Process& process = m_processes.at(name);
    int status = 0;
    waitpid(process.pid, &status, 0);
    process.pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ProcessFleet::isResponding(const std::string& name)
{
    return test::http("GET", http(name), "/metrics").status == 200;
}

void ProcessFleet::publish(const std::string& takenOut)
{
    ConfigurationBuilder builder { ConfigurationVersion(++version) };
    for (const char* name : { "a", "b" })
        builder.addDataCentre(DataCentre(DataCentreName(name), "r").addGateway(MemberName(std::string("g") + name)).setTakenOut(takenOut == name));
    builder.addTargetSet(TargetSet("s").setSlots(4).setConnections(8).setColdLimit(2));
    std::vector<std::vector<std::string>> replicas(shardCount);
    for (std::size_t i = 0; i < m_targetEndpoints.size(); ++i) {
        builder.addTarget("t" + std::to_string(i), m_targetEndpoints[i], i % 2 ? "b" : "a");
        replicas[i / 2].push_back("t" + std::to_string(i));
    }
    builder.addShardGroup("g", SnapshotVersion(1), replicas);
    builder.addSearchFront("read", "g", [](SearchFront& front) { front.setDeadline(800ms).setExtraAttemptRatio(Fraction(0.2)); });
    builder.addSearchFront("order", "g", [](SearchFront& front) { front.setIdempotent(false).setDeadline(800ms); });
    platform->publish("configuration", version, builder.print());
}

void ProcessFleet::publishHosts(const std::string& leaving)
{
    ++hostsVersion;
    std::string list = leaving.empty() ? "[]" : "[{name: " + leaving + ", state: leaving}]";
    platform->publish("hosts", hostsVersion, "version: " + std::to_string(hostsVersion) + "\nhosts: " + list + "\n");
}

HttpReply ProcessFleet::search(const std::string& front, const std::string& searchFront, const std::string& query, const std::string& ticket)
{
    nlohmann::json body { { "query", query } };
    if (!ticket.empty())
        body["ticket"] = ticket;
    return test::http("POST", http(front), "/v1/search/" + searchFront, body.dump());
}

std::string ProcessFleet::ticket(const std::string& front)
{
    HttpReply reply = test::http("POST", http(front), "/v1/ticket");
    return reply.status == 200 ? nlohmann::json::parse(reply.body).at("ticket").get<std::string>() : "";
}

bool ProcessFleet::waitForWholeAnswer(const std::string& front)
{
    return eventually([&] { return search(front, "read", "warm").body.find("\"whole\":true") != std::string::npos; });
}

bool ProcessFleet::waitForVersions(const std::string& name, std::uint64_t configuration, std::uint64_t hosts)
{
    return eventually([&] {
        auto status = nlohmann::json::parse(test::http("GET", http(name), "/v1/status").body, nullptr, false);
        return !status.is_discarded() && status.at("configuration") == configuration && status.at("hosts") == hosts;
    });
}

} // namespace pimentopoint::test
