#pragma once

#include <string>
#include <vector>

namespace pimentopoint {

/// \class Problem
/// \ingroup Operator
/// \brief One error in a document: its position, the value found and the values allowed.
class Problem {
public:
    Problem(int line, std::string path, std::string found, std::string allowed)
        : m_line(line)
        , m_path(std::move(path))
        , m_found(std::move(found))
        , m_allowed(std::move(allowed))
    {
    }

    /// \returns the line, counted from 1; 0 if the problem has no position in the document
    int line() const { return m_line; }
    const std::string& path() const { return m_path; }
    const std::string& found() const { return m_found; }
    const std::string& allowed() const { return m_allowed; }
    /// \returns "source:line: path: found X, allowed: Y"
    std::string text(const std::string& source) const
    {
        return source + ":" + std::to_string(m_line) + ": " + m_path + ": found " + m_found + ", allowed: " + m_allowed;
    }

private:
    int m_line;
    std::string m_path;
    std::string m_found;
    std::string m_allowed;
};

using Problems = std::vector<Problem>;

} // namespace pimentopoint
