/// \file
/// The published YAML form of a configuration.
#pragma once

#include "Configuration.h"

#include <string>

namespace pimentopoint {

/// \brief Reads and checks a published configuration.
/// \param text the document
/// \param source its name in error messages
/// \throws InvalidDocument with every problem in it
ConfigurationPointer readConfiguration(const std::string& text, const std::string& source = "configuration");

/// \returns \a configuration as a document that readConfiguration() reads back
std::string printConfiguration(const Configuration& configuration);

} // namespace pimentopoint
