#include "Core/Rendezvous.h"

#include "Core/RandomGenerator.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

uint64_t stableHash(std::string_view text)
{
    // FNV-1a. std::hash may differ between builds, but all VMs must compute the same ranking.
    uint64_t hash = 0xcbf29ce484222325ULL;
    for (unsigned char byte : text) {
        hash ^= byte;
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

std::vector<VmId> rankByRendezvous(std::span<const VmId> vms, std::string_view key, size_t count)
{
    const uint64_t keyHash = stableHash(key);
    std::vector<std::pair<uint64_t, const VmId*>> scored;
    scored.reserve(vms.size());
    for (const VmId& vm : vms)
        scored.emplace_back(RandomGenerator(keyHash ^ stableHash(vm.str())).next(), &vm);

    const size_t kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end(),
        [](const auto& left, const auto& right) {
            if (left.first != right.first)
                return left.first > right.first;
            return *left.second < *right.second;
        });

    std::vector<VmId> ranked;
    ranked.reserve(kept);
    for (size_t index = 0; index < kept; ++index)
        ranked.push_back(*scored[index].second);
    return ranked;
}

} // namespace Lavendervane
