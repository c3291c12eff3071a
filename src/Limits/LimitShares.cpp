#include "Limits/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace Lavendervane {

// Time constant of the moving average of the demand. Traffic arrives in waves of about ten seconds.
static constexpr double demandTimeConstantSeconds = 4;
// Demand that one loan covers, as a time. A loan takes about 3 ms to arrive.
static constexpr double borrowWindowSeconds = 0.25;
// Demand of its own callers for which a lender keeps tokens, as a time. The lender can also borrow from other VMs.
static constexpr double reserveWindowSeconds = 0.5;
static constexpr uint64_t maxBorrowAmount = 20 * milliTokensPerRequest;

void LimitShares::setLimits(const std::map<OrganisationId, Capacity>& limits, Instant now)
{
    std::erase_if(this->entries, [&limits](const auto& entry) { return limits.find(entry.first) == limits.end(); });
    for (const auto& [organisation, limit] : limits) {
        auto [entry, added] = this->entries.try_emplace(organisation);
        if (added)
            entry->second.bucket = TokenBucket({}, now);
        entry->second.limit = limit;
        this->applyCapacity(entry->second, now);
    }
}

void LimitShares::setShare(uint32_t parts, Instant until, Instant now)
{
    this->share = parts;
    this->expiry = until;
    for (auto& [organisation, entry] : this->entries)
        this->applyCapacity(entry, now);
}

void LimitShares::applyCapacity(Entry& entry, Instant now) const
{
    const auto scaleToShare = [this](uint64_t limit) { return limit * this->share / fullShare; };
    entry.bucket.setCapacity({ scaleToShare(entry.limit.milliRate), scaleToShare(entry.limit.milliBurst) }, now);
    entry.borrowed = std::min(entry.borrowed, entry.limit.milliBurst);
}

void LimitShares::decayDemand(Entry& entry, Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - entry.demandUpdatedAt).count();
    if (elapsed <= 0)
        return;
    entry.demand *= std::exp(-elapsed / demandTimeConstantSeconds);
    entry.demandUpdatedAt = now;
}

bool LimitShares::tryTakeToken(const OrganisationId& organisation, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || now >= this->expiry)
        return false;
    Entry& entry = found->second;
    if (entry.debt >= milliTokensPerRequest && entry.bucket.take(milliTokensPerRequest, now))
        entry.debt -= milliTokensPerRequest;
    const uint64_t borrowedUsed = std::min(entry.borrowed, milliTokensPerRequest);
    if (borrowedUsed < milliTokensPerRequest && !entry.bucket.take(milliTokensPerRequest - borrowedUsed, now))
        return false;
    entry.borrowed -= borrowedUsed;
    decayDemand(entry, now);
    entry.demand += 1 / demandTimeConstantSeconds;
    return true;
}

void LimitShares::chargeRepeat(const OrganisationId& organisation, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found != this->entries.end() && !found->second.bucket.take(milliTokensPerRequest, now))
        found->second.debt += milliTokensPerRequest;
}

void LimitShares::returnTokens(const OrganisationId& organisation, uint64_t milliTokens, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found != this->entries.end())
        found->second.bucket.add(milliTokens, now);
}

uint64_t LimitShares::lend(const OrganisationId& organisation, uint64_t wanted, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || now >= this->expiry)
        return 0;
    Entry& entry = found->second;
    decayDemand(entry, now);
    const auto reserve
        = static_cast<uint64_t>(entry.demand * reserveWindowSeconds * static_cast<double>(milliTokensPerRequest));
    const uint64_t tokens = entry.bucket.milliTokens(now);
    const uint64_t lent = std::min(wanted, tokens - std::min(tokens, reserve));
    if (!lent || !entry.bucket.take(lent, now))
        return 0;
    return lent;
}

uint64_t LimitShares::lendAny(const OrganisationId& organisation, uint64_t wanted, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || now >= this->expiry)
        return 0;
    Entry& entry = found->second;
    const uint64_t lent = std::min(wanted, entry.borrowed + entry.bucket.milliTokens(now));
    const uint64_t fromBorrowed = std::min(lent, entry.borrowed);
    if (lent < milliTokensPerRequest || !entry.bucket.take(lent - fromBorrowed, now))
        return 0;
    entry.borrowed -= fromBorrowed;
    return lent;
}

uint64_t LimitShares::borrowed(const OrganisationId& organisation) const
{
    const auto found = this->entries.find(organisation);
    return found == this->entries.end() ? 0 : found->second.borrowed;
}

uint64_t LimitShares::available(const OrganisationId& organisation, Instant now) const
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || now >= this->expiry)
        return 0;
    return found->second.borrowed + found->second.bucket.milliTokens(now);
}

Duration LimitShares::tokenInterval(const OrganisationId& organisation) const
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || !found->second.limit.milliRate)
        return Duration::max();
    return Duration(std::chrono::seconds(milliTokensPerRequest)) / found->second.limit.milliRate;
}

void LimitShares::addBorrowed(const OrganisationId& organisation, uint64_t milliTokens)
{
    const auto found = this->entries.find(organisation);
    if (found != this->entries.end())
        found->second.borrowed = std::min(found->second.borrowed + milliTokens, found->second.limit.milliBurst);
}

uint64_t LimitShares::borrowAmount(const OrganisationId& organisation, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end())
        return 0;
    decayDemand(found->second, now);
    const auto tokens = static_cast<uint64_t>(
        found->second.demand * borrowWindowSeconds * static_cast<double>(milliTokensPerRequest));
    return std::clamp(tokens, milliTokensPerRequest, maxBorrowAmount);
}

} // namespace Lavendervane
