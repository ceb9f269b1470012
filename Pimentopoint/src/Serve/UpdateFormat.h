/// \file
/// How hosts read the platform's news from each other: paths and bodies of HTTP.
#pragma once

#include "StoreFollower.h"

#include <optional>
#include <string>

namespace pimentopoint {

/// \returns the path and query of \a read at another host
std::string updatePath(const StoreRead& read);
/// \returns the read that \a path asks for, or nothing if it is none
std::optional<StoreRead> parseUpdatePath(const std::string& path);
/// \returns \a result as bytes
std::string encodeUpdates(const StoreResult& result);
/// \returns what a host's answer says; a failure with its cause if it can't be read
StoreResult decodeUpdates(unsigned status, const std::string& body);

} // namespace pimentopoint
