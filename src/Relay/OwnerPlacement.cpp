#include "Relay/OwnerPlacement.h"

#include "Core/RandomGenerator.h"
#include "Core/Rendezvous.h"
#include "Statements/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lavendervane {

OwnerPlacement::OwnerPlacement(OwnerPlacementSettings settings)
    : settings(settings)
{
}

void OwnerPlacement::setMembers(std::vector<FleetMember> vms) { this->members = std::move(vms); }

// One in this many connections of an endpoint is not given to its owners.
static constexpr uint32_t reservedConnections = 10;
// Bounds of the part of an owner, relative to an equal part.
static constexpr double minOwnerPart = 0.5;
static constexpr double maxOwnerPart = 1.5;

using Scored = std::pair<double, const FleetMember*>;

static bool ranksBefore(const Scored& left, const Scored& right)
{
    return left.first != right.first ? left.first > right.first : left.second->vm < right.second->vm;
}

// Weighted rendezvous hashing: for u uniform in (0, 1), the probability that -w / ln(u) is the highest score is
// proportional to the weight w.
static double score(const FleetMember& member, uint64_t keyHash, double weight)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    const uint64_t hash = RandomGenerator(keyHash ^ stableHash(member.vm.str())).next();
    const double uniform = (static_cast<double>(hash) + 0.5) / range;
    return -weight / std::log(uniform);
}

// The work of an owner comes on top of that for the VM's own callers, of whom every VM gets about equally many. What a
// VM has left for it therefore grows faster than its processor share.
static double spareWeight(const FleetMember& member)
{
    return static_cast<double>(member.cpuMillicores) * static_cast<double>(member.cpuMillicores);
}

// Returns the owners, then the substitutes.
std::vector<FleetMember> OwnerPlacement::rankedCandidates(
    const EndpointId& endpoint, const DataCentre& dataCentre) const
{
    const bool hasVmsInDataCentre = std::any_of(this->members.begin(), this->members.end(),
        [&dataCentre](const FleetMember& member) { return member.dataCentre == dataCentre; });
    const uint64_t endpointHash = stableHash(endpoint.str());
    std::vector<Scored> scored;
    for (const FleetMember& member : this->members) {
        if (!hasVmsInDataCentre || member.dataCentre == dataCentre)
            scored.emplace_back(score(member, endpointHash, spareWeight(member)), &member);
    }
    const size_t candidateCount
        = std::min<size_t>(this->settings.ownersPerEndpoint + this->settings.substitutes, scored.size());
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(candidateCount);
    std::partial_sort(scored.begin(), end, scored.end(), ranksBefore);
    std::vector<FleetMember> ranked;
    ranked.reserve(candidateCount);
    for (size_t index = 0; index < candidateCount; ++index)
        ranked.push_back(*scored[index].second);
    return ranked;
}

std::vector<FleetMember> OwnerPlacement::candidates(
    const EndpointId& endpoint, const DataCentre& dataCentre, const OrganisationId& organisation) const
{
    std::vector<FleetMember> ranked = this->rankedCandidates(endpoint, dataCentre);
    const auto ownerCount
        = static_cast<std::ptrdiff_t>(std::min<size_t>(this->settings.ownersPerEndpoint, ranked.size()));
    const uint64_t organisationHash = stableHash(endpoint.str() + "/" + organisation.str());
    std::sort(ranked.begin(), ranked.begin() + ownerCount,
        [organisationHash](const FleetMember& left, const FleetMember& right) {
            return ranksBefore({ score(left, organisationHash, left.cpuMillicores), &left },
                { score(right, organisationHash, right.cpuMillicores), &right });
        });
    return ranked;
}

// Returns the part of the owners' connections that the owner of the given rank holds. The parts follow the processor
// shares, as the organisations do. The bounds keep the other owners usable when the largest one is lost.
static double ownerPart(const std::vector<FleetMember>& owners, size_t rank)
{
    double total = 0;
    for (const FleetMember& owner : owners)
        total += owner.cpuMillicores;
    const auto count = static_cast<double>(owners.size());
    std::vector<double> parts;
    double sum = 0;
    for (const FleetMember& owner : owners) {
        const double part = total > 0 ? owner.cpuMillicores / total : 1 / count;
        parts.push_back(std::clamp(part, minOwnerPart / count, maxOwnerPart / count));
        sum += parts.back();
    }
    return parts[rank] / sum;
}

uint32_t OwnerPlacement::coldShare(
    const VmId& vm, const EndpointId& endpoint, const DataCentre& dataCentre, uint32_t rate) const
{
    const std::vector<FleetMember> ranked = this->rankedCandidates(endpoint, dataCentre);
    const auto found
        = std::find_if(ranked.begin(), ranked.end(), [&vm](const FleetMember& member) { return member.vm == vm; });
    return ColdStartLimiter::share(rate, static_cast<uint64_t>(found - ranked.begin()), ranked.size());
}

// The part that is left free covers connections that the endpoint has not closed yet when their replacements arrive,
// and VMs that are not aware yet of a change of the owners.
uint32_t OwnerPlacement::connectionLimit(
    const VmId& vm, const EndpointId& endpoint, const DataCentre& dataCentre, uint32_t connections) const
{
    const std::vector<FleetMember> ranked = this->rankedCandidates(endpoint, dataCentre);
    const auto found
        = std::find_if(ranked.begin(), ranked.end(), [&vm](const FleetMember& member) { return member.vm == vm; });
    const auto rank = static_cast<size_t>(found - ranked.begin());
    const uint32_t usable = connections - connections / reservedConnections;
    const size_t ownerCount = std::min<size_t>(this->settings.ownersPerEndpoint, ranked.size());
    const std::vector<FleetMember> owners(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(ownerCount));
    if (rank < ownerCount)
        return std::max(1U, static_cast<uint32_t>(usable * ownerPart(owners, rank)));
    const uint32_t rest = connections - usable;
    return rank < ranked.size() ? std::max(1U, rest / (this->settings.substitutes + 1)) : 1;
}

} // namespace Lavendervane
