#pragma once

#include "Core/Identifiers.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Lavendervane {

/// Withdraws the permission of all VMs to use an endpoint as the primary of its group, because another endpoint is
/// about to be promoted. It also holds for an endpoint that takes over at the revoked one's address: it continues the
/// log and the role of the revoked one and does not know of the promotion. A revocation replaces all revocations of the
/// group with lower numbers.
struct PrimaryRevocation {
    GroupId group;
    EndpointId endpoint; ///< empty if no endpoint of the group is revoked any more
    uint64_t number = 0; ///< fencing token of the promotion
    std::string address {}; ///< "IP:port" of the endpoint; empty if it is unknown

    /// Returns true if the endpoint with this ID and address must not be used as the primary of the group.
    bool applies(const EndpointId& id, const std::string& itsAddress) const
    {
        return !this->endpoint.empty()
            && (id == this->endpoint || (!this->address.empty() && itsAddress == this->address));
    }

    friend auto operator<=>(const PrimaryRevocation&, const PrimaryRevocation&) = default;
};

} // namespace Lavendervane
