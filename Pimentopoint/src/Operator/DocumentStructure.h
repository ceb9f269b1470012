#pragma once

#include "Problem.h"

#include <string>

namespace pimentopoint::internal {

/// \brief Checks the size and structure of a YAML document, so that loading it cannot exhaust memory or the stack.
/// \returns a problem if the document is too large, too deeply nested, has too many nodes, has anchors or aliases, or is not
/// valid YAML
Problems checkStructure(const std::string& text);

} // namespace pimentopoint::internal
