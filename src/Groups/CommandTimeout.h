#pragma once

#include "Core/Instant.h"

namespace Lavendervane {

/// Time after which an unanswered command or status query counts as failed. It exceeds the 700 ms timeout of the
/// network layer, which normally reports the failure first.
inline constexpr Duration commandTimeout = std::chrono::seconds(1);

} // namespace Lavendervane
