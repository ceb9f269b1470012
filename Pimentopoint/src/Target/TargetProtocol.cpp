#include "TargetProtocol.h"

#include "../Core/Log.h"

#include <nlohmann/json.hpp>

namespace pimentopoint {

using nlohmann::json;

namespace {

    constexpr long statusOk = 200;
    constexpr long statusUnavailable = 503;

    ExchangeOutcome refusalOutcome(const json& document)
    {
        const std::string reason = document.value("notRun", "");
        if (reason == "shed")
            return ExchangeOutcome::RefusedShed;
        if (reason == "snapshot")
            return ExchangeOutcome::RefusedSnapshot;
        if (reason == "leaving")
            return ExchangeOutcome::RefusedLeaving;
        return ExchangeOutcome::InvalidReply;
    }

    ExchangeOutcome parseContent(const json& document, const Dispatch& dispatch, SearchReply& reply)
    {
        reply.attempt = dispatch.attempt;
        reply.incarnation = Incarnation(document.at("incarnation").get<std::uint64_t>());
        reply.snapshot = SnapshotVersion(document.at("snapshot").get<std::uint64_t>());
        for (const json& range : document.at("covered")) {
            KeyRange covered(range.at(0).get<std::uint64_t>(), range.at(1).get<std::uint64_t>());
            if (covered.empty() || !dispatch.range.contains(covered))
                return ExchangeOutcome::InvalidReply;
            reply.covered.push_back(covered);
        }
        const json& hits = document.at("hits");
        if (!hits.is_array())
            return ExchangeOutcome::InvalidReply;
        reply.hits = hits.dump(-1, ' ', false, json::error_handler_t::replace);
        return ExchangeOutcome::Replied;
    }

} // namespace

std::string searchBody(const Dispatch& dispatch)
{
    return "{\"attempt\":\"" + dispatch.attempt.text() + "\",\"snapshot\":" + std::to_string(dispatch.snapshot.value())
        + ",\"begin\":" + std::to_string(dispatch.range.begin()) + ",\"end\":" + std::to_string(dispatch.range.end())
        + ",\"remainingUs\":" + std::to_string(dispatch.remaining.count()) + ",\"query\":" + quoteJson(dispatch.text) + "}";
}

std::string cancelBody(const AttemptId& attempt)
{
    return "{\"attempt\":\"" + attempt.text() + "\"}";
}

ExchangeOutcome parseTargetReply(const Dispatch& dispatch, long status, std::string_view body, SearchReply& reply)
{
    try {
        json document = json::parse(body);
        if (document.at("attempt").get<std::string>() != dispatch.attempt.text())
            return ExchangeOutcome::InvalidReply;
        if (status == statusUnavailable)
            return refusalOutcome(document);
        if (status != statusOk)
            return ExchangeOutcome::InvalidReply;
        return parseContent(document, dispatch, reply);
    } catch (const json::exception&) {
        return ExchangeOutcome::InvalidReply;
    }
}

} // namespace pimentopoint
