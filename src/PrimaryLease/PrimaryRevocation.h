#pragma once

#include "Core/Identifiers.h"

#include <compare>
#include <cstdint>

namespace Lavendervane {

/// Withdraws the permission of all VMs to use an endpoint as the primary of its group, because another endpoint is
/// about to be promoted. A revocation replaces all revocations of the group with lower numbers.
struct PrimaryRevocation {
    GroupId group;
    EndpointId endpoint; ///< empty if no endpoint of the group is revoked any more
    uint64_t number = 0; ///< fencing token of the promotion

    friend auto operator<=>(const PrimaryRevocation&, const PrimaryRevocation&) = default;
};

} // namespace Lavendervane
