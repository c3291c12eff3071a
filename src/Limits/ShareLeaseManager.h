#pragma once

#include "Core/Instant.h"
#include "Core/RandomGenerator.h"
#include "Fleet/TableStore.h"
#include "Limits/ShareLedger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

struct ShareLeaseSettings {
    ShareLedger::Settings ledger;
    /// Upper bound of the random pause between the first read and the first write. VMs often start together.
    Duration initialWriteJitter = std::chrono::milliseconds(1500);
    /// The same for a VM that has adopted the shares of its earlier run and needs nothing soon.
    Duration adoptedWriteJitter = std::chrono::seconds(5);
    /// The second and third exchange, to learn of VMs that started at the same time and to divide evenly with them.
    Duration earlyInterval = std::chrono::seconds(3);
    uint32_t earlyExchanges = 3;
    /// Interval of later exchanges, which follow the number of VMs; in large fleets this times the number of VMs.
    Duration renewInterval = std::chrono::seconds(15);
    Duration renewIntervalPerVm = std::chrono::milliseconds(500);
    /// First and longest pause after an exchange that failed.
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::milliseconds(2000);
    /// Upper bound of the random pause after another VM has changed the ledger first; it doubles with each time in a
    /// row up to the longest. An exchange takes about 10 ms. After a pause beyond the first, the ledger is read again.
    Duration minConflictDelay = std::chrono::milliseconds(20);
    Duration maxConflictDelay = std::chrono::milliseconds(640);
};

struct LedgerReadCompleted {
    TableReply reply;
};

struct LedgerWriteCompleted {
    TableReply reply;
};

struct ShareTimerFired { };

/// The process is about to stop; shares are given back.
struct ShareStopRequested { };

using ShareEvent = std::variant<LedgerReadCompleted, LedgerWriteCompleted, ShareTimerFired, ShareStopRequested>;

struct ReadLedger { };

struct WriteLedger {
    TableTransaction transaction;
};

/// Traffic admits by this share of every limit until `expiry`.
struct ApplyShare {
    uint32_t share = 0;
    Instant expiry;
};

struct SetShareTimer {
    Instant when;
};

/// VMs of the ledger, this one included.
struct PublishFleetMembers {
    std::vector<FleetMember> vms;
};

/// The shares have been given back, or could not be.
struct ShareStopCompleted { };

using ShareEffect
    = std::variant<ReadLedger, WriteLedger, ApplyShare, SetShareTimer, PublishFleetMembers, ShareStopCompleted>;

/// Obtains and renews this VM's share of limits through the ledger row. Holds no clock and makes no calls.
class ShareLeaseManager {
public:
    ShareLeaseManager(ShareLedger::Holder, ShareLeaseSettings, uint64_t seed);

    std::vector<ShareEffect> start(Instant now);
    std::vector<ShareEffect> handle(const ShareEvent&, Instant now);

    /// Key of the row that holds the ledger.
    static const std::string& ledgerKey();

private:
    using Effects = std::vector<ShareEffect>;

    Effects onLedgerRead(const LedgerReadCompleted&, Instant now);
    Effects onLedgerWritten(const LedgerWriteCompleted&, Instant now);
    Effects onTimerFired(Instant now);
    Effects onStopRequested(Instant now);
    Effects writeLedger(Instant now);
    Effects scheduleRetry(Instant now);
    Effects renewIfEligible(Instant now);
    Duration nextInterval();
    Effects adoptEarlierShare(Instant now);
    bool loadLedger(const TableReply&);
    Duration randomDuration(Duration bound);

    ShareLedger::Holder holder;
    ShareLeaseSettings settings;
    RandomGenerator random;
    std::optional<ShareLedger> ledger; ///< newest content known, with `revision`
    uint64_t revision = 0;
    TableClock clock;
    ShareLedger pendingLedger; ///< content of the write under way
    Instant pendingExpiry {};
    uint32_t pendingShare = 0;
    uint32_t heldShare = 0;
    Instant expiry {};
    Instant nextWriteAt {}; ///< until then a VM without a share only reads
    bool callInProgress = false; ///< a call is under way
    bool initialReadDone = false; ///< the first read has been made
    bool stopping = false;
    uint32_t exchangeCount = 0;
    Duration retryDelay {};
    Duration conflictDelay {};
};

} // namespace Lavendervane
