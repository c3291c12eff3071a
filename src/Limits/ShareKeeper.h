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

struct ShareKeeperSettings {
    ShareLedger::Settings ledger;
    /// Upper bound of the random pause between the first read and the first write. VMs often start together.
    Duration startSpread = std::chrono::milliseconds(1500);
    /// The same for a VM that has adopted the shares of its earlier run and needs nothing soon.
    Duration adoptedSpread = std::chrono::seconds(5);
    /// The second and third exchange, to learn of VMs that started at the same time and to divide evenly with them.
    Duration earlyInterval = std::chrono::seconds(3);
    uint32_t earlyExchanges = 3;
    /// Interval of later exchanges, which follow the number of VMs; in large fleets this times the number of VMs.
    Duration renewInterval = std::chrono::seconds(15);
    Duration renewIntervalPerVm = std::chrono::milliseconds(500);
    /// First and longest pause after an exchange that failed.
    Duration failurePause = std::chrono::milliseconds(100);
    Duration longestFailurePause = std::chrono::milliseconds(2000);
    /// Upper bound of the random pause after another VM has changed the ledger first; it doubles with each time in a
    /// row up to the longest. An exchange takes about 10 ms. After a pause beyond the first, the ledger is read again.
    Duration conflictPause = std::chrono::milliseconds(20);
    Duration longestConflictPause = std::chrono::milliseconds(640);
};

struct LedgerRead {
    TableReply reply;
};

struct LedgerWritten {
    TableReply reply;
};

struct ShareTimerFired { };

/// The process is about to stop; shares are given back.
struct ShareStopRequested { };

using ShareEvent = std::variant<LedgerRead, LedgerWritten, ShareTimerFired, ShareStopRequested>;

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
struct FleetKnown {
    std::vector<FleetMember> vms;
};

/// The shares have been given back, or could not be.
struct SharesLeft { };

using ShareEffect = std::variant<ReadLedger, WriteLedger, ApplyShare, SetShareTimer, FleetKnown, SharesLeft>;

/// Obtains and renews this VM's share of limits through the ledger row. Holds no clock and makes no calls.
class ShareKeeper {
public:
    ShareKeeper(ShareLedger::Holder, ShareKeeperSettings, uint64_t seed);

    std::vector<ShareEffect> start(Instant now);
    std::vector<ShareEffect> handle(const ShareEvent&, Instant now);

    /// Key of the row that holds the ledger.
    static const std::string& ledgerKey();

private:
    using Effects = std::vector<ShareEffect>;

    Effects read(const LedgerRead&, Instant now);
    Effects written(const LedgerWritten&, Instant now);
    Effects timerFired(Instant now);
    Effects stop(Instant now);
    Effects write(Instant now);
    Effects failed(Instant now);
    Effects refreshed(Instant now);
    Duration nextInterval();
    Effects adopt(Instant now);
    bool accept(const TableReply&);
    Duration randomPart(Duration bound);

    ShareLedger::Holder holder;
    ShareKeeperSettings settings;
    RandomGenerator random;
    std::optional<ShareLedger> ledger; ///< newest content known, with `revision`
    uint64_t revision = 0;
    TableClock clock;
    ShareLedger attempted; ///< content of the write under way
    Instant attemptedExpiry {};
    uint32_t attemptedShare = 0;
    uint32_t held = 0;
    Instant expiry {};
    Instant writeDue {}; ///< until then a VM without a share only reads
    bool busy = false; ///< a call is under way
    bool adopted = false; ///< the first read has been made
    bool stopping = false;
    uint32_t exchanges = 0;
    Duration failureDelay {};
    Duration conflictDelay {};
};

} // namespace Lavendervane
