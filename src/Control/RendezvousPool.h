#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lavendervane {

/// One VM in the ranking of a key.
struct RankedVm {
    uint64_t score = 0;
    VmId vm;

    friend bool operator==(const RankedVm&, const RankedVm&) = default;
};

/// A set of VMs and, for each key in use, the best VMs by rendezvous hash. A VM that joins costs one hash per key; a VM
/// that leaves costs nothing for the keys that it is not ranked for.
class RendezvousPool {
public:
    static constexpr size_t rankedVmsPerKey = 2; ///< ranked VMs per key

    void add(const VmId&);
    void remove(const VmId&);
    bool empty() const { return this->vmHashes.empty(); }

    /// Best VMs for the key, best first, at most `depth`. The first call for a key hashes every VM.
    const std::vector<RankedVm>& ranking(const std::string& key) const;

    /// Drops the ranking of a key that is no longer in use.
    void dropRanking(const std::string& key) { this->rankings.erase(key); }

    /// Compares the VMs. Rankings follow from them and exist only for keys that were asked for.
    friend bool operator==(const RendezvousPool& left, const RendezvousPool& right)
    {
        return left.vmHashes == right.vmHashes;
    }

private:
    // One more VM than asked for is kept, so that the loss of a ranked VM seldom needs a new computation.
    static constexpr size_t keptVmsPerKey = rankedVmsPerKey + 1;

    struct KeyRanking {
        uint64_t keyHash = 0;
        std::vector<RankedVm> kept; ///< up to keptDepth
        std::vector<RankedVm> topRanked; ///< the first `depth` of `best`
    };

    void compute(KeyRanking&) const;
    static void insert(KeyRanking&, RankedVm);
    static void updateTopRanked(KeyRanking&);

    std::map<VmId, uint64_t> vmHashes;
    // A cache: written by const functions, which only the control thread calls.
    mutable std::map<std::string, KeyRanking> rankings;
};

} // namespace Lavendervane
