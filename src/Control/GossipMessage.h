#pragma once

#include "Groups/GroupMessages.h"
#include "Membership/Member.h"

#include <cstdint>
#include <vector>

namespace Lavendervane {

/// State that VMs exchange with every probe, every answer to a probe and every push.
struct GossipMessage {
    Member from; ///< the sender
    std::vector<Member> updates; ///< recent changes of the membership
    uint64_t configurationVersion = 0; ///< version of the sender's configuration
    std::vector<GroupView> views; ///< some of the views that the sender knows

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

} // namespace Lavendervane
