#include "Control/RendezvousPool.h"

#include "Core/RandomGenerator.h"
#include "Core/Rendezvous.h"

#include <algorithm>

namespace Lavendervane {

// The score is the same as in rankByRendezvous, so that both give the same order.
static uint64_t score(uint64_t keyHash, uint64_t vmHash) { return RandomGenerator(keyHash ^ vmHash).next(); }

static bool ranksBefore(const RankedVm& left, const RankedVm& right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.vm < right.vm;
}

void RendezvousPool::add(const VmId& vm)
{
    const auto [entry, isNew] = this->vmHashes.emplace(vm, stableHash(vm.str()));
    if (!isNew)
        return;
    for (auto& [key, ranking] : this->rankings) {
        const RankedVm ranked { score(ranking.keyHash, entry->second), vm };
        // After a removal, VMs outside the kept ones may rank before a VM appended at the end. So a VM is appended only
        // if the ranking holds all other VMs.
        const bool holdsAllVms = ranking.kept.size() + 1 == this->vmHashes.size();
        if (holdsAllVms || (!ranking.kept.empty() && ranksBefore(ranked, ranking.kept.back()))) {
            insert(ranking, ranked);
            updateTopRanked(ranking);
        }
    }
}

void RendezvousPool::remove(const VmId& vm)
{
    if (!this->vmHashes.erase(vm))
        return;
    for (auto& [key, ranking] : this->rankings) {
        const auto removed = std::erase_if(ranking.kept, [&vm](const RankedVm& ranked) { return ranked.vm == vm; });
        if (!removed)
            continue;
        if (ranking.kept.size() < std::min(rankedVmsPerKey, this->vmHashes.size()))
            this->compute(ranking);
        else
            updateTopRanked(ranking);
    }
}

const std::vector<RankedVm>& RendezvousPool::ranking(const std::string& key) const
{
    const auto [entry, isNew] = this->rankings.try_emplace(key);
    if (isNew) {
        entry->second.keyHash = stableHash(key);
        this->compute(entry->second);
    }
    return entry->second.topRanked;
}

void RendezvousPool::compute(KeyRanking& ranking) const
{
    ranking.kept.clear();
    for (const auto& [vm, hash] : this->vmHashes) {
        const uint64_t vmScore = score(ranking.keyHash, hash);
        if (ranking.kept.size() < keptVmsPerKey || vmScore >= ranking.kept.back().score)
            insert(ranking, { vmScore, vm });
    }
    updateTopRanked(ranking);
}

void RendezvousPool::insert(KeyRanking& ranking, RankedVm vm)
{
    const auto position = std::upper_bound(ranking.kept.begin(), ranking.kept.end(), vm, ranksBefore);
    ranking.kept.insert(position, std::move(vm));
    if (ranking.kept.size() > keptVmsPerKey)
        ranking.kept.pop_back();
}

void RendezvousPool::updateTopRanked(KeyRanking& ranking)
{
    const size_t count = std::min(rankedVmsPerKey, ranking.kept.size());
    ranking.topRanked.assign(ranking.kept.begin(), ranking.kept.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace Lavendervane
