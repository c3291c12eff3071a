#pragma once

#include "Core/Instant.h"

#include <cstdint>
#include <map>

namespace Lavendervane {

struct PriorityThrottleSettings {
    /// Time constant of the moving averages of the demand. Requests that gave way in a burst get tokens again within
    /// 1 s after it.
    Duration demandTimeConstant = std::chrono::milliseconds(400);
    /// Time after a shortage of tokens during which lower priorities may use only what the demand of higher ones
    /// leaves.
    Duration shortageTime = std::chrono::milliseconds(3000);
    /// Part of the rate that each priority gets at least, so that none starves.
    double minPart = 0.1;
    /// Part of the rate that is kept for bursts of the highest priority.
    double headroom = 0.05;
    /// Time for which a priority may save up its part of the rate.
    Duration creditTime = std::chrono::milliseconds(250);
};

/// Decides which requests of an organisation give way while it asks for more than its rate limit: those of lower
/// priority, down to a minimum part of the rate. Load: an organisation whose callers send requests of several
/// priorities far beyond its limit for seconds. Reads no clock and does no I/O.
class PriorityThrottle {
public:
    explicit PriorityThrottle(PriorityThrottleSettings = {});

    /// Records that a request of this priority (0 is the highest) wants tokens, and returns how many of them it may
    /// take; `rate` is the limit. All amounts are in requests, rates in requests per second.
    double permit(uint32_t priority, double wanted, double rate, Instant now);

    /// Records tokens that a request has taken.
    void recordUse(uint32_t priority, double taken);

    /// Records that there were no tokens for a request that was permitted to take some.
    void recordShortage(Instant now) { this->shortageUntil = now + this->settings.shortageTime; }

private:
    struct Level {
        double demand = 0; ///< requests per second, moving average
        double credit = 0; ///< requests that may take tokens now
    };

    void advance(double rate, Instant now);

    PriorityThrottleSettings settings;
    std::map<uint32_t, Level> levels; ///< by priority
    Instant lastUpdate {};
    Instant shortageUntil {};
};

} // namespace Lavendervane
