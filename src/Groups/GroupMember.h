#pragma once

#include "Core/Identifiers.h"

#include <string>
#include <vector>

namespace Lavendervane {

struct DatabaseGroup;

/// Member of a database group as the configuration declares it, reduced to what the supervisor needs.
struct GroupMember {
    EndpointId endpoint;
    std::string address; ///< "IP:port"
    bool leaving = false; ///< the endpoint gets no new work and must not stay primary

    friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/// Returns the endpoints of the group in the order of their declaration.
std::vector<GroupMember> makeGroupMembers(const DatabaseGroup&);

/// Returns the smallest size at which any two subsets of `members` members share a member.
inline size_t majoritySize(size_t members) { return members / 2 + 1; }

} // namespace Lavendervane
