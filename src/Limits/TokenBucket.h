#pragma once

#include "Core/Instant.h"
#include "Limits/GrantMessages.h"

namespace Lavendervane {

/// Token bucket in 1/1000 requests. Tokens come only from the rate or from `add`; a change of the capacity never
/// creates any.
class TokenBucket {
public:
    /// Starts empty.
    TokenBucket() = default;
    TokenBucket(Capacity, Instant now);

    /// Takes the tokens and returns true, or takes none and returns false if there are fewer.
    bool take(uint64_t milliTokens, Instant now);

    /// Adds tokens. Tokens beyond the burst are discarded.
    void add(uint64_t milliTokens, Instant now);

    /// Changes the capacity. Removes the tokens that exceed the new burst and returns their number.
    uint64_t setCapacity(Capacity, Instant now);

    /// Time until the bucket has that many tokens; `Duration::max()` if it never will.
    Duration timeUntil(uint64_t milliTokens, Instant now) const;

    /// Number of tokens at the given time.
    uint64_t milliTokens(Instant now) const;
    const Capacity& capacity() const { return this->limit; }

    friend bool operator==(const TokenBucket&, const TokenBucket&) = default;

private:
    /// Adds the tokens accrued since the last call. Ignores a time before that.
    void accrue(Instant now);

    Capacity limit;
    uint64_t tokens = 0; ///< 1/1000 requests
    uint64_t fraction = 0; ///< fraction of the next 1/1000 request, in 1/1'000'000 of it; 0 while the bucket is full
    Instant updatedAt {}; ///< time up to which tokens have accrued
};

} // namespace Lavendervane
