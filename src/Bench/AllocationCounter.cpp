#include "Bench/AllocationCounter.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace Lavendervane {

// Not atomic: the benchmark runs on a single thread.
static AllocationCount count;

AllocationCount AllocationCount::current() { return count; }

static void* allocate(size_t size)
{
    void* block = std::malloc(size > 0 ? size : 1);
    if (!block)
        throw std::bad_alloc();
    ++count.allocations;
    count.liveBytes += malloc_usable_size(block);
    return block;
}

static void release(void* block) noexcept
{
    if (block)
        count.liveBytes -= malloc_usable_size(block);
    std::free(block);
}

} // namespace Lavendervane

// The operators for over-aligned types are not replaced, so their allocations are not counted. The reducers have no
// over-aligned types.
void* operator new(size_t size) { return Lavendervane::allocate(size); }
void* operator new[](size_t size) { return Lavendervane::allocate(size); }
void operator delete(void* block) noexcept { Lavendervane::release(block); }
void operator delete[](void* block) noexcept { Lavendervane::release(block); }
void operator delete(void* block, size_t) noexcept { Lavendervane::release(block); }
void operator delete[](void* block, size_t) noexcept { Lavendervane::release(block); }
