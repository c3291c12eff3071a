#include "Fleet/FeedClock.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

FeedClock::FeedClock(Duration deliveryLimit)
    : deliveryLimit(deliveryLimit)
{
}

std::optional<Instant> FeedClock::handleTableRead(Instant requested)
{
    return std::exchange(this->knownUntil, std::max(requested, this->knownUntil.value_or(requested)));
}

// A request that waits at the store is answered when a change happens. One that was delayed on its way is answered when
// it arrives, and the change may have happened at any time since the previous answer.
std::optional<Instant> FeedClock::handleFeedAnswer(Instant written, Instant answered)
{
    const bool waitedAtStore = answered > written + this->deliveryLimit;
    const auto earlier = this->handleTableRead(answered);
    return waitedAtStore ? answered : earlier;
}

} // namespace Lavendervane
