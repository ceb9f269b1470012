#pragma once

#include "Problem.h"

#include <string>

namespace pimentopoint::internal {

/// \brief Refuses documents whose size or shape could exhaust a reader, before they are read.
/// \returns the problems: too large, too deep, too many nodes, an anchor or alias, or no YAML at all
Problems checkStructure(const std::string& text);

} // namespace pimentopoint::internal
