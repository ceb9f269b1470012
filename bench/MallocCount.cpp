#include "MallocCount.h"

#include <atomic>
#include <cstddef>

extern "C" {
// The functions behind malloc() in the C library.
void* __libc_malloc(std::size_t size);
void* __libc_calloc(std::size_t count, std::size_t size);
void* __libc_realloc(void* block, std::size_t size);
}

namespace {

std::atomic<std::uint64_t> ofProcess { 0 };
thread_local std::uint64_t ofThread = 0;

void count()
{
    ofProcess.fetch_add(1, std::memory_order_relaxed);
    ++ofThread;
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
    return ofProcess;
}

std::uint64_t threadAllocations()
{
    return ofThread;
}

} // namespace pimentopoint::bench
