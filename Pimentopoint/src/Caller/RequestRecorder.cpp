#include "RequestRecorder.h"

#include "../Core/Log.h"

#include <cstdio>

namespace pimentopoint {

namespace {

    /// Number of latest requests whose explanations are kept.
    constexpr std::size_t explanationCapacity = 2048;

    bool isCallerError(NotRunReason reason)
    {
        return reason == NotRunReason::BadRequest || reason == NotRunReason::NoSuchSearchFront || reason == NotRunReason::NoTicket
            || reason == NotRunReason::TicketMismatch;
    }

    bool meetsObjective(const Answer& answer, const SearchFront& searchFront, Duration latency)
    {
        bool ran = answer.outcome == Outcome::Answered || answer.outcome == Outcome::Partial;
        return ran && answer.coverage.reaches(searchFront.enoughCoverage()) && latency <= searchFront.latencyObjective();
    }

    std::string reasonOf(const Answer& answer)
    {
        return std::string(answer.outcome == Outcome::NotRun ? textOf(answer.notRunReason) : textOf(answer.unknownReason));
    }

    std::string explanationOf(const SearchRequest& request, const Answer& answer, const std::string& id, Duration latency)
    {
        auto member = [](const char* name, std::uint64_t value) { return ",\"" + std::string(name) + "\":" + std::to_string(value); };
        return "{\"id\":" + quoteJson(id) + ",\"searchFront\":" + quoteJson(request.searchFront.value()) + ",\"status\":\""
            + std::string(textOf(answer.outcome)) + "\",\"reason\":\"" + reasonOf(answer) + "\""
            + member("latencyUs", static_cast<std::uint64_t>(latency.count())) + member("firstSends", answer.firstAttempts)
            + member("hedges", answer.hedges) + member("retries", answer.retries) + member("snapshot", answer.snapshot.value())
            + member("configuration", answer.configuration.value()) + member("missingRanges", answer.missing.size())
            + ",\"coverage\":" + std::to_string(answer.coverage.value()) + "}";
    }

    std::string windowJson(const BurnRateWindows::Window& window, Fraction objective)
    {
        char rate[32];
        std::snprintf(rate, sizeof rate, "%.3f", window.burnRate(objective));
        auto seconds = std::chrono::duration_cast<std::chrono::seconds>(window.length).count();
        return "{\"seconds\":" + std::to_string(seconds) + ",\"good\":" + std::to_string(window.successes) + ",\"bad\":" + std::to_string(window.failures)
            + ",\"burn\":" + rate + "}";
    }

} // namespace

void RequestRecorder::updateMetrics(const SearchRequest& request, const Answer& answer, Duration latency)
{
    std::string label = "front=" + quoteJson(request.searchFront.value());
    std::string outcome = "outcome=\"" + std::string(textOf(answer.outcome)) + "\",reason=\"" + reasonOf(answer) + "\"";
    m_metrics.add("pimentopoint_requests_total", label + "," + outcome);
    m_metrics.add("pimentopoint_first_sends_total", label, answer.firstAttempts);
    m_metrics.add("pimentopoint_hedges_total", label, answer.hedges);
    m_metrics.add("pimentopoint_retries_total", label, answer.retries);
    m_metrics.observe("pimentopoint_latency_ms", label, latency);
    m_metrics.observeFraction("pimentopoint_coverage", label, answer.coverage.value());
}

void RequestRecorder::storeExplanation(const std::string& id, const std::string& explanation)
{
    std::lock_guard lock(m_explanationsMutex);
    if (m_explanations.insert_or_assign(id, explanation).second)
        m_explanationOrder.push_back(id);
    if (m_explanationOrder.size() <= explanationCapacity)
        return;
    m_explanations.erase(m_explanationOrder.front());
    m_explanationOrder.pop_front();
}

void RequestRecorder::record(const SearchRequest& request, const Answer& answer, const std::string& id, const SearchFront* searchFront, Duration latency,
    Instant now)
{
    updateMetrics(request, answer, latency);
    storeExplanation(id, explanationOf(request, answer, id, latency));
    bool excluded = answer.outcome == Outcome::NotRun && isCallerError(answer.notRunReason);
    if (!searchFront || excluded)
        return;
    std::lock_guard lock(m_burnMutex);
    m_burn[searchFront->name()].record(meetsObjective(answer, *searchFront, latency), now);
}

std::string RequestRecorder::burnReport(const Configuration* configuration, Instant now) const
{
    std::string report = "{\"searchFronts\":[";
    if (!configuration)
        return report + "]}";
    std::lock_guard lock(m_burnMutex);
    const BurnRateWindows none;
    const char* separator = "";
    for (const SearchFront& searchFront : configuration->searchFronts()) {
        report += separator;
        report += "{\"name\":" + quoteJson(searchFront.name().value()) + ",\"objective\":" + std::to_string(searchFront.objective().value())
            + ",\"latencyObjectiveUs\":" + std::to_string(searchFront.latencyObjective().count()) + ",\"windows\":[";
        separator = ",";
        auto found = m_burn.find(searchFront.name());
        const char* windowSeparator = "";
        for (const BurnRateWindows::Window& window : (found == m_burn.end() ? none : found->second).windows(now)) {
            report += windowSeparator + windowJson(window, searchFront.objective());
            windowSeparator = ",";
        }
        report += "]}";
    }
    return report + "]}";
}

std::string RequestRecorder::explain(const std::string& id) const
{
    std::lock_guard lock(m_explanationsMutex);
    auto found = m_explanations.find(id);
    return found == m_explanations.end() ? "" : found->second;
}

} // namespace pimentopoint
