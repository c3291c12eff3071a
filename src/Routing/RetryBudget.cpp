#include "Routing/RetryBudget.h"

#include <algorithm>

namespace Lavendervane {

void RetryBudget::recordRequest() { this->available = std::min(capacity, this->available + share); }

bool RetryBudget::tryTake(Instant now)
{
    if (this->refilled != Instant {}) {
        const double seconds = std::chrono::duration<double>(now - this->refilled).count();
        this->available = std::min(capacity, this->available + std::max(0.0, seconds) * minimumRate);
    }
    this->refilled = now;
    if (this->available < 1)
        return false;
    this->available -= 1;
    return true;
}

} // namespace Lavendervane
