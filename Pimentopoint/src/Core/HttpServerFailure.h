#pragma once

#include "Failure.h"

namespace pimentopoint {

/// \class HttpServerFailure
/// \ingroup Core
/// \brief The HTTP server could not start, as when its address is taken.
class HttpServerFailure : public Failure {
public:
    using Failure::Failure;
};

} // namespace pimentopoint
