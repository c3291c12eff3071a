#pragma once

#include "Core/Instant.h"
#include "Limits/GrantMessages.h"

namespace Lavendervane {

/// Token bucket in thousandths of a request. Tokens arise only from the rate or from `add`, so that a change of
/// capacity never creates any.
class TokenBucket {
public:
    /// Starts empty.
    TokenBucket() = default;
    TokenBucket(Capacity, Instant now);

    /// Takes the tokens if all of them are there.
    bool take(uint64_t milliTokens, Instant now);

    /// Adds tokens; what exceeds the burst is lost.
    void add(uint64_t milliTokens, Instant now);

    /// Changes the capacity from now on. Returns the tokens that exceed the new burst, which are removed.
    uint64_t setCapacity(Capacity, Instant now);

    /// Time until so many tokens are there; `Duration::max()` if that never happens.
    Duration timeUntil(uint64_t milliTokens, Instant now) const;

    uint64_t milliTokens(Instant now) const;
    const Capacity& capacity() const { return this->limit; }

    friend bool operator==(const TokenBucket&, const TokenBucket&) = default;

private:
    void accrue(Instant now);

    Capacity limit;
    uint64_t tokens = 0; ///< 1/1000 requests
    uint64_t fraction = 0; ///< part of the next 1/1000, in 1/1'000'000; 0 while the bucket is full
    Instant updatedAt {};
};

} // namespace Lavendervane
