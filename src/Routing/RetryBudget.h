#pragma once

#include "Core/Instant.h"

namespace Lavendervane {

/// Limits retries to 10% of the requests plus 10 per second, so that retries do not prolong an overload.
class RetryBudget {
public:
    /// Adds the share of a retry that one request allows.
    void recordRequest();

    /// Takes one retry from the budget. Returns false if the budget is spent.
    bool tryTake(Instant now);

private:
    static constexpr double retriesPerRequest = 0.1;
    static constexpr double minRetriesPerSecond = 10;
    static constexpr double maxAvailable = 100; // retries, ten seconds at minRetriesPerSecond

    double availableRetries = minRetriesPerSecond;
    Instant lastRefill {};
};

} // namespace Lavendervane
