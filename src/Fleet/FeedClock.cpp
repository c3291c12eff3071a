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
bool FeedClock::hasWaitedAtStore(Instant written, Instant answered) const
{
    return answered > written + this->deliveryLimit;
}

std::optional<Instant> FeedClock::handleFeedAnswer(Instant written, Instant answered)
{
    const auto earlier = this->handleTableRead(answered);
    return this->hasWaitedAtStore(written, answered) ? answered : earlier;
}

void FeedClock::handleConfirmation(Instant confirmed)
{
    if (this->knownUntil)
        this->knownUntil = std::max(*this->knownUntil, confirmed);
}

// While a request waits, its changes are all reported. Without a wait, the lost history may hold changes that are not
// known.
void FeedClock::handleHistoryLost(Instant written, Instant answered)
{
    if (this->knownUntil && this->hasWaitedAtStore(written, answered))
        this->knownUntil = std::max(*this->knownUntil, answered);
}

} // namespace Lavendervane
