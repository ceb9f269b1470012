/// \file
/// Counts of allocations; linked programs replace malloc(), so that what libraries allocate counts too.
#pragma once

#include <cstdint>

namespace pimentopoint::bench {

/// \returns allocations of the process so far
std::uint64_t processAllocations();
/// \returns allocations of the calling thread so far
std::uint64_t threadAllocations();

} // namespace pimentopoint::bench
