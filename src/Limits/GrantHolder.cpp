#include "Limits/GrantHolder.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

using namespace std::chrono_literals;

/// Smallest useful burst: a bucket below one request never admits any.
constexpr uint64_t milliTokensPerRequest = 1000;

GrantHolder::GrantHolder(HolderSettings settings, VmId self, DataCentre dataCentre, uint64_t incarnation)
    : settings(settings)
    , self(std::move(self))
    , dataCentre(std::move(dataCentre))
    , incarnation(incarnation)
    // Starting at the incarnation keeps the sequences of successive processes apart, so that an answer to the
    // previous process is never taken for one of this process.
    , sequence(incarnation)
{
}

std::vector<HolderEffect> GrantHolder::handle(const HolderEvent& event)
{
    const Instant now = std::visit([](const auto& known) { return known.now; }, event);
    this->expire(now);
    std::visit([this](const auto& known) { this->on(known); }, event);
    this->sendIfDue(now);
    return std::exchange(this->effects, {});
}

std::optional<Instant> GrantHolder::wakeAt() const
{
    if (this->allocator.empty() || !this->lowering.empty())
        return std::nullopt;
    return this->dueAt();
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
    // A late measurement after a pause must not divide by the wrong time; the bounds also cover the first one.
    const auto window = static_cast<uint64_t>(std::clamp<milliseconds>(elapsed, 50ms, 1s).count());
    this->lastMeasured = event.now;
    std::map<OrganisationId, MeasuredDemand> measured;
    for (const auto& demand : event.demands) {
        measured[demand.organisation] = demand;
        this->holdings.try_emplace(demand.organisation);
    }
    for (auto& [organisation, holding] : this->holdings) {
        // Each request is admitted or reports a shortage; one that waits and is then admitted does both.
        const MeasuredDemand& demand = measured[organisation];
        const uint64_t requests = std::max(demand.admitted, std::exchange(holding.shortages, 0));
        holding.milliTokens = demand.milliTokens;
        this->measure(holding, requests * milliTokensPerRequest * 1000 / window);
        // A small bucket that is full loses what accrues, while another VM may be short of it.
        const bool small = holding.held.milliBurst <= 10 * milliTokensPerRequest;
        if (small && this->capacityMoves && holding.milliTokens * 8 > holding.held.milliBurst * 7)
            this->offer(organisation, event.now);
    }
}

static uint64_t movingMean(uint64_t mean, uint64_t measured, uint64_t smoothing)
{
    // Rounded down on both sides, so that the mean of no demand reaches 0.
    return mean - (mean + smoothing - 1) / smoothing + measured / smoothing;
}

/// True if the fast mean departs from the slow one by more than the noise of random arrivals: 3 standard deviations
/// and 2 requests over the 0.4 s that the fast mean covers.
static bool departs(uint64_t fast, uint64_t slow)
{
    const uint64_t difference = (std::max(fast, slow) - std::min(fast, slow)) * 2 / 5;
    if (difference <= 2 * milliTokensPerRequest)
        return false;
    const double beyond = static_cast<double>(difference - 2 * milliTokensPerRequest);
    return beyond * beyond > 9 * static_cast<double>(milliTokensPerRequest) * static_cast<double>(slow) * 2 / 5;
}

void GrantHolder::measure(Holding& holding, uint64_t milliDemand) const
{
    holding.fastMilliDemand = movingMean(holding.fastMilliDemand, milliDemand, this->settings.fastSmoothing);
    holding.milliDemand = movingMean(holding.milliDemand, milliDemand, this->settings.slowSmoothing);
    if (departs(holding.fastMilliDemand, holding.milliDemand))
        holding.milliDemand = holding.fastMilliDemand;
}

void GrantHolder::on(const ShortageObserved& event)
{
    Holding& holding = this->holdings[event.organisation];
    ++holding.shortages;
    holding.boostedUntil = event.now + this->settings.boostTime;
    this->urgent = true;
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
        this->pending.reset();
    }
    this->urgent = true;
    if (!claim.recalled.empty())
        this->offer(claim.recalled, event.now);
    this->effects.emplace_back(AnswerClaim { true, this->makeReport(event.now) });
}

void GrantHolder::offer(const OrganisationId& organisation, Instant now)
{
    const auto found = this->holdings.find(organisation);
    if (found == this->holdings.end())
        return;
    Holding& holding = found->second;
    // An answer under way is based on what is held now, so nothing is lowered before it has arrived.
    if (now < holding.boostedUntil || this->pending || !this->lowering.empty())
        return;
    const uint64_t offered = std::min(holding.milliTokens, holding.held.milliBurst) / 2;
    if (offered < milliTokensPerRequest / 2)
        return;
    // The same tokens must not be offered again before they are measured anew.
    holding.milliTokens -= offered;
    const Capacity kept { holding.held.milliRate, holding.held.milliBurst - offered };
    this->lowering.push_back({ organisation, kept, offered });
    this->effects.emplace_back(LowerGrants { this->lowering });
}

void GrantHolder::on(const GrantAnswered& event)
{
    const GrantResponse& response = event.response;
    if (!this->pending || response.sequence != this->pending->sequence || response.epoch != this->acceptedEpoch)
        return;
    // Counted from before the request was sent: the allocator counts from when it handled the request, which is later.
    const Instant valid = this->pending->sentAt + response.validity;
    this->pending.reset();
    if (valid <= event.now)
        return;
    this->validUntil = valid;
    this->capacityMoves = response.moves;
    bool raised = false;
    bool isShort = false;
    for (const auto& grant : response.grants) {
        Holding& holding = this->holdings[grant.organisation];
        const Capacity before = holding.held;
        holding.held = { std::max(before.milliRate, grant.capacity.milliRate),
            std::max(before.milliBurst, grant.capacity.milliBurst) };
        raised = raised || holding.held != before || grant.addedMilliTokens;
        if (grant.addedMilliTokens >= milliTokensPerRequest)
            holding.boostedUntil = event.now; // The next request that finds no token reports again.
        isShort = isShort || event.now < holding.boostedUntil;
        if (!holding.held.empty())
            this->effects.emplace_back(
                ApplyGrant { grant.organisation, holding.held, grant.addedMilliTokens, this->validUntil });
        if (holding.held != grant.capacity)
            this->lowering.push_back({ grant.organisation, grant.capacity, 0 });
    }
    if (!this->lowering.empty())
        this->effects.emplace_back(LowerGrants { this->lowering });
    this->fruitlessAnswers = raised ? 0 : this->fruitlessAnswers + 1;
    this->urgent = this->urgent || isShort;
}

void GrantHolder::on(const GrantFailed& event)
{
    if (this->pending && this->pending->sequence == event.sequence)
        this->pending.reset();
}

void GrantHolder::on(const GrantsLowered& event)
{
    for (const auto& grant : this->lowering) {
        Holding& holding = this->holdings[grant.organisation];
        // The grant may have expired since the effect was given out.
        const Capacity kept { std::min(holding.held.milliRate, grant.capacity.milliRate),
            std::min(holding.held.milliBurst, grant.capacity.milliBurst) };
        holding.unreported.milliRate += holding.held.milliRate - kept.milliRate;
        holding.unreported.milliBurst += holding.held.milliBurst - kept.milliBurst;
        holding.held = kept;
    }
    this->lowering.clear();
    for (const auto& grant : event.grants) {
        Holding& holding = this->holdings[grant.organisation];
        // Tokens travel only with the burst that made room for them.
        holding.returnedMilliTokens
            = std::min(holding.unreported.milliBurst, holding.returnedMilliTokens + grant.removedMilliTokens);
    }
    this->urgent = true;
}

void GrantHolder::on(const HolderStopping&)
{
    this->stopping = true;
    this->urgent = true;
    this->pending.reset();
    this->lowering.clear();
    for (const auto& [organisation, holding] : this->holdings) {
        if (!holding.held.empty())
            this->lowering.push_back({ organisation, {}, 0 });
    }
    if (!this->lowering.empty())
        this->effects.emplace_back(LowerGrants { this->lowering });
}

void GrantHolder::expire(Instant now)
{
    if (now < this->validUntil)
        return;
    for (auto& [organisation, holding] : this->holdings) {
        holding.held = {};
        holding.unreported = {};
        holding.returnedMilliTokens = 0;
    }
}

Instant GrantHolder::dueAt() const
{
    if (!this->lastSent)
        return Instant::min();
    if (this->pending) {
        const Duration timeout = this->urgent ? this->settings.urgentAnswerTimeout : this->settings.answerTimeout;
        return this->pending->sentAt + timeout;
    }
    if (!this->urgent)
        return *this->lastSent + this->settings.requestInterval;
    // While the organisation is over its limit every answer is fruitless, and asking each 20 ms would load the
    // allocator with 50 requests a second from each VM. The first two answers only start and await a recall.
    const uint32_t doublings = std::min(std::max(this->fruitlessAnswers, 2U) - 2U, 5U);
    return *this->lastSent + this->settings.shortageInterval * (1U << doublings);
}

void GrantHolder::sendIfDue(Instant now)
{
    // Tokens that are being removed must travel with the request that reports the lower capacity.
    if (this->allocator.empty() || !this->lowering.empty() || now < this->dueAt())
        return;
    if (!this->lowerEmptyBursts(now))
        this->send(now);
}

bool GrantHolder::lowerEmptyBursts(Instant now)
{
    // Tokens arrive only with burst. A VM without tokens returns the empty burst with its request and gets it back
    // with tokens; otherwise all burst would end up, empty, in the VMs that ran short. Without an allocator nobody
    // would give it back.
    if (!this->capacityMoves)
        return false;
    for (const auto& [organisation, holding] : this->holdings) {
        if (now < holding.boostedUntil && holding.held.milliBurst > milliTokensPerRequest)
            this->lowering.push_back({ organisation, { holding.held.milliRate, milliTokensPerRequest }, 0 });
    }
    if (this->lowering.empty())
        return false;
    this->pending.reset();
    this->effects.emplace_back(LowerGrants { this->lowering });
    return true;
}

void GrantHolder::send(Instant now)
{
    GrantRequest request { this->self, this->incarnation, this->acceptedEpoch, ++this->sequence, {} };
    for (auto next = this->holdings.begin(); next != this->holdings.end();) {
        const auto found = next++;
        Holding& holding = found->second;
        const Capacity wanted = this->wanted(holding, now);
        request.demands.push_back(
            { found->first, holding.held, wanted, std::exchange(holding.returnedMilliTokens, 0) });
        holding.unreported = {};
        if (holding.held.empty() && wanted.empty() && !holding.milliDemand)
            this->holdings.erase(found);
    }
    this->lastSent = now;
    this->capacityMoves = false;
    this->pending = Pending { this->sequence, now };
    this->urgent = false;
    this->effects.emplace_back(SendGrantRequest { this->allocator, std::move(request) });
}

Capacity GrantHolder::wanted(const Holding& holding, Instant now) const
{
    if (this->stopping)
        return {};
    // Demand below one request in 5 s is served on shortage, so that idle VMs hold nothing of a small limit.
    constexpr uint64_t idleDemand = 200;
    const bool boosted = now < holding.boostedUntil;
    Capacity wanted;
    if (holding.milliDemand >= idleDemand)
        wanted.milliRate = holding.milliDemand + holding.milliDemand / 20;
    if (boosted)
        wanted.milliRate = std::max(wanted.milliRate, milliTokensPerRequest);
    if (!wanted.milliRate)
        return wanted;
    wanted.milliBurst = milliTokensPerRequest;
    // Tokens come with burst: a VM that runs short asks for a quarter second of its demand, on top of what it holds.
    if (boosted)
        wanted.milliBurst = holding.held.milliBurst + std::max(2 * milliTokensPerRequest, wanted.milliRate / 4);
    return wanted;
}

ClaimReport GrantHolder::makeReport(Instant now) const
{
    ClaimReport report { this->self, this->incarnation, this->acceptedEpoch, this->sequence, {} };
    for (const auto& [organisation, holding] : this->holdings) {
        // Capacity whose return has not been sent yet still belongs to this VM.
        const Capacity held { holding.held.milliRate + holding.unreported.milliRate,
            holding.held.milliBurst + holding.unreported.milliBurst };
        report.held.push_back({ organisation, held, this->wanted(holding, now), 0 });
    }
    return report;
}

} // namespace Lavendervane
