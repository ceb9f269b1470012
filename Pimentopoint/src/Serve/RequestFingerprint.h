#pragma once

#include "../Core/Ids.h"
#include "TargetReply.h"

namespace pimentopoint {

/// \brief Fingerprint of what \a request asks of a target; the same for each attempt of the same caller.
/// \details Covers the method, the HTTP host, the path with its query, the body and the headers that identify the caller
/// (Authorization and Cookie). Ids and times, which differ from attempt to attempt, are left out.
RequestFingerprint fingerprintOf(const CallerRequest& request);

/// \returns \a fingerprint in hexadecimal, as logs state it
std::string textOf(RequestFingerprint fingerprint);

} // namespace pimentopoint
