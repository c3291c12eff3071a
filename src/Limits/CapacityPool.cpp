#include "Limits/CapacityPool.h"

#include "Limits/LimitRows.h"

#include <algorithm>
#include <functional>

namespace Lavendervane {

constexpr uint64_t milliTokensPerRequest = 1000;

/// Parts of the capacity kept for VMs that run short between two requests of the others. What is kept is out of reach
/// while the platform is down, and after the loss of the allocator.
constexpr uint64_t rateReservePercent = 2;
constexpr uint64_t burstReservePercent = 25;

static Capacity plus(const Capacity& left, const Capacity& right)
{
    return { left.milliRate + right.milliRate, left.milliBurst + right.milliBurst };
}

/// Difference; 0 where `right` is the larger.
static Capacity minus(const Capacity& left, const Capacity& right)
{
    return { left.milliRate - std::min(left.milliRate, right.milliRate),
        left.milliBurst - std::min(left.milliBurst, right.milliBurst) };
}

static Capacity smaller(const Capacity& left, const Capacity& right)
{
    return { std::min(left.milliRate, right.milliRate), std::min(left.milliBurst, right.milliBurst) };
}

static Capacity larger(const Capacity& left, const Capacity& right)
{
    return { std::max(left.milliRate, right.milliRate), std::max(left.milliBurst, right.milliBurst) };
}

void CapacityPool::setShare(Capacity share, Instant now)
{
    this->whole = share;
    this->updateTokens(now);
}

void CapacityPool::lockUnaccounted(Instant now)
{
    this->unaccounted = minus(this->whole, this->granted);
    this->updateTokens(now);
}

void CapacityPool::account(const VmId& vm, Capacity held, Capacity wanted, Instant now)
{
    Holder& holder = this->holders.try_emplace(vm, Holder { {}, {}, {}, false, false, false }).first->second;
    this->setOutstanding(holder, held);
    this->unaccounted = minus(this->unaccounted, held);
    this->setWanted(holder, wanted);
    this->updateTokens(now);
}

void CapacityPool::unlockUnaccounted(Instant now)
{
    this->unaccounted = {};
    this->updateTokens(now);
}

void CapacityPool::report(const VmId& vm, const GrantDemand& demand, Instant now)
{
    Holder& holder = this->holders.try_emplace(vm, Holder { {}, {}, {}, false, false, false }).first->second;
    // A holder lowers itself before it reports, and raises itself only by an answer, so the report bounds its use.
    holder.beforeReport = holder.outstanding;
    this->setOutstanding(holder, smaller(holder.outstanding, demand.held));
    this->setWanted(holder, demand.wanted);
    holder.returnedTokens = demand.returnedMilliTokens > 0;
    this->updateTokens(now);
    this->tokens.add(demand.returnedMilliTokens, now);
}

void CapacityPool::freeze(const VmId& vm, Instant now)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end())
        return;
    this->setInactive(vm);
    this->frozen = plus(this->frozen, found->second.outstanding);
    this->setOutstanding(found->second, {});
    this->holders.erase(found);
    this->updateTokens(now);
}

void CapacityPool::beginThaw() { this->thawing = this->frozen; }

void CapacityPool::thaw(Instant now)
{
    this->frozen = minus(this->frozen, this->thawing);
    this->thawing = {};
    this->updateTokens(now);
}

void CapacityPool::setInactive(const VmId& vm)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end() || !found->second.active)
        return;
    Holder& holder = found->second;
    this->wanted = minus(this->wanted, holder.wanted);
    this->grantedInactive = plus(this->grantedInactive, holder.outstanding);
    --this->activeHolders;
    holder.wanted = {};
    holder.active = false;
}

GrantedCapacity CapacityPool::grant(const OrganisationId& organisation, const VmId& vm, Instant now)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end())
        return { organisation, {}, 0 };
    this->updateLevel(now);
    Holder& holder = found->second;
    const Capacity decided = this->decide(holder, now);
    const uint64_t freeBurst = this->free().milliBurst;
    const uint64_t addedBurst = decided.milliBurst - std::min(decided.milliBurst, holder.outstanding.milliBurst);
    // A VM that runs short gets all tokens that its new burst can hold, another its part of those in the pool.
    uint64_t handedOver = std::min(addedBurst, this->tokens.milliTokens(now));
    const bool isShort = holder.wanted.milliBurst > holder.outstanding.milliBurst;
    if (!isShort && freeBurst)
        handedOver = std::min(handedOver, scale(this->tokens.milliTokens(now), addedBurst, freeBurst));
    this->tokens.take(handedOver, now);
    // The VM may keep using what it has until it has applied the answer.
    this->setOutstanding(holder, larger(holder.outstanding, decided));
    const bool lacksRate = holder.wanted.milliRate > holder.outstanding.milliRate;
    holder.lacking = isShort && (lacksRate || handedOver < milliTokensPerRequest);
    this->updateTokens(now);
    return { organisation, decided, handedOver };
}

Capacity CapacityPool::restore(const VmId& vm, Instant now)
{
    const auto found = this->holders.find(vm);
    if (found == this->holders.end())
        return {};
    Holder& holder = found->second;
    const Capacity limit = plus(holder.outstanding, this->free());
    this->setOutstanding(holder, smaller(larger(holder.outstanding, holder.beforeReport), limit));
    this->updateTokens(now);
    return holder.outstanding;
}

bool CapacityPool::lacks(const VmId& vm) const
{
    const auto found = this->holders.find(vm);
    return found != this->holders.end() && found->second.lacking;
}

std::vector<VmId> CapacityPool::recallable() const
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
    return minus(this->whole, plus(this->granted, plus(this->unaccounted, this->frozen)));
}

uint64_t CapacityPool::neededMilliRate() const
{
    return this->wanted.milliRate + this->unaccounted.milliRate + this->frozen.milliRate
        + this->grantedInactive.milliRate;
}

Capacity CapacityPool::outstanding(const VmId& vm) const
{
    const auto found = this->holders.find(vm);
    return found == this->holders.end() ? Capacity {} : found->second.outstanding;
}

Capacity CapacityPool::available() const
{
    const Capacity locked = plus(plus(this->unaccounted, this->frozen), plus(this->grantedInactive, this->reserved));
    return minus(this->whole, locked);
}

Capacity CapacityPool::distributable() const
{
    const Capacity available = this->available();
    // Small buckets are full for much of the time and lose what then accrues, while the pool loses nothing. So more of
    // the rate stays in the pool where a holder's burst is small: 13% below 4 requests, 1% at 50.
    const uint64_t burst = available.milliBurst / std::max<uint64_t>(this->activeHolders, 1);
    const uint64_t percent = rateReservePercent
        + std::min<uint64_t>(13, 50 * milliTokensPerRequest / std::max(burst, milliTokensPerRequest));
    return minus(
        available, { scale(available.milliRate, percent, 100), scale(available.milliBurst, burstReservePercent, 100) });
}

/// Level with `sum of max(want, level) <= distributable`; 0 if the wants alone exceed it.
static uint64_t findLevel(uint64_t distributable, std::vector<uint64_t>& wants)
{
    std::sort(wants.begin(), wants.end(), std::greater<>());
    uint64_t rest = distributable;
    for (size_t index = 0; index < wants.size(); ++index) {
        const uint64_t even = rest / (wants.size() - index);
        if (wants[index] <= even)
            return even;
        rest -= std::min(rest, wants[index]);
    }
    return 0;
}

void CapacityPool::updateLevel(Instant now)
{
    // The cost is that of sorting the holders, and a level that is a little old changes a division only slightly.
    if (now < this->nextLevel)
        return;
    this->nextLevel = now + std::chrono::milliseconds(20);
    std::vector<uint64_t> wants;
    for (const auto& [vm, holder] : this->holders) {
        if (holder.active)
            wants.push_back(holder.wanted.milliRate);
    }
    this->milliRateLevel = findLevel(this->distributable().milliRate, wants);
}

Capacity CapacityPool::target(const Holder& holder) const
{
    const Capacity all = this->distributable();
    if (this->whole.empty() || !all.milliRate)
        return {};
    // What is wanted and at least the level, or in proportion to the wants if they exceed it all. The level gives VMs
    // with about the same demand equal parts, in spite of the noise of the measurements.
    const uint64_t rate = this->wanted.milliRate > all.milliRate
        ? scale(all.milliRate, holder.wanted.milliRate, this->wanted.milliRate)
        : std::max(holder.wanted.milliRate, this->milliRateLevel);
    const Capacity part { rate, scale(all.milliBurst, rate, all.milliRate) };
    if (part.milliBurst >= milliTokensPerRequest)
        return part;
    // Less than one request of burst admits nothing, and the rate is of no use without burst.
    return holder.wanted.empty() ? Capacity {} : Capacity { part.milliRate, milliTokensPerRequest };
}

Capacity CapacityPool::decide(const Holder& holder, Instant now) const
{
    const auto choose = [](uint64_t held, uint64_t goal, bool needed, uint64_t free) {
        // Small changes are not worth a change of the bucket unless the VM needs them.
        if (goal > held)
            return needed || goal - held > held / 100 ? std::min(goal, held + free) : held;
        return held - goal > held / 50 ? goal : held;
    };
    const Capacity held = holder.outstanding;
    const Capacity free = this->free();
    Capacity goal = this->target(holder);
    const bool isShort = holder.wanted.milliBurst > held.milliBurst;
    if (isShort) {
        // Burst beyond the target is given only to carry tokens.
        const uint64_t missing = holder.wanted.milliBurst - held.milliBurst;
        goal.milliBurst = std::max(goal.milliBurst, held.milliBurst + std::min(missing, this->tokens.milliTokens(now)));
    } else if (holder.returnedTokens) {
        // Tokens that were just recalled are for others.
        goal.milliBurst = std::min(goal.milliBurst, held.milliBurst);
    }
    Capacity decided { choose(held.milliRate, goal.milliRate, holder.wanted.milliRate > held.milliRate, free.milliRate),
        choose(held.milliBurst, goal.milliBurst, isShort, free.milliBurst) };
    return decided.milliBurst < milliTokensPerRequest ? Capacity {} : decided;
}

void CapacityPool::setOutstanding(Holder& holder, Capacity capacity)
{
    this->granted = plus(minus(this->granted, holder.outstanding), capacity);
    if (!holder.active)
        this->grantedInactive = plus(minus(this->grantedInactive, holder.outstanding), capacity);
    holder.outstanding = capacity;
}

void CapacityPool::setWanted(Holder& holder, Capacity capacity)
{
    if (!holder.active) {
        this->grantedInactive = minus(this->grantedInactive, holder.outstanding);
        ++this->activeHolders;
        holder.active = true;
    }
    this->wanted = plus(minus(this->wanted, holder.wanted), capacity);
    holder.wanted = capacity;
}

void CapacityPool::updateTokens(Instant now) { this->tokens.setCapacity(this->free(), now); }

} // namespace Lavendervane
