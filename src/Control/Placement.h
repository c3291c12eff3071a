#pragma once

#include "Configuration/Resources.h"
#include "Control/RendezvousPool.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// Assigns roles to VMs by rendezvous hashing (docs/design.md, 4). The rankings of each data centre are updated when
/// VMs join or leave.
class Placement {
public:
    /// Replaces the set of active VMs and their data centres. Returns true if the set changed.
    bool setVms(const std::map<VmId, DataCentre>& vms);

    /// Deletes the cached rankings of an endpoint, or of a group and its endpoints. They are computed again when used.
    void dropRankings(const Endpoint&);
    void dropRankings(const DatabaseGroup&);

    /// Returns the two VMs that hold connections to the endpoint, the preferred one first.
    std::vector<VmId> owners(const Endpoint&) const;

    /// Returns the VMs that watch the group, best first: the best VM of each data centre that has a member of the
    /// group, or the two best of all VMs if none of these data centres has a VM.
    std::vector<VmId> watchers(const DatabaseGroup&) const;

    /// Returns the two VMs of a data centre that read the configuration chain from the platform.
    std::vector<VmId> configurationReaders(const DataCentre&) const;

    /// Returns the VM that should allocate grants in a data centre; nothing if no VM is active there.
    std::optional<VmId> allocator(const DataCentre&) const;

    friend bool operator==(const Placement&, const Placement&) = default;

private:
    /// Returns the pool of the data centre, or the pool of all VMs if no VM is active there.
    const RendezvousPool& findPool(const DataCentre&) const;
    void dropRankingsOfKey(const std::string& key);

    std::map<VmId, DataCentre> vms;
    std::map<DataCentre, RendezvousPool> pools;
    RendezvousPool allVms;
};

} // namespace Lavendervane
