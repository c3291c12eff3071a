#pragma once

#include "Limits/TokenBucket.h"

#include <map>
#include <vector>

namespace Lavendervane {

/// One organisation's share in a data centre: what each VM may hold of it, and the tokens of the rest. At any time
/// free + granted + unaccounted + frozen capacity is at most the share.
class CapacityPool {
public:
    /// Changes the share, which may not be used by anyone else.
    void setShare(Capacity, Instant now);
    const Capacity& share() const { return this->shareCapacity; }

    /// Keeps everything that is not granted out of use, as reports of possible holders are missing.
    void lockUnaccounted(Instant now);
    /// A VM that was not accounted for holds so much.
    void addHolder(const VmId&, Capacity held, Capacity wanted, Instant now);
    void unlockUnaccounted(Instant now);

    /// Records what a holder truthfully reports and would like; takes back its tokens.
    void recordReport(const VmId&, const GrantDemand&, Instant now);

    /// A previous process of the VM is gone: its capacity is frozen until `releaseQuarantine`.
    void quarantine(const VmId&, Instant now);

    /// A renewal of the lease is sent: it will cover what is frozen now.
    void beginQuarantineRelease();
    /// The renewal succeeded: capacity frozen before it was sent becomes free.
    void releaseQuarantine(Instant now);

    /// The holder does not count in the division until it is heard again. Its grant stays outstanding.
    void setInactive(const VmId&);

    /// Divides anew for the holder; lowers it or raises it from what is free.
    GrantedCapacity grant(const OrganisationId&, const VmId&, Instant now);

    /// Gives back to the holder what its last report has lowered, without tokens.
    Capacity undoReportedReduction(const VmId&, Instant now);

    /// True if the last `grant` could not give a VM that runs short the tokens it needs.
    bool hasUnmetNeed(const VmId&) const;

    /// Active holders that are not short of tokens and hold more than one request of burst; none while the wants exceed
    /// the capacity, as then nobody has tokens to spare.
    std::vector<VmId> recallCandidates() const;

    /// Capacity that the division keeps free for another data centre.
    void setReserved(Capacity capacity) { this->reserved = capacity; }
    const Capacity& reservedCapacity() const { return this->reserved; }

    Capacity free() const;
    /// What the active holders want, and what is out of use besides: the share that the data centre needs.
    uint64_t neededMilliRate() const;
    Capacity outstanding(const VmId&) const;
    bool hasNoGrants() const { return this->granted.empty(); }

    friend bool operator==(const CapacityPool&, const CapacityPool&) = default;

private:
    struct Holder {
        Capacity outstanding; ///< upper bound of what the VM holds
        Capacity beforeReport; ///< `outstanding` before the last report
        Capacity wanted;
        bool returnedTokens = false; ///< with its last request
        bool hasUnmetNeed = false; ///< after the last grant
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
    Capacity grantedInactive; ///< the part of holders that are not active
    Capacity wanted; ///< sum over active holders
    uint64_t activeHolderCount = 0;
    Capacity unaccounted;
    Capacity quarantined;
    Capacity quarantinePendingRelease; ///< the part of `quarantined` that the renewal under way covers
    Capacity reserved;
    uint64_t fairMilliRate = 0; ///< least part of an active holder while the wants fit
    Instant nextFairRateUpdate {};
    TokenBucket tokens; ///< its capacity is what is free
    std::map<VmId, Holder> holders;
};

} // namespace Lavendervane
