#pragma once

#include <chrono>

namespace Lavendervane {

/// Tag of the clock that counts from boot and also counts while the machine is suspended.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // NOLINTNEXTLINE(readability-identifier-naming): the name is given by the standard's clock requirements.
    static constexpr bool is_steady = true;
};

using Duration = BootClock::duration;
using Instant = BootClock::time_point;

} // namespace Lavendervane
