#include "StandinStore.h"

#include <cereal/external/base64.hpp>
#include <nlohmann/json.hpp>

namespace pimentopoint {

namespace {

    constexpr std::size_t maxReaders = 256;

    std::string percentDecoded(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    std::map<std::string, std::string> parseQuery(const std::string& target)
    {
        std::map<std::string, std::string> query;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            std::size_t end = target.find('&', at + 1);
            std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            std::size_t equals = pair.find('=');
            query[pair.substr(0, equals)] = percentDecoded(pair.substr(equals + 1));
            at = end;
        }
        return query;
    }

    nlohmann::json itemJson(const std::string& key, const std::string& value, std::uint64_t revision, bool removed)
    {
        if (removed)
            return { { "key", key }, { "revision", revision }, { "removed", true } };
        std::string base64 = cereal::base64::encode(reinterpret_cast<const unsigned char*>(value.data()), value.size());
        return { { "key", key }, { "value", base64 }, { "revision", revision }, { "created", revision }, { "lease", 0 } };
    }

} // namespace

StandinStore::StandinStore(boost::asio::io_context& context, const Clock& clock, const Endpoint& endpoint)
    : m_clock(clock)
    , m_server(context, clock, m_headerNames, endpoint, maxReaders,
          { [this](CallId call, const std::shared_ptr<const CallerRequest>& each) { handleRequest(call, each->requestTarget); }, [this](CallId call) { m_pendingWatches.erase(call); }, [] { return CallerLimits(); } })
{
}

void StandinStore::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision, false };
    tick();
}

void StandinStore::remove(const std::string& key)
{
    m_items[key] = { {}, ++m_revision, true };
    tick();
}

void StandinStore::compact()
{
    m_compactedRevision = m_revision;
    std::erase_if(m_items, [](const auto& item) { return item.second.removed; });
    tick();
}

StandinStore::Copy StandinStore::copy() const
{
    return { m_items, m_revision };
}

void StandinStore::returnFrom(const Copy& copy)
{
    m_items = copy.items;
    m_revision = copy.revision;
    ++m_era;
    tick();
}

void StandinStore::sendAnswer(CallId call, unsigned status, std::string body)
{
    CallerAnswer answer;
    answer.status = status;
    answer.body = std::move(body);
    answer.headers.emplace_back("Store-Era", std::to_string(m_era));
    m_server.answer(call, answer);
}

void StandinStore::handleRequest(CallId call, const std::string& target)
{
    constexpr unsigned unavailable = 503;
    constexpr unsigned tooMany = 429;
    constexpr unsigned notFound = 404;
    ++m_reads;
    if (m_fault == Fault::Unresponsive)
        return;
    if (m_fault != Fault::None) {
        sendAnswer(call, m_fault == Fault::Unavailable ? unavailable : m_fault == Fault::TooManyRequests ? tooMany
                                                                                                         : 200,
            m_fault == Fault::Malformed ? "{\"items\":" : "");
        return;
    }
    auto query = parseQuery(target);
    if (target.starts_with("/api/kv-range")) {
        answerPage(call, query);
    } else if (target.starts_with("/api/kv-watch")) {
        PendingWatch watch { query["prefix"], std::stoull(query["after"]), m_clock.now() + std::chrono::milliseconds(std::stoll(query["wait_ms"])) };
        if (!answerWatch(call, watch, false))
            m_pendingWatches[call] = watch;
    } else {
        sendAnswer(call, notFound, "");
    }
}

void StandinStore::answerPage(CallId call, const std::map<std::string, std::string>& query)
{
    std::string prefix = query.contains("prefix") ? query.at("prefix") : "";
    std::string after = query.contains("after") ? query.at("after") : "";
    nlohmann::json items = nlohmann::json::array();
    bool more = false;
    for (const auto& [key, item] : m_items) {
        if (item.removed || !key.starts_with(prefix) || key <= after)
            continue;
        more = items.size() >= m_pageItems;
        if (more)
            break;
        items.push_back(itemJson(key, item.value, item.revision, false));
    }
    sendAnswer(call, 200, nlohmann::json({ { "items", items }, { "has_more", more }, { "as_of", m_revision } }).dump());
}

bool StandinStore::answerWatch(CallId call, const PendingWatch& watch, bool expired)
{
    constexpr unsigned gone = 410;
    if (watch.after < m_compactedRevision || watch.after > m_revision) {
        sendAnswer(call, gone, "");
        return true;
    }
    nlohmann::json events = nlohmann::json::array();
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(watch.prefix) && item.revision > watch.after)
            events.push_back(itemJson(key, item.value, item.revision, item.removed));
    }
    if (events.empty() && !expired)
        return false;
    sendAnswer(call, 200, nlohmann::json({ { "events", events }, { "as_of", m_revision } }).dump());
    return true;
}

void StandinStore::tick()
{
    Instant now = m_clock.now();
    std::erase_if(m_pendingWatches, [&](const auto& each) { return m_fault != Fault::Unresponsive && answerWatch(each.first, each.second, now >= each.second.deadline); });
}

} // namespace pimentopoint
