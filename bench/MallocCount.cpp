#include "MallocCount.h"

#include <atomic>
#include <cstddef>

extern "C" {
// The implementations of malloc(), calloc() and realloc() in glibc.
void* __libc_malloc(std::size_t size);
void* __libc_calloc(std::size_t count, std::size_t size);
void* __libc_realloc(void* block, std::size_t size);
}

namespace {

std::atomic<std::uint64_t> processCount { 0 };
thread_local std::uint64_t threadCount = 0;

void count()
{
    processCount.fetch_add(1, std::memory_order_relaxed);
    ++threadCount;
}

} // namespace

extern "C" {

void* malloc(std::size_t size)
{
    count();
    return __libc_malloc(size);
}

void* calloc(std::size_t number, std::size_t size)
{
    count();
    return __libc_calloc(number, size);
}

void* realloc(void* block, std::size_t size)
{
    count();
    return __libc_realloc(block, size);
}
}

namespace pimentopoint::bench {

std::uint64_t processAllocations()
{
    return processCount;
}

std::uint64_t threadAllocations()
{
    return threadCount;
}

} // namespace pimentopoint::bench
