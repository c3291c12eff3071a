#pragma once

#include "Core/Identifiers.h"
#include "Limits/ShareLedger.h"

#include <string>
#include <vector>

namespace Lavendervane {

struct OwnerPlacementSettings {
    /// Number of VMs that share an endpoint's connections. With three owners, the loss of one leaves two thirds of the
    /// connections, and each owner still has several connections for its organisations.
    uint32_t ownersPerEndpoint = 3;
    /// Number of VMs that can take over while owners cannot be reached.
    uint32_t substitutes = 2;
};

/// Selects the VMs that hold the connections to an endpoint (its owners) if the endpoint accepts fewer connections than
/// there are VMs. Owners are in the endpoint's data centre if that has VMs; VMs with large processor shares are
/// preferred. VMs with equal input select equal owners. If the input differs for a while, an endpoint gets more
/// connections than intended, but statements are still executed correctly.
class OwnerPlacement {
public:
    explicit OwnerPlacement(OwnerPlacementSettings = {});

    void setMembers(std::vector<FleetMember>);

    /// Returns the VMs to try for the organisation's statements in order of preference: the owners, then the
    /// substitutes. The order of the owners depends on the organisation, so that its statements go to an owner that
    /// already has connections open for it. Owners come first for organisations in proportion to their processor share.
    std::vector<FleetMember> candidates(const EndpointId&, const DataCentre&, const OrganisationId&) const;

    /// Returns the maximum number of connections of the VM to the endpoint, at least 1, if the endpoint accepts
    /// `connections` from all VMs together. The owners and substitutes together stay below that number.
    uint32_t connectionLimit(const VmId&, const EndpointId&, const DataCentre&, uint32_t connections) const;

    /// Returns the requests a second that the VM may send to the endpoint while it is slow after its start, if the
    /// endpoint may get `rate` from all VMs together. VMs that are neither owners nor substitutes get none.
    uint32_t coldShare(const VmId&, const EndpointId&, const DataCentre&, uint32_t rate) const;

private:
    std::vector<FleetMember> rankedCandidates(const EndpointId&, const DataCentre&) const;

    OwnerPlacementSettings settings;
    std::vector<FleetMember> members;
};

} // namespace Lavendervane
