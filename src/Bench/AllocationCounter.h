#pragma once

#include <cstddef>
#include <cstdint>

namespace Lavendervane {

/// Counts the allocations through the global operator new, which AllocationCounter.cpp replaces.
struct AllocationCount {
    uint64_t allocations = 0; ///< number of allocations since program start
    uint64_t liveBytes = 0; ///< usable size of all blocks that have not been freed

    static AllocationCount current();
};

} // namespace Lavendervane
