#pragma once

#include "Membership/Member.h"

#include <vector>

namespace Lavendervane {

/// Creates VMs that are spread evenly over seven data centres, as in section 1.5 of docs/design.md.
std::vector<Member> makeFleet(size_t size);

} // namespace Lavendervane
