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

/// A probe from another VM arrived. It is answered by AnswerProbe with the same `call`.
struct ProbeArrived {
    Instant now;
    uint64_t call = 0;
    GossipMessage message;
};

/// Another VM answered a probe or a pushed message.
struct PeerAnswered {
    Instant now;
    GossipMessage message;
};

/// A traffic thread reported an observation.
struct TrafficObserved {
    Instant now;
    TrafficObservation observation;
};

/// A VM requested a grant from this VM as the allocator. It is answered by ReplyToGrantCall with the same `call`.
struct GrantCallArrived {
    Instant now;
    uint64_t call = 0;
    GrantRequest request;
};

/// Another VM claimed to be the allocator. It is answered by ReplyToClaimCall with the same `call`.
struct ClaimCallArrived {
    Instant now;
    uint64_t call = 0;
    AllocatorClaim claim;
};

/// Input of `reduce`.
using ControlEvent = std::variant<ControlTick, ProbeArrived, PeerAnswered, TrafficObserved, GrantCallArrived,
    ClaimCallArrived, MembershipEvent, GroupEvent, ChainEvent, HolderEvent, AllocatorEvent>;

} // namespace Lavendervane
