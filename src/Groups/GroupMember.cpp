#include "Groups/GroupMember.h"

#include "Configuration/Resources.h"

namespace Lavendervane {

std::vector<GroupMember> makeGroupMembers(const DatabaseGroup& group)
{
    std::vector<GroupMember> members;
    members.reserve(group.endpoints.size());
    for (const Endpoint& endpoint : group.endpoints)
        members.push_back({ endpoint.name, endpoint.address, endpoint.isLeaving() });
    return members;
}

} // namespace Lavendervane
