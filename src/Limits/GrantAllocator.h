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
    Duration cycleInterval = std::chrono::seconds(3); ///< reading of the rows and renewal of the lease
    Duration moveLimit = std::chrono::hours(2); ///< age of the renewal up to which capacity moves
    Duration outageLimit = std::chrono::hours(2); ///< age of the renewal up to which grants are renewed unchanged
    Duration validity = std::chrono::seconds(60); ///< of a grant, on the holder's clock
    Duration clockMargin = std::chrono::seconds(1); ///< waited beyond `validity`, for clocks that differ in speed
    Duration inactiveAfter = std::chrono::seconds(5); ///< silence after which a holder no longer counts in the division
    Duration claimInterval = std::chrono::seconds(1); ///< between claims to a VM that has not answered
    Duration claimAgainAfter = std::chrono::milliseconds(2500); ///< silence after which a live VM is claimed again
    Duration reportWait = std::chrono::seconds(1); ///< wait for reports after a claim before capacity moves
    Duration recallInterval = std::chrono::milliseconds(50); ///< between recalls for one organisation
    Duration operationTimeout = std::chrono::seconds(5); ///< after which a call to the table counts as unanswered
    size_t vmsPerRecall = 8; ///< per recall

    friend bool operator==(const AllocatorSettings&, const AllocatorSettings&) = default;
};

/// Reducer that divides a data centre's shares of the limits among its VMs, on the VM that holds the lease row, and
/// takes the lease when the holder is gone (docs/design.md, 5.6).
class GrantAllocator {
public:
    GrantAllocator(AllocatorSettings, VmId self, uint64_t incarnation, DataCentre);

    std::vector<AllocatorEffect> handle(const AllocatorEvent&);

    bool holdsLease() const { return this->lease.isHeld(); }
    uint64_t epoch() const { return this->lease.isHeld() ? this->lease.epoch() : 0; }
    const std::map<OrganisationId, ShareTable::Entry>& pools() const { return this->shares.entries(); }

    friend bool operator==(const GrantAllocator&, const GrantAllocator&) = default;

private:
    /// One VM that has reported in this epoch.
    struct Process {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        Instant lastHeard;
        bool active = true;
        std::set<OrganisationId> organisations; ///< of which it may hold capacity or wants some

        friend bool operator==(const Process&, const Process&) = default;
    };
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

    void addProcess(const VmId&, uint64_t incarnation, uint64_t sequence, const std::vector<GrantDemand>&, Instant now);
    void removeProcess(const VmId&, Instant now);
    bool acceptRequest(const GrantRequest&, Instant now);
    void recordReport(const GrantRequest&, Process&, Instant now);
    GrantResponse makeResponse(const GrantRequest&, Instant now);
    void recallTokens(const OrganisationId&, ShareTable::Entry&, Instant now);
    void sendClaim(const VmId&, const OrganisationId& recalled, Instant now);
    void claimSilentVms(Instant now);
    void checkSilentHolders(Instant now);
    void unlockIfAllReported(Instant now);

    bool shouldClaimLease() const;
    bool canMoveCapacity(Instant now) const;
    bool canRenewGrants(Instant now) const;
    std::set<VmId> possibleHolders() const;

    AllocatorSettings settings;
    VmId self;
    DataCentre dataCentre;
    AllocatorLease lease;
    ShareTable shares;
    std::set<VmId> liveVms;
    bool isPreferredAllocator = false; ///< this VM is the first of the data centre by rendezvous
    bool stopping = false;

    Step step = Step::Idle;
    uint64_t operation = 0;
    Instant stepStarted {};
    Instant nextCycle {};

    // Of the present epoch:
    std::map<VmId, Process> processes;
    std::map<VmId, Instant> lastClaims;
    std::set<VmId> unreportedVms; ///< VMs that may hold grants of earlier epochs
    Instant claimedAt {};
    bool allHoldersReported = false; ///< nothing is kept out of use for VMs that have not reported
    Instant nextHolderCheck {};

    std::vector<AllocatorEffect> effects; ///< of the event in progress
};

} // namespace Lavendervane
