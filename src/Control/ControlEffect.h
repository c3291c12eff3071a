#pragma once

#include "Configuration/ChainMessages.h"
#include "Control/GossipMessage.h"
#include "Groups/GroupMessages.h"
#include "Limits/GrantMessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace Lavendervane {

/// Probe `target`, through `via` if given. Timeout 300 ms. The result is PeerAnswered or ProbeFailed.
struct ProbePeer {
    Member target;
    std::optional<Member> via;
    GossipMessage message;

    friend bool operator==(const ProbePeer&, const ProbePeer&) = default;
};

/// Probe an address whose VM is not known yet. The result is PeerAnswered, or nothing.
struct ProbeSeed {
    std::string address;
    GossipMessage message;

    friend bool operator==(const ProbeSeed&, const ProbeSeed&) = default;
};

/// Send a message that cannot wait for the next probe. A failure is ignored.
struct PushGossip {
    Member target;
    GossipMessage message;

    friend bool operator==(const PushGossip&, const PushGossip&) = default;
};

/// Answer the probe with the identifier `call` (ProbeArrived::call).
struct AnswerProbe {
    uint64_t call = 0;
    GossipMessage message;

    friend bool operator==(const AnswerProbe&, const AnswerProbe&) = default;
};

/// Fetch the configuration changes after `fromVersion` from a peer. The result is PeerChangesReceived.
struct FetchChanges {
    Member peer;
    uint64_t fromVersion = 0;

    friend bool operator==(const FetchChanges&, const FetchChanges&) = default;
};

/// Ask the allocator for a grant. The result is GrantAnswered or GrantFailed.
struct CallAllocator {
    Member allocator;
    GrantRequest request;

    friend bool operator==(const CallAllocator&, const CallAllocator&) = default;
};

/// Tell another VM that this VM is the allocator of grants. The result is ClaimAnswered, EpochObserved or nothing.
struct ClaimFromPeer {
    Member peer;
    AllocatorClaim claim;

    friend bool operator==(const ClaimFromPeer&, const ClaimFromPeer&) = default;
};

/// Answer the grant request with the identifier `call` (GrantCallArrived::call).
struct ReplyToGrantCall {
    uint64_t call = 0;
    AnswerGrant answer;

    friend bool operator==(const ReplyToGrantCall&, const ReplyToGrantCall&) = default;
};

/// Answer the claim with the identifier `call` (ClaimCallArrived::call).
struct ReplyToClaimCall {
    uint64_t call = 0;
    AnswerClaim answer;

    friend bool operator==(const ReplyToClaimCall&, const ReplyToClaimCall&) = default;
};

/// Ask the platform for its list of VMs. The result is VmListReceived, or nothing.
struct FetchVmList {
    friend bool operator==(const FetchVmList&, const FetchVmList&) = default;
};

/// Make a new traffic snapshot and publish it to the traffic threads.
struct PublishSnapshot {
    friend bool operator==(const PublishSnapshot&, const PublishSnapshot&) = default;
};

/// Action that `reduce` requests from its caller.
using ControlEffect = std::variant<ProbePeer, ProbeSeed, PushGossip, AnswerProbe, FetchChanges, FetchVmList,
    PublishSnapshot, QueryStatus, SendFence, SendPromote, SendFollow, ReadChainRows, WriteChainRows, ReadChainSnapshot,
    WriteChainSnapshot, CommitFinished, CallAllocator, ClaimFromPeer, ReplyToGrantCall, ReplyToClaimCall, ApplyGrant,
    LowerGrants, AllocatorRead, AllocatorTransact, AllocatorStopped>;

using Effects = std::vector<ControlEffect>;

} // namespace Lavendervane
