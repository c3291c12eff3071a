#pragma once

#include "Core/Identifiers.h"
#include "Limits/ShareLedger.h"

#include <string>
#include <vector>

namespace Lavendervane {

struct OwnerPlacementSettings {
    /// VMs that share an endpoint's connections. With three, the loss of one leaves two thirds of the connections, and
    /// each still has several for its organisations.
    uint32_t ownersPerEndpoint = 3;
    /// VMs that take over while owners cannot be reached.
    uint32_t substitutes = 2;
};

/// Decides which VMs hold the connections to an endpoint when there are fewer connections than VMs. Owners stand in the
/// endpoint's data centre if it has VMs, and are drawn in proportion to their processor share. Equal inputs give equal
/// results on every VM; different ones cost connections, never correctness.
class OwnerPlacement {
public:
    explicit OwnerPlacement(OwnerPlacementSettings = {});

    void setMembers(std::vector<FleetMember>);

    /// VMs to try for the organisation's statements, best first: the owners in an order of the organisation's own, so
    /// that its statements meet connections that are open for it, then substitutes.
    std::vector<FleetMember> candidates(const EndpointId&, const DataCentre&, const OrganisationId&) const;

    /// Part of an endpoint's connections that one owner may have, at least 1.
    uint32_t connectionsPerOwner(uint32_t connections) const;

private:
    OwnerPlacementSettings settings;
    std::vector<FleetMember> members;
};

} // namespace Lavendervane
