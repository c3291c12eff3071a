#include "Fleet/ConfirmationPeers.h"

#include "Core/Rendezvous.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace Lavendervane {

// Each VM tells this many others. About one in fifty then misses a confirmation, and it hears the next one.
static constexpr size_t localPeerCount = 3;
static constexpr size_t remotePeerCount = 1;

ConfirmationPeers::ConfirmationPeers(VmId self, uint64_t seed)
    : self(std::move(self))
    , random(seed)
{
}

void ConfirmationPeers::setMembers(const std::vector<FleetMember>& members)
{
    this->localAddresses.clear();
    this->remoteAddresses.clear();
    const auto own = std::find_if(
        members.begin(), members.end(), [this](const FleetMember& member) { return member.vm == this->self; });
    std::map<DataCentre, std::vector<uint64_t>> hashes;
    for (const FleetMember& member : members) {
        hashes[member.dataCentre].push_back(stableHash(member.vm.str()));
        if (member.vm == this->self || member.address.empty())
            continue;
        const bool isLocal = own != members.end() && member.dataCentre == own->dataCentre;
        (isLocal ? this->localAddresses : this->remoteAddresses).push_back(member.address);
    }
    this->ownRank = static_cast<uint32_t>(members.size());
    if (own == members.end())
        return;
    // VMs are ordered by their rank within their data centre, and VMs of equal rank by data centre.
    using Place = std::tuple<size_t, uint64_t>;
    std::vector<Place> places;
    Place ownPlace;
    for (auto& [dataCentre, ofDataCentre] : hashes) {
        std::sort(ofDataCentre.begin(), ofDataCentre.end());
        for (size_t index = 0; index < ofDataCentre.size(); ++index)
            places.emplace_back(index, stableHash(dataCentre.str()));
        if (dataCentre == own->dataCentre) {
            const auto found = std::lower_bound(ofDataCentre.begin(), ofDataCentre.end(), stableHash(this->self.str()));
            ownPlace = { static_cast<size_t>(found - ofDataCentre.begin()), stableHash(dataCentre.str()) };
        }
    }
    this->ownRank = static_cast<uint32_t>(
        std::count_if(places.begin(), places.end(), [&ownPlace](const Place& place) { return place < ownPlace; }));
}

// Moves `count` random elements to the front and returns them.
static std::vector<std::string> sample(std::vector<std::string>& all, size_t count, RandomGenerator& random)
{
    count = std::min(count, all.size());
    for (size_t index = 0; index < count; ++index)
        std::swap(all[index], all[index + random.below(static_cast<uint64_t>(all.size() - index))]);
    return { all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count) };
}

std::vector<std::string> ConfirmationPeers::choose()
{
    std::vector<std::string> chosen = sample(this->localAddresses, localPeerCount, this->random);
    // Few VMs in this data centre: more of the others.
    const size_t remoteCount = localPeerCount + remotePeerCount - chosen.size();
    for (std::string& address : sample(this->remoteAddresses, remoteCount, this->random))
        chosen.push_back(std::move(address));
    return chosen;
}

} // namespace Lavendervane
