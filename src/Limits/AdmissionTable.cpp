#include "Limits/AdmissionTable.h"

#include <algorithm>

namespace Lavendervane {

constexpr uint64_t milliTokensPerRequest = 1000;

void AdmissionTable::Bucket::dropIfExpired(Instant now)
{
    if (now >= this->validUntil)
        this->tokens.setCapacity({}, now);
}

AdmissionTable::Bucket* AdmissionTable::find(const OrganisationId& organisation) const
{
    const std::shared_lock lock(this->tableMutex);
    const auto found = this->buckets.find(organisation);
    return found == this->buckets.end() ? nullptr : found->second.get();
}

AdmissionTable::Bucket& AdmissionTable::findOrAdd(const OrganisationId& organisation)
{
    if (Bucket* bucket = this->find(organisation))
        return *bucket;
    const std::unique_lock lock(this->tableMutex);
    auto& bucket = this->buckets[organisation];
    if (!bucket)
        bucket = std::make_unique<Bucket>();
    return *bucket;
}

bool AdmissionTable::tryTakeToken(const OrganisationId& organisation, Instant now)
{
    Bucket& bucket = this->findOrAdd(organisation);
    const std::lock_guard lock(bucket.mutex);
    bucket.dropIfExpired(now);
    bucket.lastUse = std::max(bucket.lastUse, now);
    const bool taken = bucket.tokens.take(milliTokensPerRequest, now);
    ++(taken ? bucket.admitted : bucket.refused);
    return taken;
}

void AdmissionTable::returnToken(const OrganisationId& organisation)
{
    Bucket* bucket = this->find(organisation);
    if (!bucket)
        return;
    const std::lock_guard lock(bucket->mutex);
    bucket->tokens.add(milliTokensPerRequest, bucket->lastUse);
    if (bucket->admitted)
        --bucket->admitted;
}

Duration AdmissionTable::retryAfter(const OrganisationId& organisation, Instant now) const
{
    constexpr Duration shortest = std::chrono::milliseconds(1);
    constexpr Duration withoutGrant = std::chrono::seconds(1);
    const Bucket* bucket = this->find(organisation);
    if (!bucket)
        return withoutGrant;
    const std::lock_guard lock(bucket->mutex);
    if (now >= bucket->validUntil)
        return withoutGrant;
    const Duration wait = bucket->tokens.timeUntil(milliTokensPerRequest, now);
    return wait == Duration::max() ? withoutGrant : std::max(wait, shortest);
}

void AdmissionTable::apply(const ApplyGrant& grant, Instant now)
{
    Bucket& bucket = this->findOrAdd(grant.organisation);
    const std::lock_guard lock(bucket.mutex);
    bucket.dropIfExpired(now);
    bucket.tokens.setCapacity(grant.capacity, now);
    bucket.tokens.add(grant.addedMilliTokens, now);
    bucket.validUntil = grant.validUntil;
}

std::vector<LoweredGrant> AdmissionTable::lower(const LowerGrants& effect, Instant now)
{
    std::vector<LoweredGrant> lowered;
    for (const auto& grant : effect.grants) {
        Bucket& bucket = this->findOrAdd(grant.organisation);
        const std::lock_guard lock(bucket.mutex);
        bucket.dropIfExpired(now);
        uint64_t removed = bucket.tokens.setCapacity(grant.capacity, now);
        if (removed < grant.offeredMilliTokens) {
            const uint64_t more = std::min(grant.offeredMilliTokens - removed, bucket.tokens.milliTokens(now));
            bucket.tokens.take(more, now);
            removed += more;
        }
        lowered.push_back({ grant.organisation, removed });
    }
    return lowered;
}

Capacity AdmissionTable::capacity(const OrganisationId& organisation, Instant now) const
{
    const Bucket* bucket = this->find(organisation);
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
        bucket->dropIfExpired(now);
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
