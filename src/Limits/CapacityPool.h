#pragma once

#include "Limits/TokenBucket.h"

#include <map>
#include <vector>

namespace Lavendervane {

/// Share of one organisation's limit in a data centre: the capacity granted to each VM and the tokens of the capacity
/// that is not granted. The sum of free, granted, unaccounted and quarantined capacity never exceeds the share.
class CapacityPool {
public:
    /// Changes the share. The caller guarantees that no other data centre uses the same capacity.
    void setShare(Capacity, Instant now);
    const Capacity& share() const { return this->shareCapacity; }

    /// Marks all capacity that is not granted as unaccounted, so that none of it is granted while VMs that may hold
    /// some of it have not reported.
    void lockUnaccounted(Instant now);
    /// Adds a VM that has reported for the first time. The capacity it holds is deducted from the unaccounted part.
    void addHolder(const VmId&, Capacity held, Capacity wanted, Instant now);
    /// Makes the remaining unaccounted capacity free.
    void unlockUnaccounted(Instant now);

    /// Records what a holder reports to hold and wants, and adds the tokens that it returned.
    void recordReport(const VmId&, const GrantDemand&, Instant now);

    /// Removes a VM whose grant has expired or whose process was replaced. Its capacity stays out of use until
    /// `releaseQuarantine`, because a later allocator may still count it as granted.
    void quarantine(const VmId&, Instant now);

    /// Call when a lease renewal is sent: the capacity quarantined now becomes free if that renewal is committed.
    void beginQuarantineRelease();
    /// Call when the renewal is committed: frees the capacity that was quarantined before it was sent.
    void releaseQuarantine(Instant now);

    /// Excludes a silent holder from the division until it reports again. Its grant stays outstanding.
    void setInactive(const VmId&);

    /// Computes a new grant for the holder. Raises come out of the free capacity.
    GrantedCapacity grant(const OrganisationId&, const VmId&, Instant now);

    /// Grants again the capacity that the last report of the holder gave up, as far as it is free. Adds no tokens.
    Capacity undoReportedReduction(const VmId&, Instant now);

    /// True if the VM runs short and the last `grant` could not give it the rate or tokens it needs.
    bool hasUnmetNeed(const VmId&) const;

    /// Active holders that are not short of tokens and hold a burst of more than one request. Empty while the wanted
    /// rate exceeds the available rate by more than 20%, because no VM has tokens to spare then.
    std::vector<VmId> recallCandidates() const;

    /// Sets the capacity that the division keeps free for a transfer to another data centre.
    void setReserved(Capacity capacity) { this->reserved = capacity; }
    const Capacity& reservedCapacity() const { return this->reserved; }

    /// Part of the share that is neither granted, unaccounted nor quarantined.
    Capacity free() const;
    /// Rate that the data centre needs: what the active holders want plus what cannot be granted at present.
    uint64_t neededMilliRate() const;
    /// Upper bound of what the VM holds.
    Capacity outstanding(const VmId&) const;
    bool hasNoGrants() const { return this->granted.empty(); }

    friend bool operator==(const CapacityPool&, const CapacityPool&) = default;

private:
    struct Holder {
        Capacity outstanding; ///< upper bound of what the VM holds
        Capacity beforeReport; ///< `outstanding` before the last report
        Capacity wanted;
        bool returnedTokens = false; ///< true if its last request returned tokens
        bool hasUnmetNeed = false; ///< true if the last grant did not give it the rate or tokens that it lacks
        bool active = true;

        friend bool operator==(const Holder&, const Holder&) = default;
    };

    Capacity available() const;
    Capacity distributable() const;
    void updateFairRate(Instant now);
    Capacity targetCapacity(const Holder&) const;
    Capacity chooseCapacity(const Holder&, Instant now) const;
    void setOutstanding(Holder&, Capacity);
    void setWanted(Holder&, Capacity);
    void updateTokens(Instant now);

    Capacity shareCapacity;
    Capacity granted; ///< sum of `outstanding`
    Capacity grantedInactive; ///< sum of `outstanding` over holders that are not active
    Capacity wanted; ///< sum of `wanted` over active holders
    uint64_t activeHolderCount = 0;
    Capacity unaccounted; ///< may be held by VMs that have not reported
    Capacity quarantined; ///< of removed holders, not granted until a lease renewal is committed
    Capacity quarantinePendingRelease; ///< part of `quarantined` freed when the pending renewal is committed
    Capacity reserved; ///< kept free for another data centre
    uint64_t fairMilliRate = 0; ///< smallest target rate of an active holder; 0 if the wanted rates exceed the capacity
    Instant nextFairRateUpdate {};
    TokenBucket tokens; ///< tokens of the free capacity
    std::map<VmId, Holder> holders;
};

} // namespace Lavendervane
