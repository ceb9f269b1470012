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
/// \brief Reads one mapping of a document and notes every problem instead of stopping at the first.
/// \details A value that cannot be read yields its default; the document is refused at the end.
class DocumentReader {
public:
    using ItemHandler = std::function<void(DocumentReader&)>;
    using ScalarHandler = std::function<void(const std::string& value, int line, const std::string& path)>;

    DocumentReader(const YAML::Node& node, std::string path, Problems& problems);

    /// Notes a problem for every key that is not in \a keys, with the nearest that is.
    void allowKeys(std::initializer_list<std::string_view> keys);
    bool has(const std::string& key) const;

    std::string text(const std::string& key);
    std::string text(const std::string& key, std::string fallback);
    std::uint64_t number(const std::string& key, std::uint64_t least, std::uint64_t most);
    std::uint64_t number(const std::string& key, std::uint64_t least, std::uint64_t most, std::uint64_t fallback);
    double real(const std::string& key, double least, double most, double fallback);
    Duration duration(const std::string& key, Duration least, Duration most);
    Duration duration(const std::string& key, Duration least, Duration most, Duration fallback);
    Fraction fraction(const std::string& key, Fraction fallback);
    Endpoint endpoint(const std::string& key);
    bool boolean(const std::string& key, bool fallback);
    /// \returns the index of the value of \a key in \a choices
    std::size_t choice(const std::string& key, std::initializer_list<std::string_view> choices, std::size_t fallback);
    /// Calls \a hook for each mapping in the list \a key.
    void forEachItem(const std::string& key, const ItemHandler& hook);
    /// Calls \a hook for each scalar in the list \a key.
    void forEachScalar(const std::string& key, const ScalarHandler& hook);
    /// Calls \a hook for the mapping under \a key.
    void section(const std::string& key, const ItemHandler& hook);

    /// Notes a problem at \a key, or at the mapping itself if it has no such key.
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

/// \returns the member of \a known with the least edit distance to \a word
std::string closestMatch(std::string_view word, std::initializer_list<std::string_view> known);

} // namespace pimentopoint::internal
