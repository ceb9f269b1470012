#pragma once

#include <stdexcept>
#include <string>

namespace pimentopoint {

/// \class Failure
/// \ingroup Core
/// \brief Base class of all exceptions that this library throws; each cause has its own derived class.
class Failure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace pimentopoint
