#pragma once

#include "Core/Instant.h"
#include "Core/RandomGenerator.h"
#include "Fleet/StoreClock.h"
#include "Peers/PeerMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

struct FeedMonitorSettings {
    /// Longest wait of a feed request of the VM of rank 0, whose answers confirm the tables for all VMs.
    Duration confirmInterval = std::chrono::milliseconds(1000);
    /// Age of a table's confirmation at which a VM asks the store itself.
    Duration maxAge = std::chrono::milliseconds(1800);
    /// Added to `maxAge` for each rank above 0, so that one VM asks first and confirms the table for the others.
    Duration rankDelay = std::chrono::milliseconds(75);
    /// Highest rank that adds to the delay.
    uint32_t lastDelayedRank = 8;
    /// Upper bound of the random delay that is added for VMs of a higher rank.
    Duration jitter = std::chrono::milliseconds(300);
    /// Time that a change known to another VM has to arrive through this VM's own feed.
    Duration deliveryTime = std::chrono::milliseconds(500);

    /// Returns settings with which a change is known within `applyTime`, also to a VM whose feed has gone silent.
    static FeedMonitorSettings makeFor(Duration applyTime);

    friend bool operator==(const FeedMonitorSettings&, const FeedMonitorSettings&) = default;
};

/// The store has answered a read of a table or a feed request for it.
struct TableAnswered {
    std::string table;
    uint64_t revision = 0; ///< all changes up to this revision are known
    uint64_t lastChange = 0; ///< revision of the newest known change of the table
    uint64_t generation = 0; ///< generation of the store's content; 0 if it is not reported
    TableClock clock;
};

/// Another VM has confirmed tables.
struct ConfirmationReceived {
    TablesConfirmed message;
};

/// The rank of this VM among those that may confirm the tables has changed.
struct MonitorRankChanged {
    uint32_t rank = 0;
};

/// The timer set by `SetFeedMonitorTimer` has expired.
struct FeedMonitorTimerFired { };

using FeedMonitorEvent = std::variant<TableAnswered, ConfirmationReceived, MonitorRankChanged, FeedMonitorTimerFired>;

/// Effect: ask the store for changes of the table at once, in place of a feed request that waits for them.
struct RecheckTable {
    std::string table;
    std::string reason; ///< for logs: "unconfirmed" or "behind"
    Instant confirmedAt {}; ///< all changes up to this time are known
};

/// Effect: pass the confirmation on to some other VMs.
struct SpreadConfirmation {
    TablesConfirmed message;
};

/// Effect: feed requests wait for a change for this time at most; without a value, for as long as the store allows.
struct LimitFeedWait {
    std::optional<Duration> limit;
};

/// Effect: send `FeedMonitorTimerFired` at the given time. Replaces the timer that was set before.
struct SetFeedMonitorTimer {
    Instant when;
};

using FeedMonitorEffect = std::variant<RecheckTable, SpreadConfirmation, LimitFeedWait, SetFeedMonitorTimer>;

/// State machine that finds out when the feed of a table has gone silent. A feed request waits at the store until there
/// is a change. If the request or its answer is lost, the VM cannot tell this from a table that does not change, and
/// the connection may look healthy.
///
/// A table is confirmed for a time of the store's clock if all its changes up to then are known. Every answer of the
/// store confirms a table. The VM of rank 0 asks often; its confirmations pass from VM to VM, each VM telling a few
/// others. They hold for a VM that knows the newest change that they name. A VM that does not know it, or has no recent
/// confirmation, asks the store. The calls to the store therefore do not grow with the fleet. Performs no I/O.
class FeedMonitor {
public:
    FeedMonitor(FeedMonitorSettings, uint64_t seed);

    std::vector<FeedMonitorEffect> handle(const FeedMonitorEvent&, Instant now);

private:
    using Effects = std::vector<FeedMonitorEffect>;

    struct Table {
        uint64_t revision = 0;
        uint64_t lastChange = 0;
        uint64_t storeTimeMs = 0; ///< newest confirmed time, by the store's clock
        Instant confirmedAt {}; ///< the same time, by this VM's clock
        uint64_t newestChange = 0; ///< newest change that any VM knows
        std::optional<Instant> behindSince; ///< time at which such a change was found missing
        Instant recheckedAt {}; ///< time of the last RecheckTable
        Duration extraAge {}; ///< delay of this VM after `maxAge`, chosen anew for each confirmation
    };

    void onAnswered(const TableAnswered&);
    void onConfirmation(const TablesConfirmed&, Instant now);
    void confirm(Table&, Instant at, uint64_t storeTimeMs);
    Duration chooseExtraAge();
    Instant dueTime(const Table&) const;
    void recheckDueTables(Instant now, Effects&);
    void spread(Effects&);
    void setTimer(Instant now, Effects&);

    FeedMonitorSettings settings;
    RandomGenerator random;
    StoreClock clock;
    uint32_t rank = 0;
    uint64_t generation = 0;
    std::map<std::string, Table> tables;
    uint64_t spreadTimeMs = 0; ///< time up to which the last SpreadConfirmation confirmed all tables
    std::optional<Instant> timer; ///< time of the timer that is set
};

} // namespace Lavendervane
