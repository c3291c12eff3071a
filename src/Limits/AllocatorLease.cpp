#include "Limits/AllocatorLease.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace Lavendervane {

AllocatorLease::AllocatorLease(VmId self, uint64_t incarnation, DataCentre dataCentre)
    : self(std::move(self))
    , incarnation(incarnation)
    , dataCentre(std::move(dataCentre))
{
}

std::string AllocatorLease::nextChangeId()
{
    return this->self.str() + '/' + std::to_string(this->incarnation) + '/' + std::to_string(++this->lastChangeNumber);
}

std::set<VmId> AllocatorLease::listedVms() const
{
    if (!this->pendingWrite || this->pendingWrite->revision != this->rowRevision)
        return this->row.vms;
    // The pending write may still be committed and replace the list, so only VMs in both lists are certain.
    std::set<VmId> common;
    std::set_intersection(this->row.vms.begin(), this->row.vms.end(), this->pendingWrite->row.vms.begin(),
        this->pendingWrite->row.vms.end(), std::inserter(common, common.end()));
    return common;
}

AllocatorLease::ReadOutcome AllocatorLease::applyRow(const TableRow& tableRow)
{
    const LeaseRow current = tableRow.revision ? parseLeaseRow(tableRow.value) : LeaseRow {};
    const bool committed
        = this->pendingWrite && !current.changeId.empty() && current.changeId == this->pendingWrite->row.changeId;
    const bool stillHeld = this->holdsLease && current.epoch == this->row.epoch && current.holder == this->self;
    const bool lost = this->holdsLease && !stillHeld;
    this->row = current;
    this->rowRevision = tableRow.revision;
    if (committed) {
        const Write write = *std::exchange(this->pendingWrite, std::nullopt);
        this->applyCommitted(write);
        if (write.purpose == Purpose::Claim)
            return ReadOutcome::Claimed;
        return this->holdsLease ? ReadOutcome::Renewed : ReadOutcome::Lost;
    }
    if (this->pendingWrite
        && (this->pendingWrite->revision != this->rowRevision || this->pendingWrite->purpose == Purpose::Claim))
        this->pendingWrite.reset();
    this->holdsLease = stillHeld;
    if (lost)
        return ReadOutcome::Lost;
    return stillHeld ? ReadOutcome::Held : ReadOutcome::NotHeld;
}

TableTransaction AllocatorLease::makeClaim(Instant now)
{
    LeaseRow next { this->row.epoch + 1, this->self, this->nextChangeId(), this->row.vms };
    if (!this->row.holder.empty())
        next.vms.insert(this->row.holder);
    next.vms.insert(this->self);
    this->pendingWrite = Write { Purpose::Claim, std::move(next), this->rowRevision, now };
    return this->toTransaction(*this->pendingWrite);
}

bool AllocatorLease::repeatsRenewal() const
{
    return this->pendingWrite && this->pendingWrite->purpose == Purpose::Renewal
        && this->pendingWrite->revision == this->rowRevision;
}

TableTransaction AllocatorLease::makeRenewal(const std::set<VmId>& vms, Instant now)
{
    assert(this->holdsLease);
    // Repeating the same write means that only one list can be committed. Its time stays that of the first attempt.
    if (!this->repeatsRenewal())
        this->pendingWrite = Write { Purpose::Renewal, { this->row.epoch, this->self, this->nextChangeId(), vms },
            this->rowRevision, now };
    return this->toTransaction(*this->pendingWrite);
}

TableTransaction AllocatorLease::makeRelease(const std::set<VmId>& vms, Instant now)
{
    assert(this->holdsLease);
    this->pendingWrite
        = Write { Purpose::Release, { this->row.epoch, VmId(), this->nextChangeId(), vms }, this->rowRevision, now };
    return this->toTransaction(*this->pendingWrite);
}

bool AllocatorLease::completeWrite(TableStatus status)
{
    assert(this->pendingWrite);
    if (status == TableStatus::Done) {
        this->applyCommitted(*std::exchange(this->pendingWrite, std::nullopt));
        // The revision of the committed row is unknown until it is read.
        this->rowRevision = 0;
        return true;
    }
    if (status == TableStatus::Unknown)
        this->pendingWrite->mayHaveCommitted = true;
    if (status == TableStatus::NotSent && !this->pendingWrite->mayHaveCommitted)
        this->pendingWrite.reset();
    return false;
}

TableTransaction AllocatorLease::toTransaction(const Write& write) const
{
    const std::string key = leaseKey(this->dataCentre);
    return { write.row.changeId, { { key, write.revision } }, { { key, toJson(write.row) } } };
}

void AllocatorLease::applyCommitted(const Write& write)
{
    this->row = write.row;
    this->lastRenewal = write.sentAt;
    this->holdsLease = write.purpose != Purpose::Release;
}

} // namespace Lavendervane
