#pragma once

#include "Failure.h"

namespace pimentopoint {

/// \class HttpServerFailure
/// \ingroup Core
/// \brief Thrown if the HTTP server cannot start, for example because its address is in use.
class HttpServerFailure : public Failure {
public:
    using Failure::Failure;
};

} // namespace pimentopoint
