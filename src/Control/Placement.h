#pragma once

#include "Configuration/Resources.h"
#include "Control/RendezvousPool.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// Places roles on VMs by rendezvous hashing (docs/design.md, 4). Rankings are kept per data centre and follow the VMs
/// that join and leave.
class Placement {
public:
    /// Takes over the active VMs with their data centres. Returns true if the set changed.
    bool setVms(const std::map<VmId, DataCentre>& vms);

    /// Drops the rankings of an endpoint, or of a group and its endpoints, that is no longer in use.
    void dropRankings(const Endpoint&);
    void dropRankings(const DatabaseGroup&);

    /// The two VMs that hold the endpoint's connections, preferred first.
    std::vector<VmId> owners(const Endpoint&) const;

    /// VMs that watch the group: the first of each data centre that holds a member, best first.
    std::vector<VmId> watchers(const DatabaseGroup&) const;

    /// The two VMs of a data centre that read the configuration chain from the platform.
    std::vector<VmId> configurationReaders(const DataCentre&) const;

    /// The VM that should allocate grants in a data centre; absent if no VM is active there.
    std::optional<VmId> allocator(const DataCentre&) const;

    friend bool operator==(const Placement&, const Placement&) = default;

private:
    /// Pool of the data centre, or of all VMs if it has none.
    const RendezvousPool& findPool(const DataCentre&) const;
    void dropRankingsOfKey(const std::string& key);

    std::map<VmId, DataCentre> vms;
    std::map<DataCentre, RendezvousPool> pools;
    RendezvousPool allVms;
};

} // namespace Lavendervane
