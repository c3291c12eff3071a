#pragma once

#include "Core/Instant.h"

namespace Lavendervane {

/// Bounds retries to 10% of the requests, and at least 10 a second, so that retries do not prolong an overload.
class RetryBudget {
public:
    void recordRequest();

    /// Takes one retry. Returns false if the budget is spent.
    bool tryTake(Instant now);

private:
    static constexpr double share = 0.1;
    static constexpr double minimumRate = 10; // retries per second
    static constexpr double capacity = 100; // retries; about ten seconds of the minimum

    double available = minimumRate;
    Instant refilled {};
};

} // namespace Lavendervane
