#include "Fleet/EvacuationTracker.h"

#include <algorithm>
#include <set>

namespace Lavendervane {

// Time for which an evacuation goes on that a restored store lacks. Operators and their programs write again what the
// copy has lost within this time; VMs that start after the restore do not know of the evacuation until then.
static constexpr Duration settleTime = std::chrono::seconds(60);

// A planned promotion takes up to 1 s after the first VM has learnt of the evacuation, which leaves two thirds of the
// usual bound of 5 s for it. A statement that is sent at the last moment has a quarter of the bound to arrive.
EvacuationLimits EvacuationLimits::makeFor(Duration bound) { return { bound / 3, bound / 2, 3 * bound / 4 }; }

EvacuationTracker::EvacuationTracker(EvacuationLimits limits)
    : limits(limits)
{
}

EvacuationChanges EvacuationTracker::update(const EvacuationsRead& read, Instant now)
{
    EvacuationChanges changes;
    const bool isRestored = this->generation && read.generation > this->generation;
    this->generation = std::max(this->generation, read.generation);
    for (const DataCentre& dataCentre : read.dataCentres) {
        const auto [known, isNew] = this->evacuations.try_emplace(dataCentre);
        known->second.expiry.reset();
        if (!isNew)
            continue;
        if (const auto start = read.earliestStarts.find(dataCentre); start != read.earliestStarts.end())
            known->second.earliestStart = start->second;
        changes.started.push_back(dataCentre);
    }
    for (auto known = this->evacuations.begin(); known != this->evacuations.end();) {
        const DataCentre& dataCentre = known->first;
        Evacuation& evacuation = known->second;
        if (read.dataCentres.count(dataCentre)) {
            ++known;
            continue;
        }
        const bool isEnded = read.ended.count(dataCentre) > 0;
        if (!isEnded && isRestored && !evacuation.expiry) {
            evacuation.expiry = now + settleTime;
            changes.unconfirmed.push_back(dataCentre);
        }
        if (!isEnded && evacuation.expiry && now < *evacuation.expiry) {
            ++known;
            continue;
        }
        changes.ended.push_back(dataCentre);
        known = this->evacuations.erase(known);
    }
    return changes;
}

EvacuationChanges EvacuationTracker::expire(Instant now)
{
    EvacuationChanges changes;
    for (const auto& [dataCentre, evacuation] : this->evacuations) {
        if (evacuation.expiry && now >= *evacuation.expiry)
            changes.ended.push_back(dataCentre);
    }
    for (const DataCentre& dataCentre : changes.ended)
        this->evacuations.erase(dataCentre);
    return changes;
}

std::optional<Instant> EvacuationTracker::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto& [dataCentre, evacuation] : this->evacuations) {
        if (evacuation.expiry && (!next || *evacuation.expiry < *next))
            next = evacuation.expiry;
    }
    return next;
}

std::optional<Instant> EvacuationTracker::earliestStart(const DataCentre& dataCentre) const
{
    const auto known = this->evacuations.find(dataCentre);
    return known == this->evacuations.end() ? std::nullopt : known->second.earliestStart;
}

// All times have passed if the start is unknown: the bound may be over already.
EvacuationTimes EvacuationTracker::timesOf(const Evacuation& evacuation) const
{
    if (!evacuation.earliestStart)
        return {};
    const Instant start = *evacuation.earliestStart;
    return { start + this->limits.primaryWork, start + this->limits.transactions, start + this->limits.statements };
}

// Only a primary that another endpoint can replace gets work after the start. A group that loses all endpoints gains
// nothing from a delay.
void EvacuationTracker::apply(std::vector<RegisteredEndpoint>& endpoints) const
{
    for (RegisteredEndpoint& endpoint : endpoints) {
        const auto known = this->evacuations.find(endpoint.dataCentre);
        endpoint.evacuated = known != this->evacuations.end();
        endpoint.evacuationTimes = endpoint.evacuated ? this->timesOf(known->second) : EvacuationTimes {};
    }
    const auto lost = groupsWithoutEndpoint(endpoints);
    for (RegisteredEndpoint& endpoint : endpoints) {
        const bool isReplaced = endpoint.role == EndpointRole::Primary
            && std::find(lost.begin(), lost.end(), endpoint.group) == lost.end();
        if (endpoint.evacuated && !isReplaced)
            endpoint.evacuationTimes.workEnd = Instant::min();
    }
}

std::vector<GroupId> groupsWithoutEndpoint(const std::vector<RegisteredEndpoint>& endpoints)
{
    std::set<GroupId> lost;
    std::set<GroupId> served;
    for (const RegisteredEndpoint& endpoint : endpoints) {
        if (endpoint.evacuated)
            lost.insert(endpoint.group);
        if (!endpoint.isLeaving())
            served.insert(endpoint.group);
    }
    std::erase_if(lost, [&served](const GroupId& group) { return served.count(group) > 0; });
    return { lost.begin(), lost.end() };
}

} // namespace Lavendervane
