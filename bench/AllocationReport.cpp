/// \file
/// Linked into the daemons that a bench starts: prints the number of allocations to stderr at exit, for BenchFleet.
#include "MallocCount.h"

#include <cstdio>

namespace {

struct Report {
    ~Report() { std::fprintf(stderr, "allocations %llu\n", static_cast<unsigned long long>(pimentopoint::bench::processAllocations())); }
} report;

} // namespace
