#pragma once

#include "Core/Instant.h"

#include <cstdint>

namespace Lavendervane {

/// Timing of failure detection and failover in database groups.
struct GroupSettings {
    /// Time between status queries to the same endpoint.
    Duration pollInterval = std::chrono::milliseconds(300);
    /// A replica that last heard from its primary this long ago counts as cut off from it.
    Duration primarySilence = std::chrono::milliseconds(900);
    /// Time after which a primary that this VM cannot reach is replaced although replicas still hear it, and a primary
    /// that this VM reaches is replaced if a majority of the members no longer hears it.
    Duration unreachableLimit = std::chrono::seconds(3);
    /// Time without a reachable majority after which writes are refused.
    Duration majorityLossLimit = std::chrono::seconds(2);
    /// Delay per rank before a watcher acts.
    Duration rankDelay = std::chrono::milliseconds(400);
    /// Number of consecutive failed queries after which an endpoint counts as unreachable.
    uint32_t failuresUntilSuspected = 2;
    /// Upper limit of the random delay before a promotion.
    Duration maxJitter = std::chrono::milliseconds(100);
    /// Additional delay if another VM has started a higher term, so that it can finish its promotion.
    Duration rivalGracePeriod = std::chrono::milliseconds(600);
    /// Delay after the first failed promotion; doubled after each further one.
    Duration initialBackoff = std::chrono::milliseconds(200);
    /// Upper limit of the backoff, without its random part.
    Duration maxBackoff = std::chrono::seconds(5);

    friend bool operator==(const GroupSettings&, const GroupSettings&) = default;
};

} // namespace Lavendervane
