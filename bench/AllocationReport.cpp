/// \file
/// Linked into the daemons that a bench starts: says at the end how much was allocated.
#include "MallocCount.h"

#include <cstdio>

namespace {

struct Report {
    ~Report() { std::fprintf(stderr, "allocations %llu\n", static_cast<unsigned long long>(pimentopoint::bench::processAllocations())); }
} report;

} // namespace
