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
    this->busy = true;
    return { ReadLedger {} };
}

// An earlier run of this VM has ended, and its shares are still this VM's. Using them before the ledger names the new
// run lets a VM serve as soon as it has read the ledger, also when all VMs start together and their writes conflict.
std::vector<ShareEffect> ShareLeaseManager::adopt(Instant now)
{
    this->adopted = true;
    this->busy = false;
    const auto lease = this->ledger->leaseOf(this->holder.peer.vm);
    const uint64_t tableNow = this->clock.atLeast(now);
    if (!lease || lease->untilMs <= tableNow)
        return { SetShareTimer { now + this->randomPart(this->settings.startSpread) } };
    this->exchanges = this->settings.earlyExchanges;
    this->held = lease->share;
    this->expiry = now + std::chrono::milliseconds(lease->untilMs - tableNow) - this->clock.uncertainty();
    return { ApplyShare { this->held, this->expiry }, FleetMembersRead { this->ledger->members() },
        SetShareTimer { now + this->randomPart(this->settings.adoptedSpread) } };
}

Duration ShareLeaseManager::randomPart(Duration bound)
{
    return Duration(static_cast<int64_t>(this->random.below(static_cast<uint64_t>(bound.count()))));
}

std::vector<ShareEffect> ShareLeaseManager::handle(const ShareEvent& event, Instant now)
{
    if (const auto* ledgerRead = std::get_if<LedgerReadCompleted>(&event))
        return this->read(*ledgerRead, now);
    if (const auto* ledgerWritten = std::get_if<LedgerWriteCompleted>(&event))
        return this->written(*ledgerWritten, now);
    if (std::holds_alternative<ShareTimerFired>(event))
        return this->timerFired(now);
    return this->stop(now);
}

std::vector<ShareEffect> ShareLeaseManager::timerFired(Instant now)
{
    if (this->busy || this->stopping)
        return {};
    this->busy = true;
    if (!this->adopted || !this->ledger || now < this->writeDue)
        return { ReadLedger {} };
    return this->write(now);
}

// Takes over what the table says. Returns false if the content cannot be read.
bool ShareLeaseManager::accept(const TableReply& reply)
{
    this->clock = reply.clock;
    this->ledger.reset();
    if (reply.result.rows.empty())
        return false;
    const TableRow& row = reply.result.rows.front();
    try {
        this->ledger = row.revision ? ShareLedger::parse(row.value) : ShareLedger();
    } catch (const Error&) {
        // Only this program writes the row, so its content is from another version of it. Shares that it records cannot
        // be known, and none are taken.
        return false;
    }
    this->revision = row.revision;
    return true;
}

std::vector<ShareEffect> ShareLeaseManager::read(const LedgerReadCompleted& event, Instant now)
{
    if (this->stopping)
        return { ShareStopCompleted {} };
    if (event.reply.result.status != TableStatus::Done || !this->accept(event.reply))
        return this->failed(now);
    if (!this->adopted)
        return this->adopt(now);
    return now < this->writeDue ? this->refreshed(now) : this->write(now);
}

// A VM without a share has nothing to renew; it learns of the others, and writes only if it is its turn to hold one.
std::vector<ShareEffect> ShareLeaseManager::refreshed(Instant now)
{
    ShareLedger wanted = *this->ledger;
    if (wanted.renew(this->holder, this->clock.atLeast(now), this->settings.ledger) > 0)
        return this->write(now);
    this->busy = false;
    return { FleetMembersRead { this->ledger->members() }, SetShareTimer { now + this->nextInterval() } };
}

// The random part keeps VMs that started together from renewing together.
Duration ShareLeaseManager::nextInterval()
{
    const auto members = static_cast<int64_t>(this->ledger->members().size());
    const Duration interval = ++this->exchanges < this->settings.earlyExchanges
        ? this->settings.earlyInterval
        : std::max(this->settings.renewInterval, this->settings.renewIntervalPerVm * members);
    return interval + this->randomPart(interval / 4);
}

std::vector<ShareEffect> ShareLeaseManager::write(Instant now)
{
    this->attempted = *this->ledger;
    this->attemptedShare = 0;
    if (this->stopping)
        this->attempted.leave(this->holder);
    else
        this->attemptedShare = this->attempted.renew(this->holder, this->clock.atLeast(now), this->settings.ledger);
    this->attemptedExpiry
        = now + std::chrono::milliseconds(this->settings.ledger.lifetimeMs) - this->clock.uncertainty();
    Effects effects;
    // What is given back may be used by others as soon as the write is done, even if its answer is lost.
    if (this->attemptedShare < this->held) {
        this->held = this->attemptedShare;
        effects.emplace_back(ApplyShare { this->held, this->expiry });
    }
    TableTransaction transaction;
    transaction.conditions.push_back({ ledgerKey(), this->revision });
    transaction.writes.push_back({ ledgerKey(), this->attempted.serialise() });
    effects.emplace_back(WriteLedger { std::move(transaction) });
    return effects;
}

std::vector<ShareEffect> ShareLeaseManager::written(const LedgerWriteCompleted& event, Instant now)
{
    const TableStatus status = event.reply.result.status;
    if (this->stopping)
        return { ShareStopCompleted {} };
    if (status == TableStatus::Conflict) {
        if (!this->accept(event.reply))
            return this->failed(now);
        this->busy = false;
        this->conflictDelay
            = std::clamp(2 * this->conflictDelay, this->settings.conflictPause, this->settings.longestConflictPause);
        // With many writers, what the conflict told is out of date after a long pause, and the write would be in vain.
        if (this->conflictDelay > this->settings.conflictPause)
            this->ledger.reset();
        return { SetShareTimer { now + this->randomPart(this->conflictDelay) } };
    }
    if (status != TableStatus::Done) {
        // A lost answer leaves the content unknown.
        if (status == TableStatus::Unknown)
            this->ledger.reset();
        return this->failed(now);
    }
    this->ledger = this->attempted;
    this->revision = event.reply.revision;
    this->clock = event.reply.clock;
    this->held = this->attemptedShare;
    this->expiry = this->attemptedExpiry;
    this->failureDelay = {};
    this->conflictDelay = {};
    this->busy = false;
    // A third of the lifetime leaves time for an outage of the table before the entry ends.
    this->writeDue = this->held ? Instant {} : now + std::chrono::milliseconds(this->settings.ledger.lifetimeMs) / 3;
    return { ApplyShare { this->held, this->expiry }, FleetMembersRead { this->ledger->members() },
        SetShareTimer { now + this->nextInterval() } };
}

std::vector<ShareEffect> ShareLeaseManager::failed(Instant now)
{
    this->busy = false;
    this->failureDelay
        = std::clamp(2 * this->failureDelay, this->settings.failurePause, this->settings.longestFailurePause);
    return { SetShareTimer { now + this->failureDelay + this->randomPart(this->settings.failurePause) } };
}

std::vector<ShareEffect> ShareLeaseManager::stop(Instant now)
{
    this->stopping = true;
    if (this->busy || !this->ledger)
        return { ShareStopCompleted {} }; // the next run of this VM takes the shares over
    return this->write(now);
}

} // namespace Lavendervane
