#include "Membership/UpdateQueue.h"

#include <utility>

namespace Lavendervane {

void UpdateQueue::add(const VmId& vm)
{
    this->remove(vm);
    const Key key { 0, -++this->sequence };
    this->entries.insert({ key.sendCount, key.negatedSequence, vm });
    this->keysByVm.emplace(vm, key);
}

void UpdateQueue::remove(const VmId& vm)
{
    const auto found = this->keysByVm.find(vm);
    if (found == this->keysByVm.end())
        return;
    this->entries.erase({ found->second.sendCount, found->second.negatedSequence, vm });
    this->keysByVm.erase(found);
}

std::vector<VmId> UpdateQueue::take(size_t count, uint32_t sendLimit)
{
    std::vector<VmId> taken;
    std::vector<std::set<Entry>::node_type> requeued;
    while (taken.size() < count && !this->entries.empty()) {
        auto node = this->entries.extract(this->entries.begin());
        Entry& entry = node.value();
        taken.push_back(entry.vm);
        const auto key = this->keysByVm.find(entry.vm);
        entry.sendCount = ++key->second.sendCount;
        if (entry.sendCount < sendLimit)
            requeued.push_back(std::move(node));
        else
            this->keysByVm.erase(key);
    }
    for (auto& node : requeued)
        this->entries.insert(std::move(node));
    return taken;
}

} // namespace Lavendervane
