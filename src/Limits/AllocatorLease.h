#pragma once

#include "Limits/LimitRows.h"

#include <optional>
#include <set>

namespace Lavendervane {

/// One VM's view of the lease row of its data centre: whether it holds the lease, and the write whose outcome is not
/// known yet.
class AllocatorLease {
public:
    AllocatorLease(VmId self, uint64_t incarnation, DataCentre);

    bool isHeld() const { return this->holdsLease; }
    uint64_t epoch() const { return this->row.epoch; }
    uint64_t revision() const { return this->rowRevision; }

    /// Send time of the last claim or renewal that is known to be committed.
    Instant renewedAt() const { return this->lastRenewal; }

    /// VMs that the row lists whether or not the pending write takes effect.
    std::set<VmId> listedVms() const;

    /// Result of reading the row.
    enum class ReadOutcome {
        NotHeld, ///< another VM holds the lease, or no VM does
        Held, ///< this VM holds the lease
        Renewed, ///< this VM holds the lease; a renewal whose response was lost has been committed
        Claimed, ///< this VM holds the lease; a claim whose response was lost has been committed
        Lost, ///< this VM held the lease and another VM has taken it
    };
    /// Updates the view with a row that was read from the table.
    ReadOutcome applyRow(const TableRow&);

    /// VM that holds the lease according to the last read; empty if no VM does.
    const VmId& holder() const { return this->row.holder; }

    /// Creates a transaction that takes the lease and raises the epoch. Pass the result of this and of the other `make`
    /// functions to `completeWrite` before the next call. `now` is the time before the transaction is sent.
    TableTransaction makeClaim(Instant now);
    /// Creates a transaction that renews the lease. Repeats the pending renewal if its outcome is unknown and the row
    /// has not changed.
    TableTransaction makeRenewal(const std::set<VmId>& vms, Instant now);
    /// Creates a transaction that gives up the lease.
    TableTransaction makeRelease(const std::set<VmId>& vms, Instant now);

    /// Records the result of the pending transaction. Returns true if it was committed.
    bool completeWrite(TableStatus);

    /// True if `makeRenewal` would repeat the pending renewal.
    bool repeatsRenewal() const;

    /// Returns a change id that no other transaction uses.
    std::string nextChangeId();

    /// Stops acting as the holder without a write to the table.
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
        uint64_t revision = 0; ///< revision of the row that the transaction requires
        Instant sentAt;
        bool mayHaveCommitted = false; ///< true after an attempt with unknown outcome

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
