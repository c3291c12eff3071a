#include "Limits/GrantHolder.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

using namespace std::chrono_literals;

/// One request, which is also the smallest useful burst: a bucket with less never admits a request.
constexpr uint64_t milliTokensPerRequest = 1000;

GrantHolder::GrantHolder(HolderSettings settings, VmId self, DataCentre dataCentre, uint64_t incarnation)
    : settings(settings)
    , self(std::move(self))
    , dataCentre(std::move(dataCentre))
    , incarnation(incarnation)
    // Starting at the incarnation keeps the sequences of successive processes distinct, so that this process does not
    // accept a response to the previous process.
    , sequence(incarnation)
{
}

std::vector<HolderEffect> GrantHolder::handle(const HolderEvent& event)
{
    const Instant now = std::visit([](const auto& known) { return known.now; }, event);
    this->dropExpiredGrants(now);
    std::visit([this](const auto& known) { this->on(known); }, event);
    this->sendIfDue(now);
    return std::exchange(this->effects, {});
}

std::optional<Instant> GrantHolder::wakeAt() const
{
    if (this->allocator.empty() || !this->pendingLowerings.empty())
        return std::nullopt;
    return this->nextRequestAt();
}

Capacity GrantHolder::held(const OrganisationId& organisation) const
{
    const auto found = this->holdings.find(organisation);
    return found == this->holdings.end() ? Capacity {} : found->second.held;
}

void GrantHolder::on(const HolderTick&) { }

void GrantHolder::on(const DemandMeasured& event)
{
    using std::chrono::milliseconds;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(event.now - this->lastMeasured);
    // Bounds the divisor when a measurement is late, and for the first measurement, which has no predecessor.
    const auto window = static_cast<uint64_t>(std::clamp<milliseconds>(elapsed, 50ms, 1s).count());
    this->lastMeasured = event.now;
    std::map<OrganisationId, MeasuredDemand> measured;
    for (const auto& demand : event.demands) {
        measured[demand.organisation] = demand;
        this->holdings.try_emplace(demand.organisation);
    }
    for (auto& [organisation, holding] : this->holdings) {
        // Every request is admitted or reports a shortage; a request that waits and is then admitted counts in both, so
        // the larger count is used.
        const MeasuredDemand& demand = measured[organisation];
        const uint64_t requests = std::max(demand.admitted, std::exchange(holding.shortages, 0));
        holding.milliTokens = demand.milliTokens;
        this->updateDemand(holding, requests * milliTokensPerRequest * 1000 / window);
        // A small bucket that is full discards the tokens that accrue, while another VM may need them.
        const bool isSmallBucket = holding.held.milliBurst <= 10 * milliTokensPerRequest;
        if (isSmallBucket && this->allocatorMovesCapacity && holding.milliTokens * 8 > holding.held.milliBurst * 7)
            this->offerUnusedTokens(organisation, event.now);
    }
}

static uint64_t movingMean(uint64_t mean, uint64_t measured, uint64_t smoothing)
{
    // Rounds the old part and the new part down, so that the average reaches 0 without demand.
    return mean - (mean + smoothing - 1) / smoothing + measured / smoothing;
}

/// True if the fast average differs from the slow one by more than the noise of random arrivals: 3 standard deviations
/// plus 2 requests over the 0.4 s window of the fast average.
static bool differsBeyondNoise(uint64_t fast, uint64_t slow)
{
    const uint64_t difference = (std::max(fast, slow) - std::min(fast, slow)) * 2 / 5;
    if (difference <= 2 * milliTokensPerRequest)
        return false;
    const double excess = static_cast<double>(difference - 2 * milliTokensPerRequest);
    return excess * excess > 9 * static_cast<double>(milliTokensPerRequest) * static_cast<double>(slow) * 2 / 5;
}

void GrantHolder::updateDemand(Holding& holding, uint64_t milliDemand) const
{
    holding.fastMilliDemand = movingMean(holding.fastMilliDemand, milliDemand, this->settings.fastSmoothing);
    holding.milliDemand = movingMean(holding.milliDemand, milliDemand, this->settings.slowSmoothing);
    if (differsBeyondNoise(holding.fastMilliDemand, holding.milliDemand))
        holding.milliDemand = holding.fastMilliDemand;
}

void GrantHolder::on(const ShortageObserved& event)
{
    Holding& holding = this->holdings[event.organisation];
    ++holding.shortages;
    holding.shortageUntil = event.now + this->settings.shortageBoostDuration;
    this->urgentRequestDue = true;
}

void GrantHolder::on(const ClaimReceived& event)
{
    const AllocatorClaim& claim = event.claim;
    const bool known = claim.epoch == this->acceptedEpoch && claim.allocator == this->allocator;
    if (claim.dataCentre != this->dataCentre || (claim.epoch <= this->acceptedEpoch && !known)) {
        this->effects.emplace_back(AnswerClaim { false, this->makeReport(event.now) });
        return;
    }
    if (!known) {
        this->acceptedEpoch = claim.epoch;
        this->allocator = claim.allocator;
        this->pendingRequest.reset();
    }
    this->urgentRequestDue = true;
    if (!claim.recalled.empty())
        this->offerUnusedTokens(claim.recalled, event.now);
    this->effects.emplace_back(AnswerClaim { true, this->makeReport(event.now) });
}

void GrantHolder::offerUnusedTokens(const OrganisationId& organisation, Instant now)
{
    const auto found = this->holdings.find(organisation);
    if (found == this->holdings.end())
        return;
    Holding& holding = found->second;
    // A response in flight is based on the capacity held now, so nothing is lowered before it has arrived.
    if (now < holding.shortageUntil || this->pendingRequest || !this->pendingLowerings.empty())
        return;
    const uint64_t offered = std::min(holding.milliTokens, holding.held.milliBurst) / 2;
    if (offered < milliTokensPerRequest / 2)
        return;
    // Deducted so that the same tokens are not offered again before the next measurement.
    holding.milliTokens -= offered;
    const Capacity kept { holding.held.milliRate, holding.held.milliBurst - offered };
    this->pendingLowerings.push_back({ organisation, kept, offered });
    this->effects.emplace_back(LowerGrants { this->pendingLowerings });
}

void GrantHolder::on(const GrantAnswered& event)
{
    const GrantResponse& response = event.response;
    if (!this->pendingRequest || response.sequence != this->pendingRequest->sequence
        || response.epoch != this->acceptedEpoch)
        return;
    // The validity counts from the send time. The allocator counts from when it handles the request, which is later, so
    // the grant expires here first.
    const Instant newValidUntil = this->pendingRequest->sentAt + response.validity;
    this->pendingRequest.reset();
    if (newValidUntil <= event.now)
        return;
    this->validUntil = newValidUntil;
    this->allocatorMovesCapacity = response.moves;
    bool raised = false;
    bool shortageContinues = false;
    for (const auto& grant : response.grants) {
        Holding& holding = this->holdings[grant.organisation];
        const Capacity before = holding.held;
        holding.held = { std::max(before.milliRate, grant.capacity.milliRate),
            std::max(before.milliBurst, grant.capacity.milliBurst) };
        raised = raised || holding.held != before || grant.addedMilliTokens;
        if (grant.addedMilliTokens >= milliTokensPerRequest)
            holding.shortageUntil = event.now; // The next request that finds no token reports a new shortage.
        shortageContinues = shortageContinues || event.now < holding.shortageUntil;
        if (!holding.held.empty())
            this->effects.emplace_back(
                ApplyGrant { grant.organisation, holding.held, grant.addedMilliTokens, this->validUntil });
        if (holding.held != grant.capacity)
            this->pendingLowerings.push_back({ grant.organisation, grant.capacity, 0 });
    }
    if (!this->pendingLowerings.empty())
        this->effects.emplace_back(LowerGrants { this->pendingLowerings });
    this->answersWithoutRaise = raised ? 0 : this->answersWithoutRaise + 1;
    this->urgentRequestDue = this->urgentRequestDue || shortageContinues;
}

void GrantHolder::on(const GrantFailed& event)
{
    if (this->pendingRequest && this->pendingRequest->sequence == event.sequence)
        this->pendingRequest.reset();
}

void GrantHolder::on(const GrantsLowered& event)
{
    for (const auto& grant : this->pendingLowerings) {
        Holding& holding = this->holdings[grant.organisation];
        // The grant may have expired since the `LowerGrants` effect was returned.
        const Capacity kept { std::min(holding.held.milliRate, grant.capacity.milliRate),
            std::min(holding.held.milliBurst, grant.capacity.milliBurst) };
        holding.unreportedReduction.milliRate += holding.held.milliRate - kept.milliRate;
        holding.unreportedReduction.milliBurst += holding.held.milliBurst - kept.milliBurst;
        holding.held = kept;
    }
    this->pendingLowerings.clear();
    for (const auto& grant : event.grants) {
        Holding& holding = this->holdings[grant.organisation];
        // Tokens are returned only together with the burst that held them.
        holding.returnedMilliTokens
            = std::min(holding.unreportedReduction.milliBurst, holding.returnedMilliTokens + grant.removedMilliTokens);
    }
    this->urgentRequestDue = true;
}

void GrantHolder::on(const HolderStopping&)
{
    this->stopping = true;
    this->urgentRequestDue = true;
    this->pendingRequest.reset();
    this->pendingLowerings.clear();
    for (const auto& [organisation, holding] : this->holdings) {
        if (!holding.held.empty())
            this->pendingLowerings.push_back({ organisation, {}, 0 });
    }
    if (!this->pendingLowerings.empty())
        this->effects.emplace_back(LowerGrants { this->pendingLowerings });
}

void GrantHolder::dropExpiredGrants(Instant now)
{
    if (now < this->validUntil)
        return;
    for (auto& [organisation, holding] : this->holdings) {
        holding.held = {};
        holding.unreportedReduction = {};
        holding.returnedMilliTokens = 0;
    }
}

Instant GrantHolder::nextRequestAt() const
{
    if (!this->lastSent)
        return Instant::min();
    if (this->pendingRequest) {
        const Duration timeout
            = this->urgentRequestDue ? this->settings.urgentAnswerTimeout : this->settings.answerTimeout;
        return this->pendingRequest->sentAt + timeout;
    }
    if (!this->urgentRequestDue)
        return *this->lastSent + this->settings.requestInterval;
    // While the organisation exceeds its limit no response raises a grant, and a request every 20 ms would load the
    // allocator with 50 requests per second from each VM, so the interval doubles with each such response. The first
    // two do not count, because the allocator starts a recall and waits for it meanwhile.
    const uint32_t doublings = std::min(std::max(this->answersWithoutRaise, 2U) - 2U, 5U);
    return *this->lastSent + this->settings.shortageInterval * (1U << doublings);
}

void GrantHolder::sendIfDue(Instant now)
{
    // Tokens that are being removed must be returned with the request that reports the lower capacity.
    if (this->allocator.empty() || !this->pendingLowerings.empty() || now < this->nextRequestAt())
        return;
    if (!this->lowerEmptyBursts(now))
        this->sendRequest(now);
}

bool GrantHolder::lowerEmptyBursts(Instant now)
{
    // Tokens are granted only together with burst. A VM without tokens returns its empty burst with the request and
    // gets it back with tokens; otherwise all burst would accumulate, empty, in the VMs that ran short. Unless the last
    // response said that capacity moves, the burst might not come back, so it is kept.
    if (!this->allocatorMovesCapacity)
        return false;
    for (const auto& [organisation, holding] : this->holdings) {
        if (now < holding.shortageUntil && holding.held.milliBurst > milliTokensPerRequest)
            this->pendingLowerings.push_back({ organisation, { holding.held.milliRate, milliTokensPerRequest }, 0 });
    }
    if (this->pendingLowerings.empty())
        return false;
    this->pendingRequest.reset();
    this->effects.emplace_back(LowerGrants { this->pendingLowerings });
    return true;
}

void GrantHolder::sendRequest(Instant now)
{
    GrantRequest request { this->self, this->incarnation, this->acceptedEpoch, ++this->sequence, {} };
    for (auto next = this->holdings.begin(); next != this->holdings.end();) {
        const auto found = next++;
        Holding& holding = found->second;
        const Capacity wanted = this->wantedCapacity(holding, now);
        request.demands.push_back(
            { found->first, holding.held, wanted, std::exchange(holding.returnedMilliTokens, 0) });
        holding.unreportedReduction = {};
        if (holding.held.empty() && wanted.empty() && !holding.milliDemand)
            this->holdings.erase(found);
    }
    this->lastSent = now;
    this->allocatorMovesCapacity = false;
    this->pendingRequest = PendingRequest { this->sequence, now };
    this->urgentRequestDue = false;
    this->effects.emplace_back(SendGrantRequest { this->allocator, std::move(request) });
}

Capacity GrantHolder::wantedCapacity(const Holding& holding, Instant now) const
{
    if (this->stopping)
        return {};
    // Demand below one request per 5 s, in 1/1000 requests per second, is served on shortage only, so that idle VMs
    // hold nothing of a small limit.
    constexpr uint64_t idleDemand = 200;
    const bool isShort = now < holding.shortageUntil;
    Capacity wanted;
    if (holding.milliDemand >= idleDemand)
        wanted.milliRate = holding.milliDemand + holding.milliDemand / 20;
    if (isShort)
        wanted.milliRate = std::max(wanted.milliRate, milliTokensPerRequest);
    if (!wanted.milliRate)
        return wanted;
    wanted.milliBurst = milliTokensPerRequest;
    // Tokens are granted with burst, so a VM that runs short asks for a quarter second of its demand on top of what it
    // holds.
    if (isShort)
        wanted.milliBurst = holding.held.milliBurst + std::max(2 * milliTokensPerRequest, wanted.milliRate / 4);
    return wanted;
}

ClaimReport GrantHolder::makeReport(Instant now) const
{
    ClaimReport report { this->self, this->incarnation, this->acceptedEpoch, this->sequence, {} };
    for (const auto& [organisation, holding] : this->holdings) {
        // Capacity that was given up counts as held until the request that returns it has been sent.
        const Capacity held { holding.held.milliRate + holding.unreportedReduction.milliRate,
            holding.held.milliBurst + holding.unreportedReduction.milliBurst };
        report.held.push_back({ organisation, held, this->wantedCapacity(holding, now), 0 });
    }
    return report;
}

} // namespace Lavendervane
