#pragma once

#include "Core/Instant.h"

#include <optional>

namespace Lavendervane {

/// Tells for the changes of a table that a VM follows when they can have happened at the earliest, by this VM's clock.
/// A VM may learn of a change long after it happened, for example when it was cut off from the store or has just
/// started.
class FeedClock {
public:
    /// `deliveryLimit` is the longest time from when a request has been passed to the system until the store has it.
    explicit FeedClock(Duration deliveryLimit);

    /// The whole table has been read; the request was made at `requested`. Returns the earliest time of the changes
    /// since the previous answer; nothing if this is the first one.
    std::optional<Instant> handleTableRead(Instant requested);

    /// The feed has answered. The request had been passed to the system at `written`; the store answered at `answered`
    /// or later. Returns the earliest time of the reported changes; nothing if it is unknown.
    std::optional<Instant> handleFeedAnswer(Instant written, Instant answered);

    /// Another VM has confirmed that all changes up to `confirmed` are known to this VM.
    void handleConfirmation(Instant confirmed);

    /// The feed has answered, at `answered` or later, that it no longer keeps the changes.
    void handleHistoryLost(Instant written, Instant answered);

private:
    bool hasWaitedAtStore(Instant written, Instant answered) const;

    Duration deliveryLimit;
    std::optional<Instant> knownUntil; ///< all changes up to this time are known
};

} // namespace Lavendervane
