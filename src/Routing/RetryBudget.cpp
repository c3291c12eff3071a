#include "Routing/RetryBudget.h"

#include <algorithm>

namespace Lavendervane {

void RetryBudget::recordRequest()
{
    this->availableRetries = std::min(maxAvailable, this->availableRetries + retriesPerRequest);
}

bool RetryBudget::tryTake(Instant now)
{
    if (this->lastRefill != Instant {}) {
        const double seconds = std::chrono::duration<double>(now - this->lastRefill).count();
        this->availableRetries
            = std::min(maxAvailable, this->availableRetries + std::max(0.0, seconds) * minRetriesPerSecond);
    }
    this->lastRefill = now;
    if (this->availableRetries < 1)
        return false;
    this->availableRetries -= 1;
    return true;
}

} // namespace Lavendervane
