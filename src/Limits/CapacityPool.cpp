#include "Limits/CapacityPool.h"

#include "Limits/LimitRows.h"

#include <algorithm>
#include <functional>

namespace Lavendervane {

constexpr uint64_t milliTokensPerRequest = 1000;

/// Parts of the capacity kept in the pool for VMs that run short before other VMs send their next request. This reserve
/// cannot be granted while the platform is down or after the allocator is lost.
constexpr uint64_t rateReservePercent = 2;
constexpr uint64_t burstReservePercent = 25;

static Capacity add(const Capacity& left, const Capacity& right)
{
    return { left.milliRate + right.milliRate, left.milliBurst + right.milliBurst };
}

/// Saturating difference: 0 where `right` is larger.
static Capacity subtract(const Capacity& left, const Capacity& right)
{
    return { left.milliRate - std::min(left.milliRate, right.milliRate),
        left.milliBurst - std::min(left.milliBurst, right.milliBurst) };
}

static Capacity componentMin(const Capacity& left, const Capacity& right)
{
    return { std::min(left.milliRate, right.milliRate), std::min(left.milliBurst, right.milliBurst) };
}

static Capacity componentMax(const Capacity& left, const Capacity& right)
{
    return { std::max(left.milliRate, right.milliRate), std::max(left.milliBurst, right.milliBurst) };
}

void CapacityPool::setShare(Capacity share, Instant now)
{
    this->shareCapacity = share;
    this->updateTokens(now);
}

void CapacityPool::lockUnaccounted(Instant now)
{
    this->unaccounted = subtract(this->shareCapacity, this->granted);
    this->updateTokens(now);
}

void CapacityPool::addHolder(const VmId& vm, Capacity held, Capacity wanted, Instant now)
{
    Holder& holder = this->holders.try_emplace(vm, Holder { {}, {}, {}, false, false, false }).first->second;
    this->setOutstanding(holder, held);
    this->unaccounted = subtract(this->unaccounted, held);
    this->setWanted(holder, wanted);
    this->updateTokens(now);
}

void CapacityPool::unlockUnaccounted(Instant now)
{
    this->unaccounted = {};
    this->updateTokens(now);
}

void CapacityPool::recordReport(const VmId& vm, const GrantDemand& demand, Instant now)
{
    Holder& holder = this->holders.try_emplace(vm, Holder { {}, {}, {}, false, false, false }).first->second;
    // A holder lowers its buckets before it reports, and raises them only after a response, so the report is an upper
    // bound of its use.
    holder.beforeReport = holder.outstanding;
    this->setOutstanding(holder, componentMin(holder.outstanding, demand.held));
    this->setWanted(holder, demand.wanted);
    holder.returnedTokens = demand.returnedMilliTokens > 0;
    this->updateTokens(now);
    this->tokens.add(demand.returnedMilliTokens, now);
}

void CapacityPool::quarantine(const VmId& vm, Instant now)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end())
        return;
    this->setInactive(vm);
    this->quarantined = add(this->quarantined, found->second.outstanding);
    this->setOutstanding(found->second, {});
    this->holders.erase(found);
    this->updateTokens(now);
}

void CapacityPool::beginQuarantineRelease() { this->quarantinePendingRelease = this->quarantined; }

void CapacityPool::releaseQuarantine(Instant now)
{
    this->quarantined = subtract(this->quarantined, this->quarantinePendingRelease);
    this->quarantinePendingRelease = {};
    this->updateTokens(now);
}

void CapacityPool::setInactive(const VmId& vm)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end() || !found->second.active)
        return;
    Holder& holder = found->second;
    this->wanted = subtract(this->wanted, holder.wanted);
    this->grantedInactive = add(this->grantedInactive, holder.outstanding);
    --this->activeHolderCount;
    holder.wanted = {};
    holder.active = false;
}

GrantedCapacity CapacityPool::grant(const OrganisationId& organisation, const VmId& vm, Instant now)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end())
        return { organisation, {}, 0 };
    this->updateFairRate(now);
    Holder& holder = found->second;
    const Capacity chosen = this->chooseCapacity(holder, now);
    const uint64_t freeBurst = this->free().milliBurst;
    const uint64_t addedBurst = chosen.milliBurst - std::min(chosen.milliBurst, holder.outstanding.milliBurst);
    // A VM that runs short gets as many tokens as its new burst can hold. Other VMs get tokens in proportion to their
    // part of the free burst.
    uint64_t transferredTokens = std::min(addedBurst, this->tokens.milliTokens(now));
    const bool isShort = holder.wanted.milliBurst > holder.outstanding.milliBurst;
    if (!isShort && freeBurst)
        transferredTokens = std::min(transferredTokens, scale(this->tokens.milliTokens(now), addedBurst, freeBurst));
    this->tokens.take(transferredTokens, now);
    // The VM may use its old capacity until it has applied the response.
    this->setOutstanding(holder, componentMax(holder.outstanding, chosen));
    const bool lacksRate = holder.wanted.milliRate > holder.outstanding.milliRate;
    holder.hasUnmetNeed = isShort && (lacksRate || transferredTokens < milliTokensPerRequest);
    this->updateTokens(now);
    return { organisation, chosen, transferredTokens };
}

Capacity CapacityPool::undoReportedReduction(const VmId& vm, Instant now)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end())
        return {};
    Holder& holder = found->second;
    const Capacity limit = add(holder.outstanding, this->free());
    this->setOutstanding(holder, componentMin(componentMax(holder.outstanding, holder.beforeReport), limit));
    this->updateTokens(now);
    return holder.outstanding;
}

bool CapacityPool::hasUnmetNeed(const VmId& vm) const
{
    const auto found = this->holders.find(vm);
    return found != this->holders.end() && found->second.hasUnmetNeed;
}

std::vector<VmId> CapacityPool::recallCandidates() const
{
    std::vector<VmId> candidates;
    const uint64_t available = this->available().milliRate;
    if (this->wanted.milliRate > available + available / 5)
        return candidates;
    for (const auto& [vm, holder] : this->holders) {
        const bool isShort = holder.wanted.milliBurst > holder.outstanding.milliBurst;
        if (holder.active && !isShort && holder.outstanding.milliBurst > milliTokensPerRequest)
            candidates.push_back(vm);
    }
    return candidates;
}

Capacity CapacityPool::free() const
{
    return subtract(this->shareCapacity, add(this->granted, add(this->unaccounted, this->quarantined)));
}

uint64_t CapacityPool::neededMilliRate() const
{
    return this->wanted.milliRate + this->unaccounted.milliRate + this->quarantined.milliRate
        + this->grantedInactive.milliRate;
}

Capacity CapacityPool::outstanding(const VmId& vm) const
{
    const auto found = this->holders.find(vm);
    return found == this->holders.end() ? Capacity {} : found->second.outstanding;
}

Capacity CapacityPool::available() const
{
    const Capacity locked = add(add(this->unaccounted, this->quarantined), add(this->grantedInactive, this->reserved));
    return subtract(this->shareCapacity, locked);
}

Capacity CapacityPool::distributable() const
{
    const Capacity available = this->available();
    // A small bucket is often full and then discards the tokens that accrue, while the pool keeps them. So the smaller
    // the burst of a holder, the more of the rate stays in the pool: 13% below 4 requests of burst, 1% at 50.
    const uint64_t burst = available.milliBurst / std::max<uint64_t>(this->activeHolderCount, 1);
    const uint64_t percent = rateReservePercent
        + std::min<uint64_t>(13, 50 * milliTokensPerRequest / std::max(burst, milliTokensPerRequest));
    return subtract(
        available, { scale(available.milliRate, percent, 100), scale(available.milliBurst, burstReservePercent, 100) });
}

/// Max-min fairness: largest rate with `sum of max(wanted, rate) <= distributable`; 0 if the wanted rates alone exceed
/// `distributable`.
static uint64_t findFairRate(uint64_t distributable, std::vector<uint64_t>& wantedRates)
{
    std::sort(wantedRates.begin(), wantedRates.end(), std::greater<>());
    uint64_t remaining = distributable;
    for (size_t index = 0; index < wantedRates.size(); ++index) {
        const uint64_t equalPart = remaining / (wantedRates.size() - index);
        if (wantedRates[index] <= equalPart)
            return equalPart;
        remaining -= std::min(remaining, wantedRates[index]);
    }
    return 0;
}

void CapacityPool::updateFairRate(Instant now)
{
    // Sorting the holders is expensive, and a slightly outdated rate changes the division little, so the rate is
    // computed at most every 20 ms.
    if (now < this->nextFairRateUpdate)
        return;
    this->nextFairRateUpdate = now + std::chrono::milliseconds(20);
    std::vector<uint64_t> wantedRates;
    for (const auto& [vm, holder] : this->holders) {
        if (holder.active)
            wantedRates.push_back(holder.wanted.milliRate);
    }
    this->fairMilliRate = findFairRate(this->distributable().milliRate, wantedRates);
}

Capacity CapacityPool::targetCapacity(const Holder& holder) const
{
    const Capacity total = this->distributable();
    if (this->shareCapacity.empty() || !total.milliRate)
        return {};
    // The wanted rate but at least the fair rate, or a part in proportion to the wanted rates if they exceed the total.
    // The fair rate gives VMs with similar demand equal parts despite measurement noise.
    const uint64_t rate = this->wanted.milliRate > total.milliRate
        ? scale(total.milliRate, holder.wanted.milliRate, this->wanted.milliRate)
        : std::max(holder.wanted.milliRate, this->fairMilliRate);
    const Capacity targetPart { rate, scale(total.milliBurst, rate, total.milliRate) };
    if (targetPart.milliBurst >= milliTokensPerRequest)
        return targetPart;
    // A bucket with a burst below one request admits nothing, and the rate is useless without burst.
    return holder.wanted.empty() ? Capacity {} : Capacity { targetPart.milliRate, milliTokensPerRequest };
}

Capacity CapacityPool::chooseCapacity(const Holder& holder, Instant now) const
{
    const auto limitChange = [](uint64_t held, uint64_t target, bool needed, uint64_t free) {
        // Skips raises of up to 1% that the VM does not need, and reductions of up to 2%.
        if (target > held)
            return needed || target - held > held / 100 ? std::min(target, held + free) : held;
        return held - target > held / 50 ? target : held;
    };
    const Capacity held = holder.outstanding;
    const Capacity free = this->free();
    Capacity target = this->targetCapacity(holder);
    const bool isShort = holder.wanted.milliBurst > held.milliBurst;
    if (isShort) {
        // Burst beyond the target is granted only to transfer tokens.
        const uint64_t missing = holder.wanted.milliBurst - held.milliBurst;
        target.milliBurst
            = std::max(target.milliBurst, held.milliBurst + std::min(missing, this->tokens.milliTokens(now)));
    } else if (holder.returnedTokens) {
        // The VM has just returned tokens, which are meant for other VMs.
        target.milliBurst = std::min(target.milliBurst, held.milliBurst);
    }
    Capacity chosen { limitChange(
                          held.milliRate, target.milliRate, holder.wanted.milliRate > held.milliRate, free.milliRate),
        limitChange(held.milliBurst, target.milliBurst, isShort, free.milliBurst) };
    return chosen.milliBurst < milliTokensPerRequest ? Capacity {} : chosen;
}

void CapacityPool::setOutstanding(Holder& holder, Capacity capacity)
{
    this->granted = add(subtract(this->granted, holder.outstanding), capacity);
    if (!holder.active)
        this->grantedInactive = add(subtract(this->grantedInactive, holder.outstanding), capacity);
    holder.outstanding = capacity;
}

void CapacityPool::setWanted(Holder& holder, Capacity capacity)
{
    if (!holder.active) {
        this->grantedInactive = subtract(this->grantedInactive, holder.outstanding);
        ++this->activeHolderCount;
        holder.active = true;
    }
    this->wanted = add(subtract(this->wanted, holder.wanted), capacity);
    holder.wanted = capacity;
}

void CapacityPool::updateTokens(Instant now) { this->tokens.setCapacity(this->free(), now); }

} // namespace Lavendervane
