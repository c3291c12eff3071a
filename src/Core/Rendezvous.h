#pragma once

#include "Core/Identifiers.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// Returns the `count` VMs with the highest rendezvous hash for `key`, best first; all of them if there are fewer.
/// The result does not depend on the order of `vms`. Cost: linear in the number of VMs.
std::vector<VmId> rankByRendezvous(std::span<const VmId> vms, std::string_view key, size_t count);

/// Stable 64-bit hash of a text, equal in every process and version.
uint64_t stableHash(std::string_view text);

} // namespace Lavendervane
