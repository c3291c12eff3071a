#pragma once

#include "Configuration/Resources.h"
#include "Control/TableMessages.h"
#include "Core/Identifiers.h"
#include "Core/Instant.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace Lavendervane {

/// Part of an organisation's limit. Integers in 1/1000 requests make sums and replays exact, unlike floating point.
struct Capacity {
    uint64_t milliRate = 0; ///< 1/1000 requests per second
    uint64_t milliBurst = 0; ///< 1/1000 requests

    bool empty() const { return !this->milliRate && !this->milliBurst; }

    friend bool operator==(const Capacity&, const Capacity&) = default;
};

/// Capacity that a VM holds of one organisation's limit, and capacity that it wants.
struct GrantDemand {
    OrganisationId organisation;
    Capacity held; ///< upper bound of what the VM uses until it applies the response
    Capacity wanted;
    /// Tokens, in 1/1000 requests, that the VM removed from its bucket when it last lowered `held`.
    uint64_t returnedMilliTokens = 0;

    friend bool operator==(const GrantDemand&, const GrantDemand&) = default;
};

/// Request from a VM to the allocator of its data centre. Lists every organisation of which the VM holds capacity.
struct GrantRequest {
    VmId holder;
    uint64_t incarnation = 0; ///< constant for the lifetime of the process; higher after each restart
    uint64_t epoch = 0; ///< epoch the VM has accepted; the allocator ignores requests of other epochs
    uint64_t sequence = 0; ///< increases with each request; the allocator ignores late and repeated requests
    std::vector<GrantDemand> demands;

    friend bool operator==(const GrantRequest&, const GrantRequest&) = default;
};

/// Grant of one organisation in a `GrantResponse`.
struct GrantedCapacity {
    OrganisationId organisation;
    Capacity capacity; ///< the new total, not a difference
    uint64_t addedMilliTokens = 0; ///< tokens transferred by this response, once

    friend bool operator==(const GrantedCapacity&, const GrantedCapacity&) = default;
};

/// Response of the allocator. The holder counts `validity` from the time before it sent the request.
struct GrantResponse {
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    Duration validity {};
    bool moves = false; ///< false while grants are only renewed and returned capacity is not given to other VMs
    std::vector<GrantedCapacity> grants;

    friend bool operator==(const GrantResponse&, const GrantResponse&) = default;
};

/// Message from an allocator to a VM: the VM rejects lower epochs from then on, reports its grants and sends a grant
/// request. Sent again in the same epoch as a recall, with an organisation whose unused tokens other VMs need.
struct AllocatorClaim {
    DataCentre dataCentre;
    VmId allocator;
    uint64_t epoch = 0;
    OrganisationId recalled; ///< empty unless this is a recall

    friend bool operator==(const AllocatorClaim&, const AllocatorClaim&) = default;
};

/// Response of a VM to a claim that it accepted.
struct ClaimReport {
    VmId holder;
    uint64_t incarnation = 0;
    uint64_t epoch = 0; ///< epoch of the claim
    uint64_t sequence = 0; ///< last sequence that the VM has sent; the report supersedes requests up to it
    std::vector<GrantDemand> held;

    friend bool operator==(const ClaimReport&, const ClaimReport&) = default;
};

/// Use of the bucket of one organisation since the previous measurement.
struct MeasuredDemand {
    OrganisationId organisation;
    uint64_t admitted = 0;
    uint64_t refused = 0; ///< attempts that found no token; a waiting request may make several
    uint64_t milliTokens = 0; ///< tokens in the bucket now

    friend bool operator==(const MeasuredDemand&, const MeasuredDemand&) = default;
};

/// Timer event of the holder, sent no later than `GrantHolder::wakeAt`.
struct HolderTick {
    Instant now;
};

/// Counts of the admission table, sent every 100 ms.
struct DemandMeasured {
    Instant now;
    std::vector<MeasuredDemand> demands;
};

/// A request of the organisation found no token.
struct ShortageObserved {
    Instant now;
    OrganisationId organisation;
};

/// An allocator sent a claim to this VM.
struct ClaimReceived {
    Instant now;
    AllocatorClaim claim;
};

/// The allocator accepted the request.
struct GrantAnswered {
    Instant now;
    GrantResponse response;
};

/// The allocator refused the request or did not respond in time.
struct GrantFailed {
    Instant now;
    uint64_t sequence = 0;
};

/// Tokens removed from one bucket by `LowerGrants`.
struct LoweredGrant {
    OrganisationId organisation;
    uint64_t removedMilliTokens = 0;

    friend bool operator==(const LoweredGrant&, const LoweredGrant&) = default;
};

/// Result of a `LowerGrants` effect.
struct GrantsLowered {
    Instant now;
    std::vector<LoweredGrant> grants;
};

/// This VM stops admitting requests and returns all capacity.
struct HolderStopping {
    Instant now;
};

using HolderEvent = std::variant<HolderTick, DemandMeasured, ShortageObserved, ClaimReceived, GrantAnswered,
    GrantFailed, GrantsLowered, HolderStopping>;

/// Effect: send the request to the allocator.
struct SendGrantRequest {
    VmId allocator;
    GrantRequest request;

    friend bool operator==(const SendGrantRequest&, const SendGrantRequest&) = default;
};

/// Effect: set the capacity of a bucket, which is never below its current one, and add the tokens.
struct ApplyGrant {
    OrganisationId organisation;
    Capacity capacity;
    uint64_t addedMilliTokens = 0;
    Instant validUntil;

    friend bool operator==(const ApplyGrant&, const ApplyGrant&) = default;
};

/// Reduction of one bucket in a `LowerGrants` effect.
struct GrantLowering {
    OrganisationId organisation;
    Capacity capacity; ///< new total
    /// Tokens to remove if the bucket has them; at most the reduction of the burst. Tokens beyond the new burst are
    /// always removed.
    uint64_t offeredMilliTokens = 0;

    friend bool operator==(const GrantLowering&, const GrantLowering&) = default;
};

/// Effect: lower the buckets and report the removed tokens immediately as `GrantsLowered`.
struct LowerGrants {
    std::vector<GrantLowering> grants;

    friend bool operator==(const LowerGrants&, const LowerGrants&) = default;
};

/// Effect: respond to the claim being handled. The report of a refused claim carries the epoch that the VM has
/// accepted.
struct AnswerClaim {
    bool accepted = false;
    ClaimReport report;

    friend bool operator==(const AnswerClaim&, const AnswerClaim&) = default;
};

using HolderEffect = std::variant<SendGrantRequest, ApplyGrant, LowerGrants, AnswerClaim>;

/// Timer event of the allocator, sent every 100 ms.
struct AllocatorTick {
    Instant now;
};

/// Configured limit of one organisation.
struct OrganisationLimit {
    OrganisationId organisation;
    RateLimit limit;

    friend bool operator==(const OrganisationLimit&, const OrganisationLimit&) = default;
};

/// A configuration was applied: its data centres in declared order, and all limits.
struct LimitsConfigured {
    Instant now;
    uint64_t configurationVersion = 0;
    std::vector<DataCentre> dataCentres;
    std::vector<OrganisationLimit> limits;
};

/// The set of live VMs of this data centre changed. Includes this VM.
struct LiveVmsChanged {
    Instant now;
    std::vector<VmId> vms;
};

/// A VM sent a grant request to this allocator.
struct GrantRequested {
    Instant now;
    GrantRequest request;
};

/// A VM responded to a claim of this allocator.
struct ClaimAnswered {
    Instant now;
    ClaimReport report;
};

/// A VM has accepted this epoch. An allocator with a lower epoch steps down.
struct EpochObserved {
    Instant now;
    uint64_t epoch = 0;
};

/// Result of `AllocatorRead` or `AllocatorTransact`.
struct AllocatorTableAnswered {
    Instant now;
    uint64_t operation = 0;
    TableResult result;
};

/// This VM stops and releases the lease. It has already returned its own grants.
struct AllocatorStopping {
    Instant now;
};

using AllocatorEvent = std::variant<AllocatorTick, LimitsConfigured, LiveVmsChanged, GrantRequested, ClaimAnswered,
    EpochObserved, AllocatorTableAnswered, AllocatorStopping>;

/// Effect: read the rows from the table.
struct AllocatorRead {
    uint64_t operation = 0;
    std::vector<std::string> keys;

    friend bool operator==(const AllocatorRead&, const AllocatorRead&) = default;
};

/// Effect: execute the transaction on the table.
struct AllocatorTransact {
    uint64_t operation = 0;
    TableTransaction transaction;

    friend bool operator==(const AllocatorTransact&, const AllocatorTransact&) = default;
};

/// Effect: send the claim to the VM.
struct SendClaim {
    VmId vm;
    AllocatorClaim claim;

    friend bool operator==(const SendClaim&, const SendClaim&) = default;
};

/// Effect: respond to the request being handled. `accepted` is false if this VM cannot answer it, for instance because
/// it is not the allocator of that epoch or the request is a repeat.
struct AnswerGrant {
    bool accepted = false;
    VmId holder;
    GrantResponse response;

    friend bool operator==(const AnswerGrant&, const AnswerGrant&) = default;
};

/// Effect: `AllocatorStopping` is complete; the lease was released or was not held.
struct AllocatorStopped {
    friend bool operator==(const AllocatorStopped&, const AllocatorStopped&) = default;
};

using AllocatorEffect = std::variant<AllocatorRead, AllocatorTransact, SendClaim, AnswerGrant, AllocatorStopped>;

} // namespace Lavendervane
