/// \file
/// JSON bodies of the protocol with targets; docs/PROTOCOLS.md describes it.
#pragma once

#include "Exchange.h"

#include <string>
#include <string_view>

namespace pimentopoint {

/// \returns the body of a search request
std::string searchBody(const Dispatch& dispatch);
/// \returns the body of a cancellation
std::string cancelBody(const AttemptId& attempt);
/// \brief Checks and reads the reply to \a dispatch.
/// \param status HTTP status
/// \param body the whole body
/// \param reply receives the content of a valid reply
/// \returns Replied, one of the refusals, or InvalidReply
ExchangeOutcome parseTargetReply(const Dispatch& dispatch, long status, std::string_view body, TargetReply& reply);

} // namespace pimentopoint
