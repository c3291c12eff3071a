#pragma once

#include "Configuration/ChainMessages.h"
#include "Control/GossipMessage.h"
#include "Control/TrafficObservation.h"
#include "Groups/GroupMessages.h"
#include "Limits/GrantMessages.h"
#include "Membership/MembershipMessages.h"

#include <variant>

namespace Lavendervane {

/// Periodic event, every 100 ms.
struct ControlTick {
    Instant now;
    uint64_t seed = 0;
};

/// A probe arrived. `call` names the answer that is owed.
struct ProbeArrived {
    Instant now;
    uint64_t call = 0;
    GossipMessage message;
};

/// A probe, or news that were pushed, was answered.
struct PeerAnswered {
    Instant now;
    GossipMessage message;
};

/// Traffic threads saw something that control has to know.
struct TrafficObserved {
    Instant now;
    TrafficObservation observation;
};

/// A VM asks this one, as the allocator, for a grant. `call` names the answer that is owed.
struct GrantCallArrived {
    Instant now;
    uint64_t call = 0;
    GrantRequest request;
};

/// An allocator claims its role. `call` names the answer that is owed.
struct ClaimCallArrived {
    Instant now;
    uint64_t call = 0;
    AllocatorClaim claim;
};

using ControlEvent = std::variant<ControlTick, ProbeArrived, PeerAnswered, TrafficObserved, GrantCallArrived,
    ClaimCallArrived, MembershipEvent, GroupEvent, ChainEvent, HolderEvent, AllocatorEvent>;

} // namespace Lavendervane
