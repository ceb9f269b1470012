/// \file
/// Commands that send requests to running processes: ask, status, explain, burn.
#include "Commands.h"
#include "OperatorClient.h"

#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace pimentopoint::commands {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;

    json parseReply(const std::string& body)
    {
        json document = json::parse(body, nullptr, false);
        if (document.is_discarded())
            throw ProcessUnreachable("the reply is not valid JSON");
        return document;
    }

    int exitCodeOf(const std::string& status)
    {
        if (status == "answer")
            return exitOk;
        if (status == "partial")
            return exitPartial;
        return status == "unknown" ? exitUnknown : exitNotRun;
    }

    std::string requestTicket(const OperatorClient& client)
    {
        OperatorClient::Reply reply = client.request("POST", "/v1/ticket");
        if (reply.status != statusOk)
            throw ProcessUnreachable("the front issued no ticket: " + reply.body);
        return parseReply(reply.body).at("ticket");
    }

    void printAnswer(const json& answer)
    {
        std::string status = answer.at("status");
        std::cout << status;
        if (answer.contains("reason"))
            std::cout << " (" << answer.at("reason").get<std::string>() << ")";
        std::cout << ", id " << answer.value("id", "") << "\n";
        if (answer.contains("detail"))
            std::cout << answer.at("detail").get<std::string>() << "\n";
        if (!answer.contains("coverage"))
            return;
        const json& coverage = answer.at("coverage");
        std::printf("snapshot %llu, configuration %llu, coverage %.2f%%, %zu hits\n", answer.at("snapshot").get<unsigned long long>(),
            answer.at("configuration").get<unsigned long long>(), coverage.at("fraction").get<double>() * 100, answer.at("hits").size());
        for (const json& range : coverage.at("missing"))
            std::cout << "missing keys " << range.at(0) << " to " << range.at(1) << "\n";
    }

    struct WindowCounts {
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;
    };

    struct ServiceLevel {
        double objective = 0;
        std::map<std::uint64_t, WindowCounts> windows;
    };

    double burnRate(const WindowCounts& window, double objective)
    {
        // Avoids a division by zero for an objective of 100%.
        constexpr double minErrorBudget = 1e-6;
        double total = static_cast<double>(window.successes + window.failures);
        return total > 0 ? static_cast<double>(window.failures) / total / std::max(1 - objective, minErrorBudget) : 0;
    }

    std::map<std::string, ServiceLevel> collectLevels(const std::vector<Endpoint>& fronts)
    {
        std::map<std::string, ServiceLevel> levels;
        for (const Endpoint& front : fronts) {
            json report = parseReply(OperatorClient(front).request("GET", "/v1/burn").body);
            for (const json& entry : report.at("searchFronts")) {
                ServiceLevel& level = levels[entry.at("name")];
                level.objective = entry.at("objective");
                for (const json& window : entry.at("windows")) {
                    WindowCounts& counts = level.windows[window.at("seconds")];
                    counts.successes += window.at("good").get<std::uint64_t>();
                    counts.failures += window.at("bad").get<std::uint64_t>();
                }
            }
        }
        return levels;
    }

} // namespace

int ask(const AskOptions& options)
{
    OperatorClient client(options.front);
    json body { { "query", options.query } };
    if (!options.deadline.empty())
        body["deadline"] = options.deadline;
    if (!options.id.empty())
        body["id"] = options.id;
    if (options.once)
        body["ticket"] = requestTicket(client);
    if (!options.ticket.empty())
        body["ticket"] = options.ticket;
    OperatorClient::Reply reply = client.request("POST", "/v1/search/" + options.searchFront, body.dump());
    json answer = parseReply(reply.body);
    if (options.json)
        std::cout << answer.dump(2) << "\n";
    else
        printAnswer(answer);
    return exitCodeOf(answer.at("status"));
}

int status(const Endpoint& process, bool asJson)
{
    json report = parseReply(OperatorClient(process).request("GET", "/v1/status").body);
    if (asJson) {
        std::cout << report.dump(2) << "\n";
        return exitOk;
    }
    std::cout << report.at("role").get<std::string>() << " " << report.at("name").get<std::string>() << " in " << report.at("dataCentre").get<std::string>()
              << (report.at("serving").get<bool>() ? ", serving" : ", not serving") << ", configuration " << report.at("configuration") << ", hosts "
              << report.at("hosts") << "\n";
    for (const json& member : report.at("members"))
        std::printf("  %-8s %-20s %-14s %s\n", member.at("role").get<std::string>().c_str(), member.at("name").get<std::string>().c_str(),
            member.at("dataCentre").get<std::string>().c_str(), member.at("state").get<std::string>().c_str());
    for (const json& target : report.value("targets", json::array()))
        std::printf("  target   %-20s %-8s outstanding %u of %u, waiting %u, service time %.1f ms\n", target.at("name").get<std::string>().c_str(),
            target.at("state").get<std::string>().c_str(), target.at("atWork").get<unsigned>(), target.at("slots").get<unsigned>(),
            target.at("waiting").get<unsigned>(), target.at("serviceTimeUs").get<double>() / 1000);
    return exitOk;
}

int explain(const Endpoint& front, const std::string& id, bool asJson)
{
    OperatorClient::Reply reply = OperatorClient(front).request("GET", "/v1/explain/" + id);
    json report = parseReply(reply.body);
    if (reply.status != statusOk) {
        std::cout << report.value("detail", "no information about this request") << "\n";
        return exitFailed;
    }
    if (asJson) {
        std::cout << report.dump(2) << "\n";
        return exitOk;
    }
    for (const auto& [key, value] : report.items())
        std::cout << key << ": " << value << "\n";
    return exitOk;
}

int burn(const std::vector<Endpoint>& fronts, bool asJson)
{
    std::map<std::string, ServiceLevel> levels = collectLevels(fronts);
    json report = json::array();
    bool burning = false;
    if (!asJson)
        std::printf("%-20s %9s %8s %10s %8s %8s\n", "search front", "objective", "window", "good", "bad", "burn");
    for (const auto& [name, level] : levels) {
        for (const auto& [seconds, window] : level.windows) {
            double rate = burnRate(window, level.objective);
            burning = burning || rate > 1;
            report.push_back({ { "searchFront", name }, { "objective", level.objective }, { "windowSeconds", seconds }, { "good", window.successes },
                { "bad", window.failures }, { "burn", rate } });
            if (!asJson)
                std::printf("%-20s %8.2f%% %7llus %10llu %8llu %8.2f\n", name.c_str(), level.objective * 100, static_cast<unsigned long long>(seconds),
                    static_cast<unsigned long long>(window.successes), static_cast<unsigned long long>(window.failures), rate);
        }
    }
    if (asJson)
        std::cout << report.dump(2) << "\n";
    return burning ? exitBurnRateExceeded : exitOk;
}

} // namespace pimentopoint::commands
