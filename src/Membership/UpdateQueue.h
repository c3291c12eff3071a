#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Lavendervane {

/// VMs whose state still has to be disseminated. The least often sent VM comes first; among equals, the one added
/// last. Each operation is O(log n) per VM, with n queued VMs.
class UpdateQueue {
public:
    /// Adds the VM, or resets its send count if it is already queued.
    void add(const VmId&);
    void remove(const VmId&);

    /// Returns at most `count` VMs and counts them as sent; a VM leaves the queue after `sendLimit` sends.
    std::vector<VmId> take(size_t count, uint32_t sendLimit);

    size_t size() const { return this->entries.size(); }

    friend bool operator==(const UpdateQueue&, const UpdateQueue&) = default;

private:
    struct Entry {
        uint32_t sendCount = 0;
        int64_t negatedSequence = 0;
        VmId vm;

        friend auto operator<=>(const Entry&, const Entry&) = default;
    };

    /// The fields of Entry that locate the entry of a VM in `entries`.
    struct Key {
        uint32_t sendCount = 0;
        int64_t negatedSequence = 0;

        friend bool operator==(const Key&, const Key&) = default;
    };

    std::set<Entry> entries;
    std::map<VmId, Key> keysByVm;
    int64_t sequence = 0;
};

} // namespace Lavendervane
