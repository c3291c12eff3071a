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
    /// Upper bound of the random delay between the first read and the first write, because VMs often start together.
    Duration initialWriteJitter = std::chrono::milliseconds(1500);
    /// Upper bound of that delay for a VM that has adopted the share of its previous run and is in no hurry.
    Duration adoptedWriteJitter = std::chrono::seconds(5);
    /// Interval before the second and third exchange, which discover VMs that started at the same time and divide the
    /// limits evenly with them.
    Duration earlyInterval = std::chrono::seconds(3);
    /// Upper bound of the random delay before a share is entered again after a restore of the table.
    Duration claimJitter = std::chrono::milliseconds(500);
    /// Interval at which a VM without a share reads the ledger while others enter their shares.
    Duration settlePollInterval = std::chrono::milliseconds(500);
    /// Number of exchanges until the regular interval applies.
    uint32_t earlyExchanges = 3;
    /// Interval of later exchanges: `renewInterval`, or `renewIntervalPerVm` times the number of VMs if that is longer.
    Duration renewInterval = std::chrono::seconds(15);
    Duration renewIntervalPerVm = std::chrono::milliseconds(500);
    /// Bounds of the retry delay after a failed exchange, which doubles with each failure.
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::milliseconds(2000);
    /// Bounds of the backoff after a write conflict. The delay is random up to a limit that starts at the minimum and
    /// doubles with each consecutive conflict up to the maximum. An exchange takes about 10 ms. From the second
    /// consecutive conflict on, the ledger is read again before the next write.
    Duration minConflictDelay = std::chrono::milliseconds(20);
    Duration maxConflictDelay = std::chrono::milliseconds(640);
};

/// Result of `ReadLedger`.
struct LedgerReadCompleted {
    TableReply reply;
};

/// Result of `WriteLedger`.
struct LedgerWriteCompleted {
    TableReply reply;
};

/// The timer set by `SetShareTimer` has expired.
struct ShareTimerFired { };

/// The VM releases its share.
struct ShareStopRequested {
    /// True if the VM goes on without a share. The release is then repeated until the table has confirmed it, because
    /// the share would otherwise be lost to all VMs for its lifetime. A process that is about to end does not wait; its
    /// next run takes over the share.
    bool isRepeated = false;
};

/// The VMs that hold shares may have changed, so shares are soon to be divided anew.
struct ShareHoldersChanged { };

using ShareEvent = std::variant<LedgerReadCompleted, LedgerWriteCompleted, ShareTimerFired, ShareStopRequested,
    ShareHoldersChanged, TableRestored>;

/// Effect: read the ledger row from the table.
struct ReadLedger { };

/// Effect: execute the transaction on the table.
struct WriteLedger {
    TableTransaction transaction;
};

/// Effect: admission control uses this share of every limit until `expiry`.
struct ApplyShare {
    uint32_t share = 0;
    Instant expiry;
};

/// Effect: send `ShareTimerFired` at the given time.
struct SetShareTimer {
    Instant when;
};

/// Effect: `ShareStopRequested` is complete. The share was released, or could not be and is left to expire.
struct ShareStopCompleted { };

using ShareEffect = std::variant<ReadLedger, WriteLedger, ApplyShare, SetShareTimer, ShareStopCompleted>;

/// State machine that obtains and renews this VM's share of the limits in the ledger row. After a restore of the table
/// from an older copy it enters the share that it holds again; a share is not enlarged before all VMs have had time for
/// this. Performs no I/O: events carry
/// the time and the results, and effects are returned for the caller to execute.
class ShareLeaseManager {
public:
    ShareLeaseManager(ShareLedger::Holder, ShareLeaseSettings, uint64_t seed);

    /// Starts with a read of the ledger.
    std::vector<ShareEffect> start(Instant now);
    /// Processes one event and returns the effects for the caller to execute.
    std::vector<ShareEffect> handle(const ShareEvent&, Instant now);

    /// Key of the table row that stores the ledger.
    static const std::string& ledgerKey();

private:
    using Effects = std::vector<ShareEffect>;

    Effects onLedgerRead(const LedgerReadCompleted&, Instant now);
    Effects onLedgerWritten(const LedgerWriteCompleted&, Instant now);
    Effects onTimerFired(Instant now);
    Effects onStopRequested(const ShareStopRequested&, Instant now);
    Effects onHoldersChanged(Instant now);
    Effects onTableRestored(Instant now);
    SetShareTimer waitUntilSettled(Instant now);
    bool mustWaitUntilSettled(Instant now) const;
    bool mustConfirmRestart(Instant now) const;
    Effects writeLedger(Instant now);
    Effects scheduleRetry(Instant now);
    Effects renewIfEligible(Instant now);
    Duration nextInterval();
    Effects adoptEarlierShare(Instant now);
    bool loadLedger(const TableReply&);

    ShareLedger::Holder holder;
    ShareLeaseSettings settings;
    RandomGenerator random;
    std::optional<ShareLedger> ledger; ///< latest known content, at `revision`; empty if unknown
    uint64_t revision = 0;
    uint64_t generation = 0; ///< generation of the table in the last response; 0 if it is not reported
    TableClock clock; ///< clock of the table, from the last response
    ShareLedger pendingLedger; ///< content of the pending write
    Instant pendingExpiry {}; ///< expiry of the share in the pending write
    uint32_t pendingShare = 0; ///< share of this VM in the pending write
    uint32_t heldShare = 0; ///< share that admission control uses
    Instant expiry {}; ///< expiry of `heldShare`
    Instant nextWriteAt {}; ///< until then a VM without a share only reads the ledger
    bool callInProgress = false; ///< a call to the table is in progress
    bool initialReadDone = false; ///< the first read of the ledger has succeeded
    bool stopping = false;
    bool repeatsStop = false; ///< while stopping, the release is repeated until it is confirmed
    uint32_t exchangeCount = 0; ///< successful exchanges
    Duration retryDelay {}; ///< last delay after a failed exchange; 0 after a committed write
    Duration conflictDelay {}; ///< last upper bound of the backoff after a conflict; 0 after a committed write
};

} // namespace Lavendervane
