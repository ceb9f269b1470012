#pragma once

#include "../Core/Clock.h"
#include "../Core/Failure.h"
#include "../Core/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class InvalidRequest
/// \ingroup Caller
/// \brief A caller's request that cannot be read; nothing of it was run.
class InvalidRequest : public Failure {
public:
    using Failure::Failure;
};

/// \class SearchRequest
/// \ingroup Caller
/// \brief A request as a caller sent it.
struct SearchRequest {
    SearchFrontName searchFront;
    std::string text;
    std::optional<Duration> deadline; ///< Shortens the search front's own.
    std::string ticket; ///< Empty for none.
    std::string id; ///< Chosen by the caller, echoed; empty for none.

    /// \brief Reads the JSON body of a search request.
    /// \throws InvalidRequest if it is not UTF-8, not JSON, lacks the query, or has an unknown or absurd member
    static SearchRequest parse(const SearchFrontName& searchFront, std::string_view body);

    /// \returns what distinguishes this request from another with the same ticket
    Digest digest() const { return Digest(hashOf(searchFront.value() + '\n' + text)); }
};

} // namespace pimentopoint
