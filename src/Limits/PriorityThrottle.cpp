#include "Limits/PriorityThrottle.h"

#include <algorithm>
#include <cmath>

namespace Lavendervane {

static double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

PriorityThrottle::PriorityThrottle(PriorityThrottleSettings settings)
    : settings(settings)
{
}

// Lets demand decay and credit grow up to `now`. A priority may use what higher ones leave of the rate, less the
// minimum parts of the lower ones. The headroom keeps some tokens for bursts of the highest priority.
void PriorityThrottle::advance(double rate, Instant now)
{
    const double elapsed = std::max(0.0, secondsOf(now - this->lastUpdate));
    this->lastUpdate = std::max(this->lastUpdate, now);
    const double decay = std::exp(-elapsed / secondsOf(this->settings.demandTimeConstant));
    const double minimum = rate * this->settings.minPart;
    double claimed = rate * this->settings.headroom;
    for (auto& [priority, level] : this->levels) {
        level.demand *= decay;
        claimed += std::min(level.demand, minimum);
    }
    for (auto& [priority, level] : this->levels) {
        // `claimed` holds the demand of higher priorities and the minimum parts of this one and the lower ones.
        const double part = std::min(level.demand, minimum);
        const double usable = std::max(minimum, rate - claimed + part);
        const double limit = std::max(1.0, usable * secondsOf(this->settings.creditTime));
        level.credit = std::min(limit, level.credit + usable * elapsed);
        claimed += level.demand - part;
    }
}

double PriorityThrottle::permit(uint32_t priority, double wanted, double rate, Instant now)
{
    this->advance(rate, now);
    Level& level = this->levels[priority];
    level.demand += wanted / secondsOf(this->settings.demandTimeConstant);
    const bool isHighest = this->levels.begin()->first == priority;
    if (isHighest || now >= this->shortageUntil)
        return wanted;
    return std::min(wanted, std::floor(level.credit));
}

void PriorityThrottle::recordUse(uint32_t priority, double taken)
{
    Level& level = this->levels[priority];
    level.credit = std::max(0.0, level.credit - taken);
}

} // namespace Lavendervane
