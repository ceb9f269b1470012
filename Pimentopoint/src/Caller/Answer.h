#pragma once

#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"
#include "../Core/KeyRange.h"
#include "../Core/Outcome.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// \class Answer
/// \ingroup Caller
/// \brief The answer to a caller's request.
struct Answer {
    Outcome outcome = Outcome::NotRun;
    NotRunReason notRunReason = NotRunReason::None;
    UnknownReason unknownReason = UnknownReason::None;
    SnapshotVersion snapshot;
    ConfigurationVersion configuration;
    Fraction coverage;
    std::vector<KeyRange> missing;
    std::string hits = "[]"; ///< A JSON array.
    std::string detail; ///< Describes why a request was refused.
    std::uint64_t firstAttempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;

    static Answer refused(NotRunReason reason, std::string detail = {});
    static Answer unknownOutcome(UnknownReason reason);
};

/// An answer as HTTP status and body.
struct RenderedAnswer {
    std::uint32_t status = 0;
    std::string body;
};

/// \returns \a answer to the request \a id as HTTP status and JSON body
RenderedAnswer render(const Answer& answer, const std::string& id);

} // namespace pimentopoint
