#include "HttpText.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>

namespace pimentopoint {

namespace http = boost::beast::http;

namespace {

    std::string_view view(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

HeaderList endToEndHeaders(const http::fields& fields, std::initializer_list<std::string_view> dropped)
{
    std::vector<std::string_view> connectionTokens;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        connectionTokens.push_back(view(token));
    HeaderList headers;
    for (const auto& field : fields) {
        switch (field.name()) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_authenticate:
        case http::field::proxy_authorization:
        case http::field::proxy_connection:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::upgrade:
        case http::field::content_length:
        case http::field::expect:
            continue;
        default:
            break;
        }
        std::string_view name = view(field.name_string());
        auto same = [name](std::string_view other) { return equalsIgnoringCase(name, other); };
        if (std::any_of(connectionTokens.begin(), connectionTokens.end(), same) || std::any_of(dropped.begin(), dropped.end(), same))
            continue;
        headers.emplace_back(name, view(field.value()));
    }
    return headers;
}

std::string_view headerValue(const http::fields& fields, std::string_view name)
{
    return view(fields[boost::beast::string_view(name.data(), name.size())]);
}

std::optional<std::uint64_t> parseNumber(std::string_view value)
{
    std::uint64_t number = 0;
    auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (failed != std::errc() || end != value.data() + value.size())
        return std::nullopt;
    return number;
}

std::optional<double> parseRate(std::string_view value)
{
    double rate = 0;
    auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), rate);
    bool valid = failed == std::errc() && end == value.data() + value.size() && std::isfinite(rate) && rate >= 0;
    return valid ? std::optional(rate) : std::nullopt;
}

std::optional<Duration> parseRetryAfter(std::string_view value)
{
    constexpr double maxSeconds = 3600;
    auto seconds = parseRate(value);
    return seconds ? std::optional(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(*seconds, maxSeconds)))) : std::nullopt;
}

std::optional<Duration> parseMicroseconds(std::string_view value)
{
    constexpr std::uint64_t microsecondsPerDay = 86'400'000'000;
    auto microseconds = parseNumber(value);
    return microseconds && *microseconds <= microsecondsPerDay ? std::optional(Duration(static_cast<Duration::rep>(*microseconds))) : std::nullopt;
}

std::optional<std::vector<std::size_t>> parseNumbers(std::string_view value)
{
    std::vector<std::size_t> numbers;
    for (std::size_t at = 0; !value.empty() && at <= value.size();) {
        std::size_t end = std::min(value.find(',', at), value.size());
        auto number = parseNumber(value.substr(at, end - at));
        if (!number)
            return std::nullopt;
        numbers.push_back(*number);
        at = end + 1;
    }
    return numbers;
}

std::string joinNumbers(const std::vector<std::size_t>& numbers)
{
    std::string text;
    for (std::size_t number : numbers)
        text.append(text.empty() ? "" : ",").append(std::to_string(number));
    return text;
}

void appendHeader(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reasonPhrase(unsigned status)
{
    return view(http::obsolete_reason(http::int_to_status(status)));
}

} // namespace pimentopoint
