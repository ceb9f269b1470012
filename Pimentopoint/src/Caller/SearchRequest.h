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
/// \brief Thrown if a caller's request is invalid; no part of it was run.
class InvalidRequest : public Failure {
public:
    using Failure::Failure;
};

/// \class SearchRequest
/// \ingroup Caller
/// \brief A search request as the caller sent it.
struct SearchRequest {
    SearchFrontName searchFront;
    std::string text;
    std::optional<Duration> deadline; ///< If set, shortens the deadline of the search front.
    std::string ticket; ///< Empty if there is none.
    std::string id; ///< Chosen by the caller and echoed in the answer; empty if there is none.

    /// \brief Parses the JSON body of a search request.
    /// \throws InvalidRequest if it is not UTF-8 or not JSON, lacks the query, or has an unknown member or invalid value
    static SearchRequest parse(const SearchFrontName& searchFront, std::string_view body);

    /// \returns a digest of search front and query, to distinguish requests with the same ticket
    Digest digest() const { return Digest(hashOf(searchFront.value() + '\n' + text)); }
};

} // namespace pimentopoint
