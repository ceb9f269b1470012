#include "Answer.h"

#include "../Core/Log.h"

#include <cstdio>

namespace pimentopoint {

namespace {

    std::uint32_t statusOf(NotRunReason reason)
    {
        switch (reason) {
        case NotRunReason::BadRequest:
            return 400;
        case NotRunReason::NoSuchSearchFront:
            return 404;
        case NotRunReason::TicketMismatch:
            return 409;
        case NotRunReason::NoTicket:
            return 428;
        default:
            return 503;
        }
    }

    std::uint32_t statusOf(const Answer& answer)
    {
        constexpr std::uint32_t ok = 200;
        constexpr std::uint32_t gatewayTimeout = 504;
        if (answer.outcome == Outcome::NotRun)
            return statusOf(answer.notRunReason);
        return answer.outcome == Outcome::Unknown ? gatewayTimeout : ok;
    }

    std::string missingJson(const std::vector<KeyRange>& missing)
    {
        std::string text = "[";
        for (const KeyRange& range : missing)
            text += (text.size() > 1 ? ",[" : "[") + std::to_string(range.begin()) + "," + std::to_string(range.end()) + "]";
        return text + "]";
    }

    std::string coverageJson(const Answer& answer)
    {
        char fraction[32];
        std::snprintf(fraction, sizeof fraction, "%.6f", answer.coverage.value());
        return std::string("{\"whole\":") + (answer.missing.empty() ? "true" : "false") + ",\"fraction\":" + fraction
            + ",\"missing\":" + missingJson(answer.missing) + "}";
    }

} // namespace

Answer Answer::refused(NotRunReason reason, std::string detail)
{
    Answer answer;
    answer.notRunReason = reason;
    answer.detail = std::move(detail);
    return answer;
}

Answer Answer::unknownOutcome(UnknownReason reason)
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.unknownReason = reason;
    return answer;
}

RenderedAnswer render(const Answer& answer, const std::string& id)
{
    std::string body = "{\"status\":\"" + std::string(textOf(answer.outcome)) + "\",\"id\":" + quoteJson(id);
    if (answer.outcome == Outcome::NotRun)
        body += ",\"reason\":\"" + std::string(textOf(answer.notRunReason)) + "\"";
    if (answer.outcome == Outcome::Unknown)
        body += ",\"reason\":\"" + std::string(textOf(answer.unknownReason)) + "\"";
    if (!answer.detail.empty())
        body += ",\"detail\":" + quoteJson(answer.detail);
    if (answer.outcome == Outcome::Answered || answer.outcome == Outcome::Partial) {
        body += ",\"snapshot\":" + std::to_string(answer.snapshot.value()) + ",\"configuration\":"
            + std::to_string(answer.configuration.value()) + ",\"coverage\":" + coverageJson(answer) + ",\"hits\":" + answer.hits;
    }
    return { statusOf(answer), body + "}" };
}

} // namespace pimentopoint
