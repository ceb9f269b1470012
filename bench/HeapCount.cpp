/// \file
/// Counts the heap usage of a bench by replacing the global allocation functions.
#include "Measure.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::int64_t> heapBytes { 0 };
std::atomic<std::int64_t> heapAllocations { 0 };

void* allocate(std::size_t size)
{
    void* block = std::malloc(size ? size : 1);
    if (!block)
        throw std::bad_alloc();
    heapBytes += static_cast<std::int64_t>(malloc_usable_size(block));
    ++heapAllocations;
    return block;
}

void release(void* block) noexcept
{
    heapBytes -= block ? static_cast<std::int64_t>(malloc_usable_size(block)) : 0;
    std::free(block);
}

} // namespace

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }

namespace pimentopoint::bench {

HeapUsage heapUsage()
{
    return { heapBytes, heapAllocations };
}

} // namespace pimentopoint::bench
