#include "Limits/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace Lavendervane {

// Time constant of the moving mean of demand, in seconds. Callers come and go in waves of about ten seconds.
static constexpr double demandSeconds = 4;
// Time for which a VM borrows at once, in seconds. A lender's answer takes about 3 ms.
static constexpr double borrowSeconds = 0.25;
// Time for which a lender keeps tokens for its own callers, in seconds. It can borrow in turn.
static constexpr double reserveSeconds = 0.5;
static constexpr uint64_t mostBorrowed = 20 * milliTokensPerRequest;

void LimitShares::setLimits(const std::map<OrganisationId, Capacity>& limits, Instant now)
{
    std::erase_if(this->entries, [&limits](const auto& entry) { return limits.find(entry.first) == limits.end(); });
    for (const auto& [organisation, whole] : limits) {
        auto [entry, added] = this->entries.try_emplace(organisation);
        if (added)
            entry->second.bucket = TokenBucket({}, now);
        entry->second.whole = whole;
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
    const auto part = [this](uint64_t whole) { return whole * this->share / fullShare; };
    entry.bucket.setCapacity({ part(entry.whole.milliRate), part(entry.whole.milliBurst) }, now);
    entry.borrowed = std::min(entry.borrowed, entry.whole.milliBurst);
}

void LimitShares::decay(Entry& entry, Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - entry.measured).count();
    if (elapsed <= 0)
        return;
    entry.demand *= std::exp(-elapsed / demandSeconds);
    entry.measured = now;
}

bool LimitShares::tryTakeToken(const OrganisationId& organisation, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || now >= this->expiry)
        return false;
    Entry& entry = found->second;
    if (entry.owed >= milliTokensPerRequest && entry.bucket.take(milliTokensPerRequest, now))
        entry.owed -= milliTokensPerRequest;
    const uint64_t fromBorrowed = std::min(entry.borrowed, milliTokensPerRequest);
    if (fromBorrowed < milliTokensPerRequest && !entry.bucket.take(milliTokensPerRequest - fromBorrowed, now))
        return false;
    entry.borrowed -= fromBorrowed;
    decay(entry, now);
    entry.demand += 1 / demandSeconds;
    return true;
}

void LimitShares::chargeRepeat(const OrganisationId& organisation, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found != this->entries.end() && !found->second.bucket.take(milliTokensPerRequest, now))
        found->second.owed += milliTokensPerRequest;
}

uint64_t LimitShares::lend(const OrganisationId& organisation, uint64_t wanted, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end() || now >= this->expiry)
        return 0;
    Entry& entry = found->second;
    decay(entry, now);
    const auto reserve
        = static_cast<uint64_t>(entry.demand * reserveSeconds * static_cast<double>(milliTokensPerRequest));
    const uint64_t tokens = entry.bucket.milliTokens(now);
    const uint64_t lent = std::min(wanted, tokens - std::min(tokens, reserve));
    if (!lent || !entry.bucket.take(lent, now))
        return 0;
    return lent;
}

void LimitShares::addBorrowed(const OrganisationId& organisation, uint64_t milliTokens)
{
    const auto found = this->entries.find(organisation);
    if (found != this->entries.end())
        found->second.borrowed = std::min(found->second.borrowed + milliTokens, found->second.whole.milliBurst);
}

uint64_t LimitShares::borrowAmount(const OrganisationId& organisation, Instant now)
{
    const auto found = this->entries.find(organisation);
    if (found == this->entries.end())
        return 0;
    decay(found->second, now);
    const auto tokens
        = static_cast<uint64_t>(found->second.demand * borrowSeconds * static_cast<double>(milliTokensPerRequest));
    return std::clamp(tokens, milliTokensPerRequest, mostBorrowed);
}

} // namespace Lavendervane
