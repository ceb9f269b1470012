/// \file
/// Commands that ask running processes: ask, status, explain, burn.
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

    json parsed(const std::string& body)
    {
        json document = json::parse(body, nullptr, false);
        if (document.is_discarded())
            throw ProcessUnreachable("the reply is no JSON");
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

    std::string takeTicket(const OperatorClient& client)
    {
        OperatorClient::Reply reply = client.request("POST", "/v1/ticket");
        if (reply.status != statusOk)
            throw ProcessUnreachable("no ticket: " + reply.body);
        return parsed(reply.body).at("ticket");
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

    struct WindowSum {
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
    };

    struct Level {
        double objective = 0;
        std::map<std::uint64_t, WindowSum> windows;
    };

    double burnRate(const WindowSum& window, double objective)
    {
        constexpr double smallestAllowance = 1e-6;
        double all = static_cast<double>(window.good + window.bad);
        return all > 0 ? static_cast<double>(window.bad) / all / std::max(1 - objective, smallestAllowance) : 0;
    }

    std::map<std::string, Level> collectLevels(const std::vector<Endpoint>& fronts)
    {
        std::map<std::string, Level> levels;
        for (const Endpoint& front : fronts) {
            json report = parsed(OperatorClient(front).request("GET", "/v1/burn").body);
            for (const json& entry : report.at("searchFronts")) {
                Level& level = levels[entry.at("name")];
                level.objective = entry.at("objective");
                for (const json& window : entry.at("windows")) {
                    WindowSum& sum = level.windows[window.at("seconds")];
                    sum.good += window.at("good").get<std::uint64_t>();
                    sum.bad += window.at("bad").get<std::uint64_t>();
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
        body["ticket"] = takeTicket(client);
    if (!options.ticket.empty())
        body["ticket"] = options.ticket;
    OperatorClient::Reply reply = client.request("POST", "/v1/search/" + options.searchFront, body.dump());
    json answer = parsed(reply.body);
    if (options.json)
        std::cout << answer.dump(2) << "\n";
    else
        printAnswer(answer);
    return exitCodeOf(answer.at("status"));
}

int status(const Endpoint& process, bool asJson)
{
    json report = parsed(OperatorClient(process).request("GET", "/v1/status").body);
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
        std::printf("  target   %-20s %-8s at work %u of %u, waiting %u, usually %.1f ms\n", target.at("name").get<std::string>().c_str(),
            target.at("state").get<std::string>().c_str(), target.at("atWork").get<unsigned>(), target.at("slots").get<unsigned>(),
            target.at("waiting").get<unsigned>(), target.at("serviceTimeUs").get<double>() / 1000);
    return exitOk;
}

int explain(const Endpoint& front, const std::string& id, bool asJson)
{
    OperatorClient::Reply reply = OperatorClient(front).request("GET", "/v1/explain/" + id);
    json report = parsed(reply.body);
    if (reply.status != statusOk) {
        std::cout << report.value("detail", "nothing is known") << "\n";
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
    std::map<std::string, Level> levels = collectLevels(fronts);
    json report = json::array();
    bool burning = false;
    if (!asJson)
        std::printf("%-20s %9s %8s %10s %8s %8s\n", "search front", "objective", "window", "good", "bad", "burn");
    for (const auto& [name, level] : levels) {
        for (const auto& [seconds, window] : level.windows) {
            double rate = burnRate(window, level.objective);
            burning = burning || rate > 1;
            report.push_back({ { "searchFront", name }, { "objective", level.objective }, { "windowSeconds", seconds }, { "good", window.good },
                { "bad", window.bad }, { "burn", rate } });
            if (!asJson)
                std::printf("%-20s %8.2f%% %7llus %10llu %8llu %8.2f\n", name.c_str(), level.objective * 100, static_cast<unsigned long long>(seconds),
                    static_cast<unsigned long long>(window.good), static_cast<unsigned long long>(window.bad), rate);
        }
    }
    if (asJson)
        std::cout << report.dump(2) << "\n";
    return burning ? exitBurnRateExceeded : exitOk;
}

} // namespace pimentopoint::commands
