#pragma once

#include "Limits/AllocatorLease.h"
#include "Limits/GrantMessages.h"
#include "Limits/ShareTable.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lavendervane {

struct AllocatorSettings {
    Duration cycleInterval = std::chrono::seconds(3); ///< between reads of the rows and renewals of the lease
    /// Age of the last lease renewal up to which capacity moves between VMs.
    Duration moveLimit = std::chrono::hours(2);
    /// Age of the last lease renewal up to which grants are renewed unchanged.
    Duration outageLimit = std::chrono::hours(2);
    Duration validity = std::chrono::seconds(60); ///< validity of a grant, on the clock of the holder
    Duration clockMargin = std::chrono::seconds(1); ///< extra wait after `validity`, for clock drift between VMs
    /// Time without a request after which a holder is excluded from the division.
    Duration inactiveAfter = std::chrono::seconds(5);
    Duration claimInterval = std::chrono::seconds(1); ///< shortest time between claims to a silent VM
    /// Time without a request after which a live VM gets another claim.
    Duration claimAgainAfter = std::chrono::milliseconds(2500);
    /// How long capacity stays fixed after taking the lease while reports are missing.
    Duration reportWait = std::chrono::seconds(1);
    Duration recallInterval = std::chrono::milliseconds(50); ///< shortest time between recalls for one organisation
    /// Time after which a table call without a response counts as failed.
    Duration operationTimeout = std::chrono::seconds(5);
    size_t vmsPerRecall = 8; ///< VMs that one recall asks for tokens

    friend bool operator==(const AllocatorSettings&, const AllocatorSettings&) = default;
};

/// State machine that divides the limit shares of a data centre among its VMs. Runs on every VM; only the VM that holds
/// the lease row answers requests, and the preferred VM takes the lease when its holder is gone (docs/design.md, 5.6).
class GrantAllocator {
public:
    GrantAllocator(AllocatorSettings, VmId self, uint64_t incarnation, DataCentre);

    /// Processes one event and returns the effects for the caller to execute.
    std::vector<AllocatorEffect> handle(const AllocatorEvent&);

    bool holdsLease() const { return this->lease.isHeld(); }
    /// Epoch of the lease; 0 unless this VM holds it.
    uint64_t epoch() const { return this->lease.isHeld() ? this->lease.epoch() : 0; }
    /// State of all organisations, with the capacity pool of each.
    const std::map<OrganisationId, ShareTable::Entry>& pools() const { return this->shares.entries(); }

    friend bool operator==(const GrantAllocator&, const GrantAllocator&) = default;

private:
    /// Process of a VM that has reported in this epoch.
    struct Process {
        uint64_t incarnation = 0;
        uint64_t sequence = 0; ///< last sequence seen; requests up to it are ignored
        Instant lastHeard; ///< time of the last request or first report
        bool active = true; ///< false after `inactiveAfter` without a request
        std::set<OrganisationId> organisations; ///< organisations of which it may hold or want capacity

        friend bool operator==(const Process&, const Process&) = default;
    };
    /// Table call in progress.
    enum class Step {
        Idle,
        ReadRows,
        ClaimLease,
        WriteShares,
        RenewLease,
        ReleaseLease,
    };

    void on(const AllocatorTick&);
    void on(const LimitsConfigured&);
    void on(const LiveVmsChanged&);
    void on(const GrantRequested&);
    void on(const ClaimAnswered&);
    void on(const EpochObserved&);
    void on(const AllocatorTableAnswered&);
    void on(const AllocatorStopping&);

    /// Starts a cycle if it is due: read the rows, claim the lease if it is free, else write shares and renew the
    /// lease.
    void startCycle(Instant now);
    void readRows(Instant now);
    void onRowsRead(const TableResult&, Instant now);
    void onLeaseClaimed(Instant now);
    void writeShares(Instant now);
    void renewLease(Instant now);
    void onLeaseRenewed(Instant now);
    void releaseLease(Instant now);
    void transact(Step, TableTransaction, Instant now);
    void stepDown();

    /// Records the first report of a VM process in this epoch.
    void addProcess(const VmId&, uint64_t incarnation, uint64_t sequence, const std::vector<GrantDemand>&, Instant now);
    /// Removes a VM process and quarantines its capacity.
    void removeProcess(const VmId&, Instant now);
    /// Records the request. Returns false if it is late, repeated or of an earlier process.
    bool acceptRequest(const GrantRequest&, Instant now);
    void recordReport(const GrantRequest&, Process&, Instant now);
    GrantResponse makeResponse(const GrantRequest&, Instant now);
    /// Asks VMs with spare burst to return unused tokens.
    void recallTokens(const OrganisationId&, ShareTable::Entry&, Instant now);
    void sendClaim(const VmId&, const OrganisationId& recalled, Instant now);
    void claimSilentVms(Instant now);
    void checkSilentHolders(Instant now);
    void unlockIfAllReported(Instant now);

    bool shouldClaimLease() const;
    /// True if capacity may move between VMs at present.
    bool canMoveCapacity(Instant now) const;
    /// True if grants may be renewed at present, even if only unchanged.
    bool canRenewGrants(Instant now) const;
    std::set<VmId> possibleHolders() const;

    AllocatorSettings settings;
    VmId self;
    DataCentre dataCentre;
    AllocatorLease lease;
    ShareTable shares;
    std::set<VmId> liveVms;
    bool isPreferredAllocator = false; ///< this VM ranks first in the data centre by rendezvous hashing
    bool stopping = false;

    Step step = Step::Idle;
    uint64_t operation = 0; ///< number of the last table call
    Instant stepStarted {}; ///< start of the current step, for `operationTimeout`
    Instant nextCycle {}; ///< earliest start of the next cycle

    // State of the current epoch.
    std::map<VmId, Process> processes;
    std::map<VmId, Instant> lastClaims; ///< time of the last claim to each VM
    std::set<VmId> unreportedVms; ///< VMs that may hold grants of earlier epochs
    Instant claimedAt {}; ///< time at which this VM took the lease
    bool allHoldersReported = false; ///< true once no capacity is locked for VMs that have not reported
    Instant nextHolderCheck {};

    std::vector<AllocatorEffect> effects; ///< effects of the event being handled
};

} // namespace Lavendervane
