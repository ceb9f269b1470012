/// \file
/// Entries of targets that another writer may leave in the platform's store: valid or invalid JSON with extreme values.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace pimentopoint {

/// \returns \a valid, the entry of a target, with one extreme value each, and the name of that value
inline std::vector<std::pair<std::string, std::string>> oddEntries(const nlohmann::json& valid)
{
    std::vector<std::pair<std::string, std::string>> entries;
    auto add = [&](const std::string& field, const std::string& value) {
        nlohmann::json entry = valid;
        entry.erase(field);
        std::string text = entry.dump();
        text.insert(text.size() - 1, ",\"" + field + "\":" + value);
        entries.emplace_back(field + " = " + value.substr(0, 24), text);
    };
    for (const char* port : { "70000", "65536", "-1", "99999999999999999999", "80x" })
        add("address", "\"10.0.0.1:" + std::string(port) + "\"");
    for (const char* slots : { "4294967296", "4294967297", "9223372036854775808", "18446744073709551615", "18446744073709551616", "1e400", "-1" })
        add("slots", slots);
    for (const char* milliseconds : { "1e400", "1e308", "-1e308", "1e19", "9223372036854775807", "18446744073709551616", "-1" })
        add("warmup_left_ms", milliseconds);
    for (const char* start : { "1e400", "18446744073709551616" })
        add("born", start);
    for (const char* text : { "\"\\ud800\"", "\"\xff\xfe\"", "\"\"" })
        add("service", text);
    for (std::size_t depth : { 10000, 200000 }) {
        add("service", std::string(depth, '[') + std::string(depth, ']'));
        add("extra", std::string(depth, '['));
    }
    return entries;
}

} // namespace pimentopoint
