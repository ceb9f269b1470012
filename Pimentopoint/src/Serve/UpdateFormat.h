/// \file
/// HTTP paths and bodies with which hosts read updates of the platform's store from each other.
#pragma once

#include "StoreFollower.h"

#include <optional>
#include <string>

namespace pimentopoint {

/// \returns the path that requests \a read from another host
std::string updatePath(const StoreRead& read);
/// \returns the read that \a path requests, or nothing if \a path is malformed or its wait is too long
std::optional<StoreRead> parseUpdatePath(const std::string& path);
/// \returns \a result in binary form
std::string encodeUpdates(const StoreResult& result);
/// \returns the result in another host's reply; a failure with its cause if the reply is not valid
StoreResult decodeUpdates(unsigned status, const std::string& body);

} // namespace pimentopoint
