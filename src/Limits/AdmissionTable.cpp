#include "Limits/AdmissionTable.h"

#include <algorithm>

namespace Lavendervane {

constexpr uint64_t milliTokensPerRequest = 1000;

void AdmissionTable::Bucket::clearIfExpired(Instant now)
{
    if (now >= this->validUntil)
        this->tokens.setCapacity({}, now);
}

AdmissionTable::Bucket* AdmissionTable::findBucket(const OrganisationId& organisation) const
{
    const std::shared_lock lock(this->tableMutex);
    const auto found = this->buckets.find(organisation);
    return found == this->buckets.end() ? nullptr : found->second.get();
}

AdmissionTable::Bucket& AdmissionTable::findOrAddBucket(const OrganisationId& organisation)
{
    if (Bucket* bucket = this->findBucket(organisation))
        return *bucket;
    const std::unique_lock lock(this->tableMutex);
    auto& bucket = this->buckets[organisation];
    if (!bucket)
        bucket = std::make_unique<Bucket>();
    return *bucket;
}

bool AdmissionTable::tryTakeToken(const OrganisationId& organisation, Instant now)
{
    Bucket& bucket = this->findOrAddBucket(organisation);
    const std::lock_guard lock(bucket.mutex);
    bucket.clearIfExpired(now);
    bucket.lastUse = std::max(bucket.lastUse, now);
    const bool taken = bucket.tokens.take(milliTokensPerRequest, now);
    ++(taken ? bucket.admitted : bucket.refused);
    return taken;
}

void AdmissionTable::returnToken(const OrganisationId& organisation)
{
    Bucket* bucket = this->findBucket(organisation);
    if (!bucket)
        return;
    const std::lock_guard lock(bucket->mutex);
    bucket->tokens.add(milliTokensPerRequest, bucket->lastUse);
    if (bucket->admitted)
        --bucket->admitted;
}

Duration AdmissionTable::retryAfter(const OrganisationId& organisation, Instant now) const
{
    constexpr Duration minWait = std::chrono::milliseconds(1);
    constexpr Duration waitWithoutGrant = std::chrono::seconds(1);
    const Bucket* bucket = this->findBucket(organisation);
    if (!bucket)
        return waitWithoutGrant;
    const std::lock_guard lock(bucket->mutex);
    if (now >= bucket->validUntil)
        return waitWithoutGrant;
    const Duration wait = bucket->tokens.timeUntil(milliTokensPerRequest, now);
    return wait == Duration::max() ? waitWithoutGrant : std::max(wait, minWait);
}

void AdmissionTable::apply(const ApplyGrant& grant, Instant now)
{
    Bucket& bucket = this->findOrAddBucket(grant.organisation);
    const std::lock_guard lock(bucket.mutex);
    bucket.clearIfExpired(now);
    bucket.tokens.setCapacity(grant.capacity, now);
    bucket.tokens.add(grant.addedMilliTokens, now);
    bucket.validUntil = grant.validUntil;
}

std::vector<LoweredGrant> AdmissionTable::lower(const LowerGrants& effect, Instant now)
{
    std::vector<LoweredGrant> lowered;
    for (const auto& grant : effect.grants) {
        Bucket& bucket = this->findOrAddBucket(grant.organisation);
        const std::lock_guard lock(bucket.mutex);
        bucket.clearIfExpired(now);
        uint64_t removed = bucket.tokens.setCapacity(grant.capacity, now);
        if (removed < grant.offeredMilliTokens) {
            const uint64_t additional = std::min(grant.offeredMilliTokens - removed, bucket.tokens.milliTokens(now));
            bucket.tokens.take(additional, now);
            removed += additional;
        }
        lowered.push_back({ grant.organisation, removed });
    }
    return lowered;
}

Capacity AdmissionTable::capacity(const OrganisationId& organisation, Instant now) const
{
    const Bucket* bucket = this->findBucket(organisation);
    if (!bucket)
        return {};
    const std::lock_guard lock(bucket->mutex);
    return now < bucket->validUntil ? bucket->tokens.capacity() : Capacity {};
}

std::vector<MeasuredDemand> AdmissionTable::collectDemand(Instant now)
{
    std::vector<MeasuredDemand> demands;
    const std::shared_lock lock(this->tableMutex);
    for (const auto& [organisation, bucket] : this->buckets) {
        const std::lock_guard bucketLock(bucket->mutex);
        bucket->clearIfExpired(now);
        const uint64_t tokens = bucket->tokens.milliTokens(now);
        if (bucket->admitted || bucket->refused || tokens)
            demands.push_back({ organisation, bucket->admitted, bucket->refused, tokens });
        bucket->admitted = 0;
        bucket->refused = 0;
    }
    std::sort(demands.begin(), demands.end(),
        [](const auto& left, const auto& right) { return left.organisation < right.organisation; });
    return demands;
}

} // namespace Lavendervane
