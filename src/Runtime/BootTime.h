#pragma once

#include "Core/Instant.h"

namespace Lavendervane {

/// Reads CLOCK_BOOTTIME, which also counts time in suspension, so that a lease expires while the machine is suspended.
Instant bootTimeNow();

} // namespace Lavendervane
