#include "Limits/WindowLimits.h"

#include <algorithm>

namespace Lavendervane {

// Part of the share in use at which a VM asks for more, in percent. The rest lasts while the platform answers.
static constexpr uint32_t highUse = 88;

WindowLimits::WindowLimits(WindowLimitSettings settings)
    : settings(settings)
    , stepLength(settings.window / static_cast<int64_t>(steps))
{
}

void WindowLimits::setBudgets(const std::map<OrganisationId, uint32_t>& requestsPerWindow)
{
    std::erase_if(this->counters,
        [&requestsPerWindow](const auto& entry) { return requestsPerWindow.find(entry.first) == requestsPerWindow.end(); });
    for (const auto& [organisation, requests] : requestsPerWindow)
        this->counters[organisation].budget = requests;
}

void WindowLimits::setShares(const std::map<OrganisationId, uint32_t>& shares, Instant until, Instant now)
{
    this->expiry = until;
    for (auto& [organisation, counter] : this->counters) {
        const auto share = shares.find(organisation);
        counter.share = share == shares.end() ? 0 : share->second;
        if (counter.share >= counter.wanted) {
            counter.exhaustedTime = {};
            continue;
        }
        counter.exhaustedTime = std::clamp(
            2 * counter.exhaustedTime, this->settings.exhaustedTime, this->settings.longestExhaustedTime);
        counter.exhaustedUntil = now + counter.exhaustedTime;
    }
}

bool WindowLimits::mayGrow(const OrganisationId& organisation, Instant now) const
{
    const auto found = this->counters.find(organisation);
    return found != this->counters.end() && found->second.share < wholeShare && found->second.exhaustedUntil <= now;
}

void WindowLimits::advance(Counter& counter, Instant now) const
{
    const int64_t step = now.time_since_epoch() / this->stepLength;
    const int64_t passed = step - counter.newestStep;
    if (passed <= 0)
        return;
    const auto size = static_cast<int64_t>(counter.counts.size());
    for (int64_t offset = 1; offset <= std::min(passed, size); ++offset) {
        uint32_t& oldest = counter.counts[static_cast<size_t>((counter.newestStep + offset) % size)];
        counter.total -= oldest;
        oldest = 0;
    }
    counter.newestStep = step;
}

uint32_t WindowLimits::allowedOf(const Counter& counter, Instant now) const
{
    if (now >= this->expiry)
        return 0;
    return static_cast<uint32_t>(static_cast<uint64_t>(counter.budget) * counter.share / wholeShare);
}

bool WindowLimits::tryTake(const OrganisationId& organisation, Instant now)
{
    const auto found = this->counters.find(organisation);
    if (found == this->counters.end())
        return false;
    Counter& counter = found->second;
    this->advance(counter, now);
    if (counter.total >= this->allowedOf(counter, now)) {
        ++counter.refused;
        return false;
    }
    this->countRepeat(organisation, now);
    return true;
}

void WindowLimits::countRepeat(const OrganisationId& organisation, Instant now)
{
    const auto found = this->counters.find(organisation);
    if (found == this->counters.end())
        return;
    Counter& counter = found->second;
    this->advance(counter, now);
    ++counter.total;
    ++counter.counts[static_cast<size_t>(counter.newestStep % static_cast<int64_t>(counter.counts.size()))];
}

void WindowLimits::giveBack(const OrganisationId& organisation, Instant now)
{
    const auto found = this->counters.find(organisation);
    if (found == this->counters.end())
        return;
    Counter& counter = found->second;
    this->advance(counter, now);
    // The request may have been counted in an earlier step; taking it from the newest that has one errs on the side
    // of admitting less.
    const auto size = static_cast<int64_t>(counter.counts.size());
    for (int64_t offset = 0; offset < size; ++offset) {
        uint32_t& count = counter.counts[static_cast<size_t>((counter.newestStep - offset + size) % size)];
        if (!count)
            continue;
        --count;
        --counter.total;
        return;
    }
}

uint32_t WindowLimits::allowed(const OrganisationId& organisation, Instant now) const
{
    const auto found = this->counters.find(organisation);
    return found == this->counters.end() ? 0 : this->allowedOf(found->second, now);
}

uint32_t WindowLimits::used(const OrganisationId& organisation, Instant now)
{
    const auto found = this->counters.find(organisation);
    if (found == this->counters.end())
        return 0;
    this->advance(found->second, now);
    return found->second.total;
}

// Requests of a whole window at the pace of its last fifth. While callers start, the window is not full yet.
uint32_t WindowLimits::projectedRequests(const Counter& counter) const
{
    static constexpr int64_t recentSteps = steps / 5;
    const auto size = static_cast<int64_t>(counter.counts.size());
    uint32_t recent = 0;
    for (int64_t offset = 0; offset < recentSteps; ++offset)
        recent += counter.counts[static_cast<size_t>((counter.newestStep - offset + size) % size)];
    return recent * static_cast<uint32_t>(steps / recentSteps);
}

uint32_t WindowLimits::wantedShare(Counter& counter, Instant now) const
{
    const bool unused = !counter.total && !counter.refused;
    if (!counter.share && unused)
        return this->settings.initialShare;
    // Half as much again as is used now covers the growth until the next exchange with the table.
    const uint64_t requests
        = std::max(counter.total + counter.total / 2, this->projectedRequests(counter)) + counter.refused + 1;
    // Rounded up, so that the share is worth the whole number of requests.
    const auto needed = static_cast<uint32_t>(
        std::min<uint64_t>((requests * wholeShare + counter.budget - 1) / counter.budget, wholeShare));
    if (needed * 2 >= counter.share) {
        counter.lowSince = {};
        return std::max(needed, counter.share);
    }
    if (counter.lowSince == Instant {})
        counter.lowSince = now;
    return now - counter.lowSince >= this->settings.lowUseTime ? needed : counter.share;
}

std::map<OrganisationId, uint32_t> WindowLimits::wantedShares(Instant now)
{
    std::map<OrganisationId, uint32_t> shares;
    for (auto& [organisation, counter] : this->counters) {
        if (!counter.budget)
            continue;
        this->advance(counter, now);
        counter.wanted = this->wantedShare(counter, now);
        counter.refused = 0;
        shares.emplace(organisation, counter.wanted);
    }
    return shares;
}

bool WindowLimits::needsMore(Instant now)
{
    return std::any_of(this->counters.begin(), this->counters.end(), [this, now](auto& entry) {
        Counter& counter = entry.second;
        if (!counter.budget || counter.share >= wholeShare || counter.exhaustedUntil > now)
            return false;
        this->advance(counter, now);
        return (counter.total || counter.refused)
            && counter.total * 100 >= this->allowedOf(counter, now) * highUse;
    });
}

} // namespace Lavendervane
