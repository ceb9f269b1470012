#pragma once

#include <stdexcept>
#include <string>

namespace pimentopoint {

/// \class Failure
/// \ingroup Core
/// \brief Root of all failures that this library throws; each cause has a type of its own.
class Failure : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace pimentopoint
