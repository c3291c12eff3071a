#include "Runtime/BootTime.h"

#include <ctime>

namespace Lavendervane {

Instant bootTimeNow()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Lavendervane
