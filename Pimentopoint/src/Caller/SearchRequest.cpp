#include "SearchRequest.h"

#include "../Core/Units.h"
#include "../Core/util/Constants.h"

#include <nlohmann/json.hpp>

namespace pimentopoint {

using nlohmann::json;

namespace {

    constexpr std::size_t maxIdBytes = 128;

    std::string textMember(const json& document, const std::string& key)
    {
        const json& value = document.at(key);
        if (!value.is_string())
            throw InvalidRequest(key + " must be a string");
        return value.get<std::string>();
    }

    Duration readDeadline(const std::string& text)
    {
        auto deadline = parseDuration(text);
        if (!deadline || *deadline <= Duration(0) || *deadline > maxDeadline)
            throw InvalidRequest("deadline is " + text + ", but must be above 0 and at most " + formatDuration(maxDeadline) + ", such as 59ms");
        return *deadline;
    }

} // namespace

SearchRequest SearchRequest::parse(const SearchFrontName& searchFront, std::string_view body)
{
    SearchRequest request;
    request.searchFront = searchFront;
    try {
        // Rejects deep nesting before the recursive parser reaches it.
        int depth = 0;
        json document = json::parse(body, [&depth](int level, json::parse_event_t, json&) {
            depth = std::max(depth, level);
            if (depth > maxDocumentDepth)
                throw InvalidRequest("body is nested too deeply");
            return true;
        });
        if (!document.is_object())
            throw InvalidRequest("body must be a JSON object");
        for (const auto& [key, value] : document.items()) {
            if (key == "query")
                request.text = textMember(document, key);
            else if (key == "deadline")
                request.deadline = readDeadline(textMember(document, key));
            else if (key == "ticket")
                request.ticket = textMember(document, key);
            else if (key == "id")
                request.id = textMember(document, key);
            else
                throw InvalidRequest("unknown member " + key + "; allowed members are query, deadline, ticket and id");
        }
        if (!document.contains("query"))
            throw InvalidRequest("member query is missing");
    } catch (const json::exception& failure) {
        throw InvalidRequest(std::string("body is not valid JSON: ") + failure.what());
    }
    if (request.id.size() > maxIdBytes)
        throw InvalidRequest("id is longer than " + std::to_string(maxIdBytes) + " bytes");
    return request;
}

} // namespace pimentopoint
