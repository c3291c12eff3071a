#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Limits/GrantMessages.h"
#include "Limits/TokenBucket.h"

#include <cstdint>
#include <map>

namespace Lavendervane {

/// Share that stands for the whole limit of an organisation. Shares are integers in parts of this value.
static constexpr uint32_t fullShare = 1'000'000;

/// Tokens that one request costs, in 1/1000.
static constexpr uint64_t milliTokensPerRequest = 1000;

/// This VM's shares of the organisations' limits. Each share is a token bucket with the corresponding part of the rate
/// and burst of the limit. A bucket starts empty, and so does the part by which it grows. All VMs together therefore
/// never admit more than the limit in any time window, regardless of transfers, loans, lost messages and restarts. Not
/// thread-safe.
class LimitShares {
public:
    /// Sets the limits, which apply to all VMs together. Removes organisations that are not in the map.
    void setLimits(const std::map<OrganisationId, Capacity>&, Instant now);

    /// Sets the share that this VM has of every limit, in parts of `fullShare`, valid until `expiry`.
    void setShare(uint32_t, Instant expiry, Instant now);

    /// Takes one token, borrowed tokens first. Returns false if there is none or the share has expired.
    bool tryTakeToken(const OrganisationId&, Instant now);

    /// Charges a token for a request that runs a second time. The repeat is never refused, because the request was
    /// already admitted. Without a token it becomes a debt, which later tokens pay off.
    void chargeRepeat(const OrganisationId&, Instant now);

    /// True if this VM has a share of the limits, valid or expired.
    bool hasShare() const { return this->share > 0; }

    /// Puts tokens (1/1000 requests) of requests that were admitted but did not run into the bucket. What it has no
    /// room for is discarded, because the bucket has filled meanwhile.
    void returnTokens(const OrganisationId&, uint64_t milliTokens, Instant now);

    /// Takes up to `wanted` (1/1000 requests) from the bucket as a loan to another VM and returns the amount. Keeps the
    /// tokens that the callers of this VM are expected to need soon.
    uint64_t lend(const OrganisationId&, uint64_t wanted, Instant now);

    /// Takes up to `wanted` (1/1000 requests) from the borrowed tokens and the bucket, without regard to the callers of
    /// this VM, and returns the amount; 0 if there is less than one whole token.
    uint64_t lendAny(const OrganisationId&, uint64_t wanted, Instant now);

    /// Tokens lent by other VMs that have not been used, in 1/1000 requests.
    uint64_t borrowed(const OrganisationId&) const;

    /// Tokens that `lendAny` could lend, in 1/1000 requests.
    uint64_t available(const OrganisationId&, Instant now) const;

    /// Time in which the limit yields one token for all VMs together; `Duration::max()` if it yields none.
    Duration tokenInterval(const OrganisationId&) const;

    /// Adds tokens lent by another VM, in 1/1000 requests.
    void addBorrowed(const OrganisationId&, uint64_t milliTokens);

    /// Tokens to borrow in one loan, in 1/1000 requests: the expected demand of a short time.
    uint64_t borrowAmount(const OrganisationId&, Instant now);

private:
    struct Entry {
        Capacity limit; ///< of all VMs together
        TokenBucket bucket;
        uint64_t borrowed = 0; ///< 1/1000 requests
        uint64_t debt = 0; ///< 1/1000 requests, charged for repeats that ran without a token
        double demand = 0; ///< requests per second, exponential moving average
        Instant demandUpdatedAt {};
    };

    void applyCapacity(Entry&, Instant now) const;
    static void decayDemand(Entry&, Instant now);

    uint32_t share = 0;
    Instant expiry {};
    std::map<OrganisationId, Entry> entries;
};

} // namespace Lavendervane
