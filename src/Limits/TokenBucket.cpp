#include "Limits/TokenBucket.h"

#include <algorithm>

namespace Lavendervane {

constexpr uint64_t microsecondsPerSecond = 1'000'000;

TokenBucket::TokenBucket(Capacity capacity, Instant now)
    : limit(capacity)
    , updatedAt(now)
{
}

bool TokenBucket::take(uint64_t milliTokens, Instant now)
{
    this->accrue(now);
    if (this->tokens < milliTokens)
        return false;
    this->tokens -= milliTokens;
    return true;
}

void TokenBucket::add(uint64_t milliTokens, Instant now)
{
    this->accrue(now);
    const uint64_t room = this->limit.milliBurst - this->tokens;
    this->tokens += std::min(room, milliTokens);
    if (this->tokens == this->limit.milliBurst)
        this->fraction = 0;
}

uint64_t TokenBucket::setCapacity(Capacity capacity, Instant now)
{
    this->accrue(now);
    this->limit = capacity;
    if (this->tokens < capacity.milliBurst)
        return 0;
    const uint64_t excess = this->tokens - capacity.milliBurst;
    this->tokens = capacity.milliBurst;
    this->fraction = 0;
    return excess;
}

Duration TokenBucket::timeUntil(uint64_t milliTokens, Instant now) const
{
    TokenBucket advanced = *this;
    advanced.accrue(now);
    if (advanced.tokens >= milliTokens)
        return Duration::zero();
    if (milliTokens > this->limit.milliBurst || !this->limit.milliRate)
        return Duration::max();
    const uint64_t missing = milliTokens - advanced.tokens;
    // Longer waits would overflow Duration at the lowest rates.
    constexpr uint64_t maxWaitSeconds = 1'000'000;
    const uint64_t seconds = std::min(missing / this->limit.milliRate, maxWaitSeconds);
    const uint64_t remainderMicroseconds
        = missing % this->limit.milliRate * microsecondsPerSecond / this->limit.milliRate;
    return std::chrono::seconds(seconds) + std::chrono::microseconds(remainderMicroseconds + 1);
}

uint64_t TokenBucket::milliTokens(Instant now) const
{
    TokenBucket advanced = *this;
    advanced.accrue(now);
    return advanced.tokens;
}

void TokenBucket::accrue(Instant now)
{
    if (now <= this->updatedAt)
        return;
    const auto elapsed
        = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now - this->updatedAt).count());
    this->updatedAt += std::chrono::microseconds(elapsed);
    if (!this->limit.milliRate)
        return;

    const uint64_t seconds = elapsed / microsecondsPerSecond;
    const uint64_t missing = this->limit.milliBurst - this->tokens;
    // Full bucket. The early return also keeps the products below within 64 bits for every 32-bit rate.
    if (seconds > missing / this->limit.milliRate) {
        this->tokens = this->limit.milliBurst;
        this->fraction = 0;
        return;
    }
    const uint64_t parts = this->limit.milliRate * (elapsed % microsecondsPerSecond) + this->fraction;
    const uint64_t accrued = this->limit.milliRate * seconds + parts / microsecondsPerSecond;
    this->fraction = parts % microsecondsPerSecond;
    if (accrued >= missing) {
        this->tokens = this->limit.milliBurst;
        this->fraction = 0;
    } else {
        this->tokens += accrued;
    }
}

} // namespace Lavendervane
