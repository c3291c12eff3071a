#pragma once

#include "Limits/Admission.h"
#include "Limits/TokenBucket.h"

#include <memory>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// The buckets of one VM, shared by its traffic threads. A lookup takes the lock of the table shared; it is taken
/// exclusively only when an organisation appears for the first time.
class AdmissionTable final : public Admission {
public:
    bool tryTakeToken(const OrganisationId&, Instant now) override;
    void returnToken(const OrganisationId&) override;
    Duration retryAfter(const OrganisationId&, Instant now) const override;

    /// Carries out an `ApplyGrant`.
    void apply(const ApplyGrant&, Instant now);

    /// Carries out a `LowerGrants`.
    std::vector<LoweredGrant> lower(const LowerGrants&, Instant now);

    /// What the bucket may use now; nothing without a valid grant.
    Capacity capacity(const OrganisationId&, Instant now) const;

    /// Returns the counts since the previous call, of organisations that were used or have tokens.
    std::vector<MeasuredDemand> collectDemand(Instant now);

private:
    struct Bucket {
        mutable std::mutex mutex;
        TokenBucket tokens;
        Instant validUntil {};
        Instant lastUse {};
        uint64_t admitted = 0;
        uint64_t refused = 0;

        void clearIfExpired(Instant now);
    };

    Bucket* findBucket(const OrganisationId&) const;
    Bucket& findOrAddBucket(const OrganisationId&);

    mutable std::shared_mutex tableMutex;
    std::unordered_map<OrganisationId, std::unique_ptr<Bucket>> buckets;
};

} // namespace Lavendervane
