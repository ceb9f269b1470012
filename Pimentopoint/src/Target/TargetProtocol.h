/// \file
/// JSON bodies of the protocol with targets, which docs/PROTOCOLS.md describes.
#pragma once

#include "Exchange.h"

#include <string>
#include <string_view>

namespace pimentopoint {

/// \returns the JSON body of a search request
std::string searchBody(const Dispatch& dispatch);
/// \returns the JSON body of a cancellation
std::string cancelBody(const AttemptId& attempt);
/// \brief Checks and parses the reply to \a dispatch.
/// \param status HTTP status code
/// \param body the complete body
/// \param reply receives the content of a valid reply
/// \returns Replied, one of the refusals, or InvalidReply
ExchangeOutcome parseTargetReply(const Dispatch& dispatch, long status, std::string_view body, SearchReply& reply);

} // namespace pimentopoint
