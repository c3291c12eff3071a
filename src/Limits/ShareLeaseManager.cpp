#include "Limits/ShareLeaseManager.h"

#include "Core/Error.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

const std::string& ShareLeaseManager::ledgerKey()
{
    static const std::string key = "shares";
    return key;
}

ShareLeaseManager::ShareLeaseManager(ShareLedger::Holder holder, ShareLeaseSettings settings, uint64_t seed)
    : holder(std::move(holder))
    , settings(settings)
    , random(seed)
{
}

std::vector<ShareEffect> ShareLeaseManager::start(Instant)
{
    this->callInProgress = true;
    return { ReadLedger {} };
}

// The share of an earlier run of this VM passes to this run, because the earlier run has ended. Using it before the
// ledger names the new run lets the VM serve as soon as it has read the ledger, even when all VMs start together and
// their writes conflict.
std::vector<ShareEffect> ShareLeaseManager::adoptEarlierShare(Instant now)
{
    this->initialReadDone = true;
    this->callInProgress = false;
    const auto lease = this->ledger->findLease(this->holder.member.vm);
    const uint64_t tableNow = this->clock.lowerBound(now);
    if (!lease || lease->expiresAtMs <= tableNow)
        return { SetShareTimer { now + this->random.below(this->settings.initialWriteJitter) } };
    this->exchangeCount = this->settings.earlyExchanges;
    this->heldShare = lease->share;
    this->expiry = now + std::chrono::milliseconds(lease->expiresAtMs - tableNow) - this->clock.uncertainty();
    return { ApplyShare { this->heldShare, this->expiry },
        SetShareTimer { now + this->random.below(this->settings.adoptedWriteJitter) } };
}

std::vector<ShareEffect> ShareLeaseManager::handle(const ShareEvent& event, Instant now)
{
    if (const auto* readCompleted = std::get_if<LedgerReadCompleted>(&event))
        return this->onLedgerRead(*readCompleted, now);
    if (const auto* writeCompleted = std::get_if<LedgerWriteCompleted>(&event))
        return this->onLedgerWritten(*writeCompleted, now);
    if (std::holds_alternative<ShareTimerFired>(event))
        return this->onTimerFired(now);
    if (std::holds_alternative<ShareHoldersChanged>(event))
        return this->onHoldersChanged(now);
    if (std::holds_alternative<TableRestored>(event))
        return this->onTableRestored(now);
    return this->onStopRequested(std::get<ShareStopRequested>(event), now);
}

std::vector<ShareEffect> ShareLeaseManager::onTimerFired(Instant now)
{
    if (this->callInProgress || (this->stopping && !this->repeatsStop))
        return {};
    if (this->ledger && this->mustConfirmRestart(now)) {
        this->callInProgress = true;
        return this->writeLedger(now);
    }
    if (this->ledger && this->mustWaitUntilSettled(now))
        return { this->waitUntilSettled(now) };
    this->callInProgress = true;
    if (!this->initialReadDone || !this->ledger || now < this->nextWriteAt)
        return { ReadLedger {} };
    return this->writeLedger(now);
}

// Stores the ledger from the response. Returns false if it cannot be parsed.
bool ShareLeaseManager::loadLedger(const TableReply& reply)
{
    this->clock = reply.clock;
    this->ledger.reset();
    if (reply.result.rows.empty())
        return false;
    const TableRow& row = reply.result.rows.front();
    try {
        this->ledger = row.revision ? ShareLedger::parse(row.value) : ShareLedger();
    } catch (const Error&) {
        // Only this program writes the row, so another version has written it. The shares that it records are unknown,
        // so this VM takes none.
        return false;
    }
    this->revision = row.revision;
    this->generation = reply.generation;
    return true;
}

// A process that has just started holds no share. It lets the others know that it has none to enter, so that they need
// not wait for it.
bool ShareLeaseManager::mustConfirmRestart(Instant now) const
{
    if (this->stopping || this->heldShare)
        return false;
    const bool isRestored = this->ledger->generation() && this->ledger->generation() < this->generation;
    return isRestored
        || (this->ledger->isSettling(this->clock.lowerBound(now))
            && this->ledger->isUnconfirmed(this->holder.member.vm));
}

bool ShareLeaseManager::mustWaitUntilSettled(Instant now) const
{
    return !this->stopping && !this->heldShare && this->ledger->isSettling(this->clock.lowerBound(now));
}

SetShareTimer ShareLeaseManager::waitUntilSettled(Instant now)
{
    this->callInProgress = false;
    this->exchangeCount = 0;
    const uint64_t tableNow = this->clock.lowerBound(now);
    Duration wait = std::chrono::milliseconds(std::max(this->ledger->settlesAt(), tableNow) - tableNow);
    if (!this->heldShare)
        wait = std::min(wait, this->settings.settlePollInterval);
    // The ledger changes until then.
    this->ledger.reset();
    return { now + wait + this->random.below(this->settings.claimJitter) };
}

std::vector<ShareEffect> ShareLeaseManager::onTableRestored(Instant now)
{
    this->ledger.reset();
    if (this->callInProgress || this->stopping || !this->heldShare)
        return {};
    return { SetShareTimer { now + this->random.below(this->settings.claimJitter) } };
}

std::vector<ShareEffect> ShareLeaseManager::onLedgerRead(const LedgerReadCompleted& event, Instant now)
{
    if (this->stopping && !this->repeatsStop)
        return { ShareStopCompleted {} };
    if (event.reply.result.status != TableStatus::Done || !this->loadLedger(event.reply))
        return this->scheduleRetry(now);
    if (this->stopping)
        return this->writeLedger(now);
    if (this->mustConfirmRestart(now)) {
        this->callInProgress = false;
        return { SetShareTimer { now + this->random.below(this->settings.claimJitter) } };
    }
    if (this->mustWaitUntilSettled(now))
        return { this->waitUntilSettled(now) };
    if (!this->initialReadDone)
        return this->adoptEarlierShare(now);
    return now < this->nextWriteAt ? this->renewIfEligible(now) : this->writeLedger(now);
}

// For a VM without a share, which has nothing to renew: writes only if the VM is due to hold a share.
std::vector<ShareEffect> ShareLeaseManager::renewIfEligible(Instant now)
{
    ShareLedger wanted = *this->ledger;
    if (wanted.renew(this->holder, this->clock.lowerBound(now), this->settings.ledger) > 0)
        return this->writeLedger(now);
    this->callInProgress = false;
    return { SetShareTimer { now + this->nextInterval() } };
}

// The random part prevents VMs that started together from renewing at the same time.
Duration ShareLeaseManager::nextInterval()
{
    const auto members = static_cast<int64_t>(this->ledger->members().size());
    const Duration interval = ++this->exchangeCount < this->settings.earlyExchanges
        ? this->settings.earlyInterval
        : std::max(this->settings.renewInterval, this->settings.renewIntervalPerVm * members);
    return interval + this->random.below(interval / 4);
}

std::vector<ShareEffect> ShareLeaseManager::writeLedger(Instant now)
{
    this->pendingLedger = *this->ledger;
    this->pendingShare = 0;
    const uint64_t tableNow = this->clock.lowerBound(now);
    this->pendingLedger.enterGeneration(this->generation, this->revision > 0, tableNow, this->settings.ledger);
    if (this->stopping) {
        this->pendingLedger.remove(this->holder);
    } else if (this->pendingLedger.isSettling(tableNow)) {
        this->pendingShare = this->heldShare;
        this->pendingLedger.claim(this->holder, this->heldShare, tableNow, this->settings.ledger);
    } else {
        this->pendingShare = this->pendingLedger.renew(this->holder, tableNow, this->settings.ledger);
    }
    this->pendingExpiry = now + std::chrono::milliseconds(this->settings.ledger.lifetimeMs) - this->clock.uncertainty();
    Effects effects;
    // Other VMs may use the released part as soon as the write is committed, even if the response is lost, so the local
    // share shrinks before the write.
    if (this->pendingShare < this->heldShare) {
        this->heldShare = this->pendingShare;
        effects.emplace_back(ApplyShare { this->heldShare, this->expiry });
    }
    TableTransaction transaction;
    transaction.generation = this->generation;
    transaction.conditions.push_back({ ledgerKey(), this->revision });
    transaction.writes.push_back({ ledgerKey(), this->pendingLedger.serialise() });
    effects.emplace_back(WriteLedger { std::move(transaction) });
    return effects;
}

std::vector<ShareEffect> ShareLeaseManager::onLedgerWritten(const LedgerWriteCompleted& event, Instant now)
{
    const TableStatus status = event.reply.result.status;
    // The write that was under way when the stop was requested may have renewed the share.
    const bool isReleased
        = status == TableStatus::Done && !this->pendingLedger.findLease(this->holder.member.vm).has_value();
    if (this->stopping && (!this->repeatsStop || isReleased))
        return { ShareStopCompleted {} };
    if (status == TableStatus::Conflict) {
        if (!this->loadLedger(event.reply))
            return this->scheduleRetry(now);
        this->callInProgress = false;
        this->conflictDelay
            = std::clamp(2 * this->conflictDelay, this->settings.minConflictDelay, this->settings.maxConflictDelay);
        // With many writers, the content returned with the conflict is outdated after a long delay and the next write
        // would conflict again, so the ledger is read first.
        if (this->conflictDelay > this->settings.minConflictDelay)
            this->ledger.reset();
        return { SetShareTimer { now + this->random.below(this->conflictDelay) } };
    }
    if (status != TableStatus::Done) {
        // The outcome of the write is unknown, so the ledger has to be read again.
        if (status == TableStatus::Unknown)
            this->ledger.reset();
        return this->scheduleRetry(now);
    }
    this->ledger = this->pendingLedger;
    this->revision = event.reply.revision;
    this->clock = event.reply.clock;
    if (this->stopping)
        return this->writeLedger(now);
    if (this->mustWaitUntilSettled(now))
        return { this->waitUntilSettled(now) };
    // The write only confirmed that the earlier run has ended.
    if (!this->initialReadDone)
        return this->adoptEarlierShare(now);
    this->heldShare = this->pendingShare;
    this->expiry = this->pendingExpiry;
    this->retryDelay = {};
    this->conflictDelay = {};
    this->callInProgress = false;
    // A VM without a share renews its entry after a third of the lifetime, which leaves time for an outage of the table
    // before the entry expires.
    this->nextWriteAt
        = this->heldShare ? Instant {} : now + std::chrono::milliseconds(this->settings.ledger.lifetimeMs) / 3;
    const ApplyShare apply { this->heldShare, this->expiry };
    if (this->ledger->isSettling(this->clock.lowerBound(now)))
        return { apply, this->waitUntilSettled(now) };
    return { apply, SetShareTimer { now + this->nextInterval() } };
}

std::vector<ShareEffect> ShareLeaseManager::scheduleRetry(Instant now)
{
    this->callInProgress = false;
    this->retryDelay = std::clamp(2 * this->retryDelay, this->settings.minRetryDelay, this->settings.maxRetryDelay);
    return { SetShareTimer { now + this->retryDelay + this->random.below(this->settings.minRetryDelay) } };
}

std::vector<ShareEffect> ShareLeaseManager::onStopRequested(const ShareStopRequested& request, Instant now)
{
    this->stopping = true;
    this->repeatsStop = request.isRepeated;
    if (this->repeatsStop && (this->callInProgress || !this->ledger))
        return this->callInProgress ? Effects {} : this->onTimerFired(now);
    if (this->callInProgress || !this->ledger)
        return { ShareStopCompleted {} }; // The next run of this VM takes over the share.
    this->callInProgress = true;
    return this->writeLedger(now);
}

std::vector<ShareEffect> ShareLeaseManager::onHoldersChanged(Instant now)
{
    this->exchangeCount = 0;
    if (this->callInProgress || this->stopping)
        return {};
    return { SetShareTimer { now + this->random.below(this->settings.earlyInterval) } };
}

} // namespace Lavendervane
