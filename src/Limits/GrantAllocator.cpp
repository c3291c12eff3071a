#include "Limits/GrantAllocator.h"

#include "Core/Error.h"
#include "Core/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

GrantAllocator::GrantAllocator(AllocatorSettings settings, VmId self, uint64_t incarnation, DataCentre dataCentre)
    : settings(settings)
    , self(self)
    , dataCentre(dataCentre)
    , lease(std::move(self), incarnation, dataCentre)
    , shares(std::move(dataCentre))
{
}

std::vector<AllocatorEffect> GrantAllocator::handle(const AllocatorEvent& event)
{
    std::visit([this](const auto& known) { this->on(known); }, event);
    return std::exchange(this->effects, {});
}

void GrantAllocator::on(const AllocatorTick& event)
{
    if (this->step != Step::Idle && event.now - this->stepStarted > this->settings.operationTimeout)
        this->on(AllocatorTableAnswered { event.now, this->operation, {} });
    if (this->lease.isHeld())
        this->checkSilentHolders(event.now);
    this->startCycle(event.now);
}

void GrantAllocator::on(const LimitsConfigured& event)
{
    this->shares.configure(event);
    if (!this->shares.isLoaded())
        this->nextCycle = event.now;
}

void GrantAllocator::on(const LiveVmsChanged& event)
{
    const std::set<VmId> before = std::exchange(this->liveVms, { event.vms.begin(), event.vms.end() });
    const auto ranked = rankByRendezvous(event.vms, leaseKey(this->dataCentre), 1);
    this->isPreferredAllocator = !ranked.empty() && ranked.front() == this->self;
    if (!this->lease.isHeld())
        return;
    const std::set<VmId> listed = this->lease.listedVms();
    for (const auto& vm : this->liveVms) {
        if (!before.contains(vm))
            this->sendClaim(vm, {}, event.now);
        if (!listed.contains(vm))
            this->nextCycle = event.now;
    }
}

void GrantAllocator::on(const GrantRequested& event)
{
    const GrantRequest& request = event.request;
    if (!this->canRenewGrants(event.now) || request.epoch != this->lease.epoch()
        || !this->acceptRequest(request, event.now)) {
        this->effects.emplace_back(AnswerGrant { false, request.holder, {} });
        return;
    }
    this->effects.emplace_back(AnswerGrant { true, request.holder, this->makeResponse(request, event.now) });
}

void GrantAllocator::on(const ClaimAnswered& event)
{
    const ClaimReport& report = event.report;
    this->on(EpochObserved { event.now, report.epoch });
    if (!this->lease.isHeld() || report.epoch != this->lease.epoch())
        return;
    const auto known = this->processes.find(report.holder);
    if (known != this->processes.end()) {
        if (report.incarnation <= known->second.incarnation)
            return; // The report is repeated or late; requests from this process are newer.
        this->removeProcess(report.holder, event.now);
    }
    this->addProcess(report.holder, report.incarnation, report.sequence, report.held, event.now);
}

void GrantAllocator::on(const EpochObserved& event)
{
    if (this->lease.isHeld() && event.epoch > this->lease.epoch())
        this->stepDown();
}

void GrantAllocator::on(const AllocatorTableAnswered& event)
{
    if (this->step == Step::Idle || event.operation != this->operation)
        return;
    const TableStatus status = event.result.status;
    switch (std::exchange(this->step, Step::Idle)) {
    case Step::ReadRows:
        if (status == TableStatus::Done)
            this->onRowsRead(event.result, event.now);
        break;
    case Step::ClaimLease:
        if (this->lease.completeWrite(status))
            this->onLeaseClaimed(event.now);
        break;
    case Step::WriteShares:
        this->shares.completeTransaction(status, event.now);
        // Allocators of other data centres create the rows of a new organisation at the same time. Waiting for the next
        // cycle after such a conflict left a data centre without grants for 3 s.
        if (status == TableStatus::Conflict)
            this->nextCycle = event.now;
        this->unlockIfAllReported(event.now);
        this->renewLease(event.now);
        break;
    case Step::RenewLease:
        if (this->lease.completeWrite(status))
            this->onLeaseRenewed(event.now);
        else if (status == TableStatus::Conflict)
            this->nextCycle = event.now;
        break;
    case Step::ReleaseLease:
        this->stepDown();
        break;
    case Step::Idle:
        break;
    }
    this->startCycle(event.now);
}

void GrantAllocator::on(const AllocatorStopping& event)
{
    this->stopping = true;
    if (!this->lease.isHeld()) {
        this->effects.emplace_back(AllocatorStopped {});
        return;
    }
    this->nextCycle = event.now;
    this->startCycle(event.now);
}

void GrantAllocator::startCycle(Instant now)
{
    if (this->step != Step::Idle || now < this->nextCycle)
        return;
    if (!this->lease.isHeld() && (!this->isPreferredAllocator || this->stopping))
        return;
    this->nextCycle = now + this->settings.cycleInterval;
    this->readRows(now);
}

void GrantAllocator::readRows(Instant now)
{
    std::vector<std::string> keys = this->shares.keys();
    keys.insert(keys.begin(), leaseKey(this->dataCentre));
    this->step = Step::ReadRows;
    this->stepStarted = now;
    this->effects.emplace_back(AllocatorRead { ++this->operation, std::move(keys) });
}

void GrantAllocator::onRowsRead(const TableResult& result, Instant now)
{
    const auto leaseRow = std::find_if(result.rows.begin(), result.rows.end(),
        [this](const TableRow& row) { return row.key == leaseKey(this->dataCentre); });
    if (leaseRow == result.rows.end())
        return;
    switch (this->lease.applyRow(*leaseRow)) {
    case AllocatorLease::ReadOutcome::Lost:
        this->stepDown();
        return;
    case AllocatorLease::ReadOutcome::NotHeld:
        if (this->shouldClaimLease())
            this->transact(Step::ClaimLease, this->lease.makeClaim(now), now);
        return;
    case AllocatorLease::ReadOutcome::Claimed:
        this->onLeaseClaimed(now);
        break;
    case AllocatorLease::ReadOutcome::Renewed:
        this->onLeaseRenewed(now);
        break;
    case AllocatorLease::ReadOutcome::Held:
        break;
    }
    this->shares.applyRows(result.rows, leaseRow->revision, now);
    this->unlockIfAllReported(now);
    if (this->stopping)
        this->releaseLease(now);
    else
        this->writeShares(now);
}

void GrantAllocator::onLeaseClaimed(Instant now)
{
    this->shares.reset();
    this->processes.clear();
    this->lastClaims.clear();
    this->unreportedVms = this->lease.listedVms();
    this->claimedAt = now;
    this->allHoldersReported = false;
    this->nextCycle = now;
    for (const auto& vm : this->liveVms)
        this->sendClaim(vm, {}, now);
}

void GrantAllocator::writeShares(Instant now)
{
    const RowCondition condition { leaseKey(this->dataCentre), this->lease.revision() };
    auto transaction = this->shares.planTransaction(this->lease.nextChangeId(), condition, now);
    if (transaction)
        this->transact(Step::WriteShares, std::move(*transaction), now);
    else
        this->renewLease(now);
}

void GrantAllocator::renewLease(Instant now)
{
    if (!this->lease.repeatsRenewal()) {
        for (auto& [organisation, entry] : this->shares.entries())
            entry.pool.beginQuarantineRelease();
    }
    this->transact(Step::RenewLease, this->lease.makeRenewal(this->possibleHolders(), now), now);
}

void GrantAllocator::onLeaseRenewed(Instant now)
{
    // The committed renewal proves that no other VM had taken the lease when it was sent, so no later allocator counts
    // capacity as granted that was quarantined by then.
    for (auto& [organisation, entry] : this->shares.entries())
        entry.pool.releaseQuarantine(now);
}

void GrantAllocator::releaseLease(Instant now)
{
    // The next allocator waits only for the VMs listed here; a VM without grants, such as this one, is left out.
    std::set<VmId> vms = this->unreportedVms;
    for (const auto& [vm, process] : this->processes) {
        for (const auto& [organisation, entry] : this->shares.entries()) {
            if (!entry.pool.outstanding(vm).empty())
                vms.insert(vm);
        }
    }
    this->transact(Step::ReleaseLease, this->lease.makeRelease(vms, now), now);
    this->lease.stepDown(); // No response must raise a grant once the list is complete.
}

void GrantAllocator::transact(Step next, TableTransaction transaction, Instant now)
{
    this->step = next;
    this->stepStarted = now;
    this->effects.emplace_back(AllocatorTransact { ++this->operation, std::move(transaction) });
}

void GrantAllocator::stepDown()
{
    this->lease.stepDown();
    this->shares.reset();
    this->processes.clear();
    this->lastClaims.clear();
    this->unreportedVms.clear();
    this->allHoldersReported = false;
    this->step = Step::Idle;
    if (this->stopping)
        this->effects.emplace_back(AllocatorStopped {});
}

void GrantAllocator::addProcess(
    const VmId& vm, uint64_t incarnation, uint64_t sequence, const std::vector<GrantDemand>& demands, Instant now)
{
    Process& process = this->processes[vm];
    process = Process { incarnation, sequence, now, true, {} };
    for (const auto& demand : demands) {
        if (ShareTable::Entry* entry = this->shares.find(demand.organisation)) {
            entry->pool.addHolder(vm, demand.held, demand.wanted, now);
            process.organisations.insert(demand.organisation);
        }
    }
    this->unreportedVms.erase(vm);
    this->unlockIfAllReported(now);
}

void GrantAllocator::removeProcess(const VmId& vm, Instant now)
{
    const auto found = this->processes.find(vm);
    for (const auto& organisation : found->second.organisations) {
        if (ShareTable::Entry* entry = this->shares.find(organisation))
            entry->pool.quarantine(vm, now);
    }
    this->processes.erase(found);
}

bool GrantAllocator::acceptRequest(const GrantRequest& request, Instant now)
{
    auto known = this->processes.find(request.holder);
    if (known != this->processes.end() && request.incarnation > known->second.incarnation) {
        this->removeProcess(request.holder, now);
        known = this->processes.end();
    }
    if (known == this->processes.end()) {
        this->addProcess(request.holder, request.incarnation, request.sequence, request.demands, now);
        return true;
    }
    Process& process = known->second;
    if (request.incarnation < process.incarnation || request.sequence <= process.sequence)
        return false;
    this->recordReport(request, process, now);
    return true;
}

void GrantAllocator::recordReport(const GrantRequest& request, Process& process, Instant now)
{
    process.sequence = request.sequence;
    process.lastHeard = now;
    process.active = true;
    std::set<OrganisationId> unlisted = std::exchange(process.organisations, {});
    for (const auto& demand : request.demands) {
        unlisted.erase(demand.organisation);
        if (ShareTable::Entry* entry = this->shares.find(demand.organisation)) {
            entry->pool.recordReport(request.holder, demand, now);
            if (!demand.held.empty() || !demand.wanted.empty())
                process.organisations.insert(demand.organisation);
        }
    }
    // A request lists every organisation of which the VM holds capacity, so it holds nothing of the others.
    for (const auto& organisation : unlisted) {
        if (ShareTable::Entry* entry = this->shares.find(organisation))
            entry->pool.recordReport(request.holder, { organisation, {}, {}, 0 }, now);
    }
}

GrantResponse GrantAllocator::makeResponse(const GrantRequest& request, Instant now)
{
    const bool moves = this->canMoveCapacity(now) && this->lease.listedVms().contains(request.holder);
    GrantResponse response { request.epoch, request.sequence, this->settings.validity, moves, {} };
    Process& process = this->processes[request.holder];
    for (const auto& demand : request.demands) {
        ShareTable::Entry* entry = this->shares.find(demand.organisation);
        if (!entry) {
            response.grants.push_back({ demand.organisation, {}, 0 });
            continue;
        }
        if (!moves) {
            // The grant stays unchanged, even if the VM has returned empty burst with this request. A stopping VM keeps
            // nothing.
            const bool leaving = demand.wanted.empty();
            const Capacity kept = leaving ? entry->pool.outstanding(request.holder)
                                          : entry->pool.undoReportedReduction(request.holder, now);
            response.grants.push_back({ demand.organisation, kept, 0 });
            continue;
        }
        response.grants.push_back(entry->pool.grant(demand.organisation, request.holder, now));
        process.organisations.insert(demand.organisation);
        if (entry->pool.hasUnmetNeed(request.holder))
            this->recallTokens(demand.organisation, *entry, now);
    }
    return response;
}

void GrantAllocator::recallTokens(const OrganisationId& organisation, ShareTable::Entry& entry, Instant now)
{
    if (now - entry.lastRecall < this->settings.recallInterval)
        return;
    entry.lastRecall = now;
    // The allocator does not know which VMs have tokens left, so it asks those first whose last claim is the oldest.
    std::vector<VmId> vms = entry.pool.recallCandidates();
    std::sort(vms.begin(), vms.end(), [this](const VmId& left, const VmId& right) {
        return std::pair(this->lastClaims[left], left) < std::pair(this->lastClaims[right], right);
    });
    vms.resize(std::min(vms.size(), this->settings.vmsPerRecall));
    for (const auto& vm : vms)
        this->sendClaim(vm, organisation, now);
}

void GrantAllocator::sendClaim(const VmId& vm, const OrganisationId& recalled, Instant now)
{
    this->lastClaims[vm] = now;
    this->effects.emplace_back(SendClaim { vm, { this->dataCentre, this->self, this->lease.epoch(), recalled } });
}

void GrantAllocator::claimSilentVms(Instant now)
{
    for (const auto& vm : this->liveVms) {
        const auto process = this->processes.find(vm);
        const auto last = this->lastClaims.find(vm);
        const bool silent
            = process == this->processes.end() || now - process->second.lastHeard >= this->settings.claimAgainAfter;
        if (silent && (last == this->lastClaims.end() || now - last->second >= this->settings.claimInterval))
            this->sendClaim(vm, {}, now);
    }
}

void GrantAllocator::checkSilentHolders(Instant now)
{
    // Runs every 500 ms rather than at each tick, because the cost is linear in the VMs of the data centre.
    if (now < this->nextHolderCheck)
        return;
    this->nextHolderCheck = now + std::chrono::milliseconds(500);
    for (auto next = this->processes.begin(); next != this->processes.end();) {
        const auto found = next++;
        auto& [vm, process] = *found;
        const Duration silence = now - process.lastHeard;
        if (silence >= this->settings.validity + this->settings.clockMargin) {
            this->removeProcess(VmId(vm), now);
        } else if (process.active && silence >= this->settings.inactiveAfter) {
            process.active = false;
            for (const auto& organisation : process.organisations) {
                if (ShareTable::Entry* entry = this->shares.find(organisation))
                    entry->pool.setInactive(vm);
            }
        }
    }
    this->claimSilentVms(now);
    this->unlockIfAllReported(now);
}

void GrantAllocator::unlockIfAllReported(Instant now)
{
    if (this->allHoldersReported || !this->lease.isHeld())
        return;
    // A previous allocator that is cut off may renew grants unchanged for `outageLimit`, and its last grants are valid
    // for `validity` after that.
    const Duration lockTime = this->settings.outageLimit + this->settings.validity + this->settings.clockMargin;
    if (now - this->claimedAt >= lockTime)
        this->unreportedVms.clear();
    this->allHoldersReported = this->unreportedVms.empty();
    for (auto& [organisation, entry] : this->shares.entries()) {
        if (this->allHoldersReported) {
            entry.pool.unlockUnaccounted(now);
        } else if (entry.row && !entry.unaccountedLocked) {
            entry.pool.lockUnaccounted(now);
            entry.unaccountedLocked = true;
        }
    }
}

bool GrantAllocator::shouldClaimLease() const
{
    if (!this->isPreferredAllocator || this->stopping)
        return false;
    const VmId& holder = this->lease.holder();
    return holder.empty() || holder == this->self || !this->liveVms.contains(holder);
}

bool GrantAllocator::canMoveCapacity(Instant now) const
{
    const bool reportWaitOver = this->unreportedVms.empty() || now - this->claimedAt >= this->settings.reportWait;
    return this->lease.isHeld() && reportWaitOver && this->shares.isLoaded()
        && now - this->lease.renewedAt() < this->settings.moveLimit;
}

bool GrantAllocator::canRenewGrants(Instant now) const
{
    return this->lease.isHeld() && now - this->lease.renewedAt() < this->settings.outageLimit;
}

std::set<VmId> GrantAllocator::possibleHolders() const
{
    std::set<VmId> vms = this->unreportedVms;
    vms.insert(this->liveVms.begin(), this->liveVms.end());
    for (const auto& [vm, process] : this->processes)
        vms.insert(vm);
    return vms;
}

} // namespace Lavendervane
