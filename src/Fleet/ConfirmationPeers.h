#pragma once

#include "Core/RandomGenerator.h"
#include "Limits/ShareLedger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane {

/// Order in which the VMs confirm the tables of the store, and the VMs to which one of them passes confirmations on.
class ConfirmationPeers {
public:
    ConfirmationPeers(VmId self, uint64_t seed);

    void setMembers(const std::vector<FleetMember>&);

    /// Returns the number of VMs before this one. The first VMs are in different data centres, so that one that is cut
    /// off does not hold all of them.
    uint32_t rank() const { return this->ownRank; }

    /// Returns the addresses of some VMs, most of them in this VM's data centre. The choice is random.
    std::vector<std::string> choose();

private:
    VmId self;
    RandomGenerator random;
    uint32_t ownRank = 0;
    std::vector<std::string> localAddresses; ///< other VMs of this data centre
    std::vector<std::string> remoteAddresses; ///< VMs of other data centres
};

} // namespace Lavendervane
