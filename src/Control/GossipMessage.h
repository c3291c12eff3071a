#pragma once

#include "Groups/GroupMessages.h"
#include "Membership/Member.h"

#include <cstdint>
#include <vector>

namespace Lavendervane {

/// What VMs tell each other with every probe and its answer.
struct GossipMessage {
    Member from;
    std::vector<Member> updates;
    uint64_t configurationVersion = 0;
    std::vector<GroupView> views;

    friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

} // namespace Lavendervane
