#include "DocumentReader.h"

#include "../Core/Units.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <vector>

namespace pimentopoint::internal {

namespace {

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 1; i <= left.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= right.size(); ++j) {
                std::size_t substitution = diagonal + (left[i - 1] != right[j - 1]);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
            }
        }
        return row.back();
    }

    std::string joined(std::initializer_list<std::string_view> words)
    {
        std::string text;
        for (std::string_view word : words)
            text += (text.empty() ? "" : ", ") + std::string(word);
        return text;
    }

} // namespace

std::string closestMatch(std::string_view word, std::initializer_list<std::string_view> known)
{
    auto smallerDistance = [&](std::string_view a, std::string_view b) { return editDistance(word, a) < editDistance(word, b); };
    return std::string(*std::min_element(known.begin(), known.end(), smallerDistance));
}

DocumentReader::DocumentReader(const YAML::Node& node, std::string path, Problems& problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!m_node.IsMap())
        m_problems.emplace_back(line(), m_path.empty() ? "document" : m_path, "a value that is not a mapping", "a mapping");
}

int DocumentReader::lineOf(const YAML::Node& node)
{
    return node.IsDefined() ? node.Mark().line + 1 : 0;
}

YAML::Node DocumentReader::find(const std::string& key) const
{
    if (!m_node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    // operator[] of a node that is not const would insert the key.
    const YAML::Node& constNode = m_node;
    return constNode[key];
}

bool DocumentReader::has(const std::string& key) const
{
    return find(key).IsDefined();
}

void DocumentReader::allowKeys(std::initializer_list<std::string_view> keys)
{
    if (!m_node.IsMap())
        return;
    std::vector<std::string> seen;
    for (const auto& entry : m_node) {
        std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (std::find(seen.begin(), seen.end(), key) != seen.end())
            m_problems.emplace_back(lineOf(entry.first), pathOf(key), "a duplicate key", "each key at most once");
        seen.push_back(key);
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            m_problems.emplace_back(lineOf(entry.first), pathOf(key), "an unknown key", "nearest known key is " + closestMatch(key, keys));
    }
}

void DocumentReader::addProblem(const std::string& key, const std::string& found, const std::string& allowed)
{
    YAML::Node node = find(key);
    m_problems.emplace_back(node.IsDefined() ? lineOf(node) : line(), pathOf(key), found, allowed);
}

std::optional<std::string> DocumentReader::scalar(const std::string& key, bool required)
{
    YAML::Node node = find(key);
    if (!node.IsDefined()) {
        if (required)
            addProblem(key, "nothing", "a value");
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        addProblem(key, "a value that is not a scalar", "a scalar");
        return std::nullopt;
    }
    return node.Scalar();
}

std::string DocumentReader::text(const std::string& key)
{
    auto value = scalar(key, true);
    if (value && value->empty())
        addProblem(key, "an empty string", "a non-empty string");
    return value.value_or("");
}

std::string DocumentReader::text(const std::string& key, std::string fallback)
{
    return scalar(key, false).value_or(std::move(fallback));
}

std::uint64_t DocumentReader::number(const std::string& key, std::uint64_t minimum, std::uint64_t maximum)
{
    auto value = scalar(key, true);
    if (!value)
        return minimum;
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    bool valid = error == std::errc() && end == value->data() + value->size() && number >= minimum && number <= maximum;
    if (valid)
        return number;
    addProblem(key, *value, std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

std::uint64_t DocumentReader::number(const std::string& key, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t fallback)
{
    return has(key) ? number(key, minimum, maximum) : fallback;
}

Duration DocumentReader::duration(const std::string& key, Duration minimum, Duration maximum)
{
    auto value = scalar(key, true);
    if (!value)
        return minimum;
    auto parsed = parseDuration(*value);
    if (parsed && *parsed >= minimum && *parsed <= maximum)
        return *parsed;
    addProblem(key, *value, formatDuration(minimum) + " to " + formatDuration(maximum) + ", with a unit of us, ms, s or min");
    return minimum;
}

Duration DocumentReader::duration(const std::string& key, Duration minimum, Duration maximum, Duration fallback)
{
    return has(key) ? duration(key, minimum, maximum) : fallback;
}

double DocumentReader::real(const std::string& key, double minimum, double maximum, double fallback)
{
    auto value = scalar(key, false);
    if (!value)
        return fallback;
    double parsed = 0;
    auto [end, failed] = std::from_chars(value->data(), value->data() + value->size(), parsed);
    if (failed == std::errc() && end == value->data() + value->size() && parsed >= minimum && parsed <= maximum)
        return parsed;
    addProblem(key, *value, std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

Fraction DocumentReader::fraction(const std::string& key, Fraction fallback)
{
    auto value = scalar(key, false);
    if (!value)
        return fallback;
    auto parsed = parseFraction(*value);
    if (!parsed)
        addProblem(key, *value, "0% to 100%");
    return parsed.value_or(fallback);
}

Endpoint DocumentReader::endpoint(const std::string& key)
{
    auto value = scalar(key, true);
    if (!value)
        return {};
    auto parsed = Endpoint::parse(*value);
    if (!parsed)
        addProblem(key, *value, "an IPv4 address and a port, such as 127.0.0.1:8100");
    return parsed.value_or(Endpoint());
}

bool DocumentReader::boolean(const std::string& key, bool fallback)
{
    return choice(key, { "false", "true" }, fallback ? 1 : 0) == 1;
}

std::size_t DocumentReader::choice(const std::string& key, std::initializer_list<std::string_view> choices, std::size_t fallback)
{
    auto value = scalar(key, false);
    if (!value)
        return fallback;
    auto found = std::find(choices.begin(), choices.end(), *value);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    addProblem(key, *value, "one of " + joined(choices));
    return fallback;
}

void DocumentReader::forEachItem(const std::string& key, const ItemHandler& handler)
{
    YAML::Node list = find(key);
    if (!list.IsDefined() || !list.IsSequence())
        return addProblem(key, list.IsDefined() ? "a value that is not a list" : "nothing", "a list of mappings");
    std::size_t index = 0;
    for (const auto& item : list) {
        DocumentReader reader(item, pathOf(key) + "[" + std::to_string(index++) + "]", m_problems);
        handler(reader);
    }
}

void DocumentReader::forEachScalar(const std::string& key, const ScalarHandler& handler)
{
    YAML::Node list = find(key);
    if (!list.IsDefined() || !list.IsSequence())
        return addProblem(key, list.IsDefined() ? "a value that is not a list" : "nothing", "a list of scalars");
    std::size_t index = 0;
    for (const auto& item : list) {
        std::string path = pathOf(key) + "[" + std::to_string(index++) + "]";
        if (item.IsScalar())
            handler(item.Scalar(), lineOf(item), path);
        else
            m_problems.emplace_back(lineOf(item), path, "a value that is not a scalar", "a scalar");
    }
}

void DocumentReader::section(const std::string& key, const ItemHandler& handler)
{
    if (!has(key))
        return addProblem(key, "nothing", "a mapping");
    DocumentReader reader(find(key), pathOf(key), m_problems);
    handler(reader);
}

} // namespace pimentopoint::internal
