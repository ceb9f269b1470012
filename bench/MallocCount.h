/// \file
/// Allocation counters. MallocCount.cpp replaces malloc() in the program, so that allocations of libraries count too.
#pragma once

#include <cstdint>

namespace pimentopoint::bench {

/// \returns the number of allocations of the process so far
std::uint64_t processAllocations();
/// \returns the number of allocations of the calling thread so far
std::uint64_t threadAllocations();

} // namespace pimentopoint::bench
