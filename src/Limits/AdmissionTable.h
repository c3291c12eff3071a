#pragma once

#include "Limits/Admission.h"
#include "Limits/TokenBucket.h"

#include <memory>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// Token buckets of all organisations on one VM, shared by its traffic threads. A lookup holds a shared lock on the
/// table; only the first request of an organisation takes the exclusive lock, to insert the bucket.
class AdmissionTable final : public Admission {
public:
    bool tryTakeToken(const OrganisationId&, Instant now) override;
    void returnToken(const OrganisationId&) override;
    Duration retryAfter(const OrganisationId&, Instant now) const override;

    /// Executes an `ApplyGrant` effect: sets the capacity of the bucket, adds tokens and extends the validity.
    void apply(const ApplyGrant&, Instant now);

    /// Executes a `LowerGrants` effect. Returns the tokens removed from each bucket.
    std::vector<LoweredGrant> lower(const LowerGrants&, Instant now);

    /// Capacity of the bucket of the organisation; zero without a valid grant.
    Capacity capacity(const OrganisationId&, Instant now) const;

    /// Returns and resets the counts since the previous call, for organisations that had requests or have tokens.
    std::vector<MeasuredDemand> collectDemand(Instant now);

private:
    struct Bucket {
        mutable std::mutex mutex;
        TokenBucket tokens;
        Instant validUntil {};
        Instant lastUse {}; ///< latest time passed to `tryTakeToken`
        uint64_t admitted = 0; ///< since the last `collectDemand`
        uint64_t refused = 0; ///< since the last `collectDemand`

        /// Drops the capacity and all tokens once the grant has expired.
        void clearIfExpired(Instant now);
    };

    Bucket* findBucket(const OrganisationId&) const;
    Bucket& findOrAddBucket(const OrganisationId&);

    mutable std::shared_mutex tableMutex;
    std::unordered_map<OrganisationId, std::unique_ptr<Bucket>> buckets;
};

} // namespace Lavendervane
