#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lavendervane {

/// A VM and its score in the ranking of a key.
struct RankedVm {
    uint64_t score = 0;
    VmId vm;

    friend bool operator==(const RankedVm&, const RankedVm&) = default;
};

/// A set of VMs and, for each key in use, the best VMs by rendezvous hash. Adding a VM computes one score per key.
/// Removing a VM changes only the rankings that contain it.
class RendezvousPool {
public:
    static constexpr size_t rankedVmsPerKey = 2;

    void add(const VmId&);
    void remove(const VmId&);
    bool empty() const { return this->vmHashes.empty(); }

    /// Returns up to `rankedVmsPerKey` VMs for the key, best first. The first call for a key computes the score of
    /// every VM.
    const std::vector<RankedVm>& ranking(const std::string& key) const;

    /// Deletes the cached ranking of a key.
    void dropRanking(const std::string& key) { this->rankings.erase(key); }

    /// Compares only the VMs, because the rankings are derived from them and cached on demand.
    friend bool operator==(const RendezvousPool& left, const RendezvousPool& right)
    {
        return left.vmHashes == right.vmHashes;
    }

private:
    // One VM more than `ranking` returns is kept, so that the removal of a ranked VM seldom requires all scores again.
    static constexpr size_t keptVmsPerKey = rankedVmsPerKey + 1;

    struct KeyRanking {
        uint64_t keyHash = 0;
        std::vector<RankedVm> kept; ///< best first, up to `keptVmsPerKey`
        std::vector<RankedVm> topRanked; ///< the first `rankedVmsPerKey` of `kept`
    };

    void compute(KeyRanking&) const;
    static void insert(KeyRanking&, RankedVm);
    static void updateTopRanked(KeyRanking&);

    std::map<VmId, uint64_t> vmHashes; ///< hash of the name of each VM in the pool
    // Cache that const functions fill. Only the control thread may call them.
    mutable std::map<std::string, KeyRanking> rankings;
};

} // namespace Lavendervane
