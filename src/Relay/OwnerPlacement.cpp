#include "Relay/OwnerPlacement.h"

#include "Core/RandomGenerator.h"
#include "Core/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lavendervane {

OwnerPlacement::OwnerPlacement(OwnerPlacementSettings settings)
    : settings(settings)
{
}

void OwnerPlacement::setMembers(std::vector<FleetMember> vms) { this->members = std::move(vms); }

using Scored = std::pair<double, const FleetMember*>;

static bool ranksBefore(const Scored& left, const Scored& right)
{
    return left.first != right.first ? left.first > right.first : left.second->vm < right.second->vm;
}

// Weighted rendezvous hashing: for u uniform in (0, 1), the probability that -w / ln(u) is the highest score is
// proportional to the weight w.
static double score(const FleetMember& member, uint64_t keyHash, uint32_t weight)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    const uint64_t hash = RandomGenerator(keyHash ^ stableHash(member.vm.str())).next();
    const double uniform = (static_cast<double>(hash) + 0.5) / range;
    return -static_cast<double>(weight) / std::log(uniform);
}

std::vector<FleetMember> OwnerPlacement::candidates(
    const EndpointId& endpoint, const DataCentre& dataCentre, const OrganisationId& organisation) const
{
    const bool hasVmsInDataCentre = std::any_of(this->members.begin(), this->members.end(),
        [&dataCentre](const FleetMember& member) { return member.dataCentre == dataCentre; });
    const uint64_t endpointHash = stableHash(endpoint.str());
    std::vector<Scored> scored;
    for (const FleetMember& member : this->members) {
        if (!hasVmsInDataCentre || member.dataCentre == dataCentre)
            scored.emplace_back(score(member, endpointHash, member.cpuMillicores), &member);
    }
    const size_t candidateCount
        = std::min<size_t>(this->settings.ownersPerEndpoint + this->settings.substitutes, scored.size());
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(candidateCount);
    std::partial_sort(scored.begin(), end, scored.end(), ranksBefore);
    scored.resize(candidateCount);
    const size_t ownerCount = std::min<size_t>(this->settings.ownersPerEndpoint, candidateCount);
    const uint64_t organisationHash = stableHash(endpoint.str() + "/" + organisation.str());
    for (size_t index = 0; index < ownerCount; ++index)
        scored[index].first = score(*scored[index].second, organisationHash, 1);
    std::sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(ownerCount), ranksBefore);
    std::vector<FleetMember> ranked;
    ranked.reserve(scored.size());
    for (const Scored& entry : scored)
        ranked.push_back(*entry.second);
    return ranked;
}

uint32_t OwnerPlacement::connectionsPerOwner(uint32_t connections) const
{
    return std::max(1U, connections / this->settings.ownersPerEndpoint);
}

} // namespace Lavendervane
