#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Fraction.h"
#include "Problem.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <yaml-cpp/yaml.h>

namespace pimentopoint::internal {

/// \class DocumentReader
/// \ingroup Operator
/// \brief Reads one mapping of a YAML document and collects all problems instead of stopping at the first.
/// \details An invalid value is replaced by its default or minimum, so that reading can continue; the caller rejects the document
/// if there are problems.
class DocumentReader {
public:
    using ItemHandler = std::function<void(DocumentReader&)>;
    using ScalarHandler = std::function<void(const std::string& value, int line, const std::string& path)>;

    DocumentReader(const YAML::Node& node, std::string path, Problems& problems);

    /// Records a problem for each duplicate key and for each key that is not in \a keys, with the most similar key in \a keys.
    void allowKeys(std::initializer_list<std::string_view> keys);
    bool has(const std::string& key) const;

    std::string text(const std::string& key);
    std::string text(const std::string& key, std::string fallback);
    std::uint64_t number(const std::string& key, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t number(const std::string& key, std::uint64_t minimum, std::uint64_t maximum, std::uint64_t fallback);
    double real(const std::string& key, double minimum, double maximum, double fallback);
    Duration duration(const std::string& key, Duration minimum, Duration maximum);
    Duration duration(const std::string& key, Duration minimum, Duration maximum, Duration fallback);
    Fraction fraction(const std::string& key, Fraction fallback);
    Endpoint endpoint(const std::string& key);
    bool boolean(const std::string& key, bool fallback);
    /// \returns the index of the value of \a key in \a choices
    std::size_t choice(const std::string& key, std::initializer_list<std::string_view> choices, std::size_t fallback);
    /// Calls \a handler for each mapping in the list \a key.
    void forEachItem(const std::string& key, const ItemHandler& handler);
    /// Calls \a handler for each scalar in the list \a key.
    void forEachScalar(const std::string& key, const ScalarHandler& handler);
    /// Calls \a handler for the mapping \a key.
    void section(const std::string& key, const ItemHandler& handler);

    /// Records a problem at \a key, or at the mapping itself if it has no such key.
    void addProblem(const std::string& key, const std::string& found, const std::string& allowed);
    int line() const { return lineOf(m_node); }
    const std::string& path() const { return m_path; }

private:
    static int lineOf(const YAML::Node& node);
    YAML::Node find(const std::string& key) const;
    std::optional<std::string> scalar(const std::string& key, bool required);
    std::string pathOf(const std::string& key) const { return m_path.empty() ? key : m_path + "." + key; }

    YAML::Node m_node;
    std::string m_path;
    Problems& m_problems;
};

/// \returns the element of \a known with the smallest edit distance to \a word
std::string closestMatch(std::string_view word, std::initializer_list<std::string_view> known);

} // namespace pimentopoint::internal
