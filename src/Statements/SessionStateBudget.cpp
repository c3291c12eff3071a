#include "Statements/SessionStateBudget.h"

#include <algorithm>

namespace Lavendervane {

// Part of a process's memory that session state may take.
static constexpr uint64_t processMemoryDivisor = 8;

SessionStateLimits SessionStateLimits::makeFor(uint64_t memoryBytes)
{
    SessionStateLimits limits;
    if (!memoryBytes)
        return limits;
    limits.perProcess = static_cast<size_t>(memoryBytes / processMemoryDivisor);
    limits.perSession = std::min(limits.perSession, limits.perProcess);
    return limits;
}

} // namespace Lavendervane
