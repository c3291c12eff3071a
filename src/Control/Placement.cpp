#include "Control/Placement.h"

#include <algorithm>
#include <set>

namespace Lavendervane {

bool Placement::setVms(const std::map<VmId, DataCentre>& current)
{
    bool changed = false;
    for (auto entry = this->vms.begin(); entry != this->vms.end();) {
        const auto found = current.find(entry->first);
        if (found != current.end() && found->second == entry->second) {
            ++entry;
            continue;
        }
        this->pools[entry->second].remove(entry->first);
        this->allVms.remove(entry->first);
        entry = this->vms.erase(entry);
        changed = true;
    }
    for (const auto& [vm, dataCentre] : current) {
        if (!this->vms.emplace(vm, dataCentre).second)
            continue;
        this->pools[dataCentre].add(vm);
        this->allVms.add(vm);
        changed = true;
    }
    return changed;
}

static std::string rankingKey(const Endpoint& endpoint) { return "endpoint/" + endpoint.name.str(); }

static std::string rankingKey(const DatabaseGroup& group) { return "group/" + group.name.str(); }

void Placement::dropRankingsOfKey(const std::string& key)
{
    for (auto& [dataCentre, pool] : this->pools)
        pool.dropRanking(key);
    this->allVms.dropRanking(key);
}

void Placement::dropRankings(const Endpoint& endpoint) { this->dropRankingsOfKey(rankingKey(endpoint)); }

void Placement::dropRankings(const DatabaseGroup& group)
{
    this->dropRankingsOfKey(rankingKey(group));
    for (const Endpoint& endpoint : group.endpoints)
        this->dropRankings(endpoint);
}

const RendezvousPool& Placement::findPool(const DataCentre& dataCentre) const
{
    const auto found = this->pools.find(dataCentre);
    return found == this->pools.end() || found->second.empty() ? this->allVms : found->second;
}

static std::vector<VmId> vmIdsOf(const std::vector<RankedVm>& ranking)
{
    std::vector<VmId> result;
    result.reserve(ranking.size());
    for (const RankedVm& ranked : ranking)
        result.push_back(ranked.vm);
    return result;
}

std::vector<VmId> Placement::owners(const Endpoint& endpoint) const
{
    return vmIdsOf(this->findPool(endpoint.dataCentre).ranking(rankingKey(endpoint)));
}

std::vector<VmId> Placement::watchers(const DatabaseGroup& group) const
{
    const std::string key = rankingKey(group);
    std::set<DataCentre> dataCentres;
    for (const Endpoint& endpoint : group.endpoints)
        dataCentres.insert(endpoint.dataCentre);

    std::vector<RankedVm> bestPerDataCentre;
    for (const DataCentre& dataCentre : dataCentres) {
        const auto found = this->pools.find(dataCentre);
        if (found != this->pools.end() && !found->second.empty())
            bestPerDataCentre.push_back(found->second.ranking(key).front());
    }
    if (bestPerDataCentre.empty())
        return vmIdsOf(this->allVms.ranking(key));
    std::sort(bestPerDataCentre.begin(), bestPerDataCentre.end(), [](const RankedVm& left, const RankedVm& right) {
        return left.score != right.score ? left.score > right.score : left.vm < right.vm;
    });
    return vmIdsOf(bestPerDataCentre);
}

std::vector<VmId> Placement::configurationReaders(const DataCentre& dataCentre) const
{
    return vmIdsOf(this->findPool(dataCentre).ranking("configuration"));
}

std::optional<VmId> Placement::allocator(const DataCentre& dataCentre) const
{
    const auto found = this->pools.find(dataCentre);
    if (found == this->pools.end() || found->second.empty())
        return std::nullopt;
    return found->second.ranking("allocator").front().vm;
}

} // namespace Lavendervane
