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
    auto closer = [&](std::string_view a, std::string_view b) { return editDistance(word, a) < editDistance(word, b); };
    return std::string(*std::min_element(known.begin(), known.end(), closer));
}

DocumentReader::DocumentReader(const YAML::Node& node, std::string path, Problems& problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{
    if (!m_node.IsMap())
        m_problems.emplace_back(line(), m_path.empty() ? "document" : m_path, "no mapping", "a mapping");
}

int DocumentReader::lineOf(const YAML::Node& node)
{
    return node.IsDefined() ? node.Mark().line + 1 : 0;
}

YAML::Node DocumentReader::find(const std::string& key) const
{
    if (!m_node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node& constant = m_node;
    return constant[key];
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
            m_problems.emplace_back(lineOf(entry.first), pathOf(key), "the key twice", "each key once");
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
        addProblem(key, "no scalar", "a scalar");
        return std::nullopt;
    }
    return node.Scalar();
}

std::string DocumentReader::text(const std::string& key)
{
    auto value = scalar(key, true);
    if (value && value->empty())
        addProblem(key, "an empty text", "a text");
    return value.value_or("");
}

std::string DocumentReader::text(const std::string& key, std::string fallback)
{
    return scalar(key, false).value_or(std::move(fallback));
}

std::uint64_t DocumentReader::number(const std::string& key, std::uint64_t least, std::uint64_t most)
{
    auto value = scalar(key, true);
    if (!value)
        return least;
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    bool valid = error == std::errc() && end == value->data() + value->size() && number >= least && number <= most;
    if (valid)
        return number;
    addProblem(key, *value, std::to_string(least) + " to " + std::to_string(most));
    return least;
}

std::uint64_t DocumentReader::number(const std::string& key, std::uint64_t least, std::uint64_t most, std::uint64_t fallback)
{
    return has(key) ? number(key, least, most) : fallback;
}

Duration DocumentReader::duration(const std::string& key, Duration least, Duration most)
{
    auto value = scalar(key, true);
    if (!value)
        return least;
    auto parsed = parseDuration(*value);
    if (parsed && *parsed >= least && *parsed <= most)
        return *parsed;
    addProblem(key, *value, formatDuration(least) + " to " + formatDuration(most) + ", with a unit of us, ms, s or min");
    return least;
}

Duration DocumentReader::duration(const std::string& key, Duration least, Duration most, Duration fallback)
{
    return has(key) ? duration(key, least, most) : fallback;
}

double DocumentReader::real(const std::string& key, double least, double most, double fallback)
{
    auto value = scalar(key, false);
    if (!value)
        return fallback;
    double parsed = 0;
    auto [end, failed] = std::from_chars(value->data(), value->data() + value->size(), parsed);
    if (failed == std::errc() && end == value->data() + value->size() && parsed >= least && parsed <= most)
        return parsed;
    addProblem(key, *value, std::to_string(least) + " to " + std::to_string(most));
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
        addProblem(key, *value, "an IPv4 number and a port, as in 127.0.0.1:8100");
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

void DocumentReader::forEachItem(const std::string& key, const ItemHandler& hook)
{
    YAML::Node list = find(key);
    if (!list.IsDefined() || !list.IsSequence())
        return addProblem(key, list.IsDefined() ? "no list" : "nothing", "a list of mappings");
    std::size_t index = 0;
    for (const auto& item : list) {
        DocumentReader reader(item, pathOf(key) + "[" + std::to_string(index++) + "]", m_problems);
        hook(reader);
    }
}

void DocumentReader::forEachScalar(const std::string& key, const ScalarHandler& hook)
{
    YAML::Node list = find(key);
    if (!list.IsDefined() || !list.IsSequence())
        return addProblem(key, list.IsDefined() ? "no list" : "nothing", "a list of scalars");
    std::size_t index = 0;
    for (const auto& item : list) {
        std::string path = pathOf(key) + "[" + std::to_string(index++) + "]";
        if (item.IsScalar())
            hook(item.Scalar(), lineOf(item), path);
        else
            m_problems.emplace_back(lineOf(item), path, "no scalar", "a scalar");
    }
}

void DocumentReader::section(const std::string& key, const ItemHandler& hook)
{
    if (!has(key))
        return addProblem(key, "nothing", "a mapping");
    DocumentReader reader(find(key), pathOf(key), m_problems);
    hook(reader);
}

} // namespace pimentopoint::internal
