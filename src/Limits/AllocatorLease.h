#pragma once

#include "Limits/LimitRows.h"

#include <optional>
#include <set>

namespace Lavendervane {

/// The lease row of one data centre as one VM sees it: whether it holds the lease, and which writes are unsettled.
class AllocatorLease {
public:
    AllocatorLease(VmId self, uint64_t incarnation, DataCentre);

    bool isHeld() const { return this->holdsLease; }
    uint64_t epoch() const { return this->row.epoch; }
    uint64_t revision() const { return this->rowRevision; }

    /// Time before the last renewal or claim known to be committed was sent.
    Instant renewedAt() const { return this->lastRenewal; }

    /// VMs that the row certainly lists, whatever becomes of unsettled writes.
    std::set<VmId> listedVms() const;

    /// What a reading of the row has shown.
    enum class ReadOutcome {
        NotHeld, ///< another VM holds the lease, or nobody does
        Held, ///< this VM holds the lease
        Renewed, ///< the same, and a renewal whose answer was lost has taken effect
        Claimed, ///< a claim whose answer was lost has taken effect
        Lost, ///< this VM held the lease and another has taken it
    };
    ReadOutcome applyRow(const TableRow&);

    /// VM that holds the lease according to the last reading; empty if nobody does.
    const VmId& holder() const { return this->row.holder; }

    /// Transactions; each must be settled by `completeWrite` before the next is made. `now` is the time before sending.
    TableTransaction makeClaim(Instant now);
    /// Repeats a renewal whose outcome is unknown if the row has not changed since.
    TableTransaction makeRenewal(const std::set<VmId>& vms, Instant now);
    TableTransaction makeRelease(const std::set<VmId>& vms, Instant now);

    /// Returns true if the transaction was committed.
    bool completeWrite(TableStatus);

    /// True if `makeRenewal` would repeat an earlier one.
    bool repeatsRenewal() const;

    std::string nextChangeId();
    void stepDown()
    {
        this->holdsLease = false;
        this->pendingWrite.reset();
    }

    friend bool operator==(const AllocatorLease&, const AllocatorLease&) = default;

private:
    enum class Purpose {
        Claim,
        Renewal,
        Release,
    };
    struct Write {
        Purpose purpose = Purpose::Claim;
        LeaseRow row;
        uint64_t revision = 0; ///< condition
        Instant sentAt;
        bool mayHaveCommitted = false; ///< some sending of it may have taken effect

        friend bool operator==(const Write&, const Write&) = default;
    };

    TableTransaction toTransaction(const Write&) const;
    void applyCommitted(const Write&);

    VmId self;
    uint64_t incarnation;
    DataCentre dataCentre;
    uint64_t lastChangeNumber = 0;
    bool holdsLease = false;
    LeaseRow row;
    uint64_t rowRevision = 0;
    Instant lastRenewal {};
    std::optional<Write> pendingWrite;
};

} // namespace Lavendervane
