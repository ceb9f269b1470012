#include "Units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace pimentopoint {

namespace {

    struct Unit {
        std::string_view suffix;
        std::int64_t microseconds;
    };

    constexpr std::array<Unit, 4> units { { { "min", 60000000 }, { "ms", 1000 }, { "us", 1 }, { "s", 1000000 } } };

    std::optional<double> parseNumber(std::string_view text)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
            return std::nullopt;
        return value;
    }

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    constexpr double maxMicroseconds = 1e15;
    for (const Unit& unit : units) {
        if (!text.ends_with(unit.suffix))
            continue;
        auto number = parseNumber(text.substr(0, text.size() - unit.suffix.size()));
        if (!number)
            continue;
        double microseconds = *number * static_cast<double>(unit.microseconds);
        if (std::fabs(microseconds) > maxMicroseconds)
            return std::nullopt;
        return Duration(std::llround(microseconds));
    }
    return std::nullopt;
}

std::string formatDuration(Duration duration)
{
    constexpr std::array<Unit, 3> largestFirst { { { "s", 1000000 }, { "ms", 1000 }, { "us", 1 } } };
    for (const Unit& unit : largestFirst) {
        if (duration.count() % unit.microseconds == 0)
            return std::to_string(duration.count() / unit.microseconds) + std::string(unit.suffix);
    }
    return std::to_string(duration.count()) + "us";
}

std::optional<Fraction> parseFraction(std::string_view text)
{
    if (!text.ends_with('%'))
        return std::nullopt;
    auto percent = parseNumber(text.substr(0, text.size() - 1));
    if (!percent || *percent < 0 || *percent > 100)
        return std::nullopt;
    return Fraction(*percent / 100);
}

std::string formatFraction(Fraction fraction)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.6g%%", fraction.percent());
    return buffer;
}

} // namespace pimentopoint
