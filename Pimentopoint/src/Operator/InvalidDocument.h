#pragma once

#include "../Core/Failure.h"
#include "Problem.h"

namespace pimentopoint {

/// \class InvalidDocument
/// \ingroup Operator
/// \brief Thrown if a document is invalid; holds all problems of the document.
class InvalidDocument : public Failure {
public:
    InvalidDocument(const std::string& source, Problems problems)
        : Failure(summary(source, problems))
        , m_problems(std::move(problems))
    {
    }

    const Problems& problems() const { return m_problems; }

private:
    static std::string summary(const std::string& source, const Problems& problems)
    {
        std::string text;
        for (const Problem& problem : problems)
            text += (text.empty() ? "" : "\n") + problem.text(source);
        return text;
    }

    Problems m_problems;
};

} // namespace pimentopoint
