/// \file
/// Parsing and printing of configurations as YAML documents.
#pragma once

#include "Configuration.h"

#include <string>

namespace pimentopoint {

/// \brief Parses and validates a configuration.
/// \param text the YAML document
/// \param source the name of the document in error messages
/// \throws InvalidDocument with all problems of the document
ConfigurationPointer readConfiguration(const std::string& text, const std::string& source = "configuration");

/// \returns \a configuration as a YAML document that readConfiguration() accepts
std::string printConfiguration(const Configuration& configuration);

} // namespace pimentopoint
