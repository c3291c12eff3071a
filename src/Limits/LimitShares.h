#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Limits/GrantMessages.h"
#include "Limits/TokenBucket.h"

#include <cstdint>
#include <map>

namespace Lavendervane {

/// Whole of an organisation's limit, in the unit of shares.
static constexpr uint32_t fullShare = 1'000'000;

/// One request, in the unit of token buckets.
static constexpr uint64_t milliTokensPerRequest = 1000;

/// This VM's shares of the organisations' limits. A share is a token bucket with that part of the limit's rate and
/// burst. It starts empty, also after a restart or when it grows, so over all VMs together no window of any length
/// holds more than the limit, whatever is shared out, lent, lost or restarted. Used on one thread.
class LimitShares {
public:
    /// Limits of all VMs together; organisations that are missing are removed.
    void setLimits(const std::map<OrganisationId, Capacity>&, Instant now);

    /// Share of this VM in every limit, in parts of `fullShare`, valid until `expiry`.
    void setShare(uint32_t, Instant expiry, Instant now);

    /// Admits one request, or returns false.
    bool tryTakeToken(const OrganisationId&, Instant now);

    /// Counts a request that runs a second time. It is not refused, because the first run is a fact; the next requests
    /// pay for it.
    void chargeRepeat(const OrganisationId&, Instant now);

    /// Gives a token back that was taken for a request which then did not run.
    void returnToken(const OrganisationId& organisation) { this->addBorrowed(organisation, milliTokensPerRequest); }

    /// Takes up to `wanted` (1/1000 requests) out for another VM. What the callers here need soon is kept.
    uint64_t lend(const OrganisationId&, uint64_t wanted, Instant now);

    /// Adds what another VM has lent, in 1/1000 requests.
    void addBorrowed(const OrganisationId&, uint64_t milliTokens);

    /// Tokens worth borrowing at once, in 1/1000 requests: what the callers here use in a short time.
    uint64_t borrowAmount(const OrganisationId&, Instant now);

private:
    struct Entry {
        Capacity limit;
        TokenBucket bucket;
        uint64_t borrowed = 0; ///< 1/1000 requests
        uint64_t debt = 0; ///< 1/1000 requests, for repeats that ran without a token
        double demand = 0; ///< requests per second, moving mean
        Instant demandUpdatedAt {};
    };

    void applyCapacity(Entry&, Instant now) const;
    static void decayDemand(Entry&, Instant now);

    uint32_t share = 0;
    Instant expiry {};
    std::map<OrganisationId, Entry> entries;
};

} // namespace Lavendervane
