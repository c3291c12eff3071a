#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "Fleet/TableStore.h"
#include "Limits/ShareLedger.h"
#include "PrimaryLease/PrimaryRevocation.h"
#include "Promotion/CommitEvidence.h"
#include "Promotion/GroupRecord.h"
#include "Statements/StatementAnswer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

// Events. `attempt` in an answer equals `attempt` of the effect that requested it.

/// The endpoints in the registry or the declared replication of the groups may have changed.
struct RegistryUpdated {
    std::vector<RegisteredEndpoint> endpoints;
    /// Number of replicas that must store a commit before it is acknowledged. Groups without an entry have none.
    std::map<GroupId, uint32_t> synchronousReplicas;
};

/// The set of live VMs has changed.
struct VmsChanged {
    std::vector<VmId> vms; ///< includes this VM
};

/// This VM can no longer reach an endpoint, or can reach it again.
struct EndpointReachabilityChanged {
    GroupId group;
    EndpointId endpoint;
    bool reachable = true;
};

/// Result of PollReachability: how many other VMs were asked, and how many of them can or cannot reach the primary.
struct ReachabilityPolled {
    GroupId group;
    uint64_t attempt = 0;
    uint32_t asked = 0;
    uint32_t reachable = 0;
    uint32_t unreachable = 0;
    uint64_t newestTerm = 0; ///< newest term of the group that another VM has reported; 0 if none is known
    std::vector<CommitEvidence> commits {}; ///< of the VMs that answered, and of this one
};

/// Result of ReadLease.
struct LeaseReadAnswered {
    GroupId group;
    uint64_t attempt = 0;
    TableReply reply;
};

/// Result of WriteLease.
struct LeaseWriteAnswered {
    GroupId group;
    uint64_t attempt = 0;
    TableReply reply;
};

/// Result of ReadFleet.
struct FleetReadAnswered {
    GroupId group;
    uint64_t attempt = 0;
    /// All VMs that may hold a lease on primaries; nothing if the table could not be read.
    std::optional<std::vector<FleetMember>> members;
};

/// Result of RevokePrimary.
struct PrimaryRevocationFinished {
    GroupId group;
    uint64_t attempt = 0;
    bool complete = false; ///< true if no VM can use the old primary any more
    std::optional<LogPosition> lastAcknowledged {}; ///< nothing behind it was acknowledged, if all VMs confirmed that
};

/// This VM has learnt of a revocation, by another VM or from the platform's table.
struct PrimaryRevocationLearnt {
    PrimaryRevocation revocation;
};

/// Result of QueryEndpointStatuses.
struct EndpointStatusesReceived {
    GroupId group;
    uint64_t attempt = 0;
    std::map<EndpointId, EndpointStatus> statuses; ///< contains only endpoints that answered
    std::set<EndpointId> refused {}; ///< of those that are not registered: nothing listens at their addresses
    std::set<EndpointId> listening {}; ///< of those that are not registered: they accept connections
};

/// Result of StepDownPrimary.
struct StepDownAnswered {
    GroupId group;
    uint64_t attempt = 0;
    std::optional<EndpointStatus> status; ///< empty if the primary did not answer
};

/// Outcome of a promotion order.
enum class PromotionOrderStatus {
    Accepted,
    Refused, ///< the platform has seen a higher fencing token, or the endpoint is not running
    NotCarriedOut, ///< the platform did not process the order
    Unknown, ///< no answer arrived; the platform may still execute the order
};

/// Result of OrderPromotion.
struct PromotionOrderAnswered {
    GroupId group;
    uint64_t attempt = 0;
    PromotionOrderStatus status = PromotionOrderStatus::Unknown;
};

/// Another VM has ordered a promotion in the group.
struct PromotionNoticeReceived {
    GroupId group;
};

/// Replicas of the group receive no commits, and this VM does not know of an attempt that has paused them.
struct PausedReplicasFound {
    GroupId group;
};

/// The timer of SetPromotionTimer has expired.
struct PromotionTimerFired {
    GroupId group;
    uint64_t attempt = 0;
};

using PromotionEvent = std::variant<RegistryUpdated, VmsChanged, EndpointReachabilityChanged, ReachabilityPolled,
    LeaseReadAnswered, LeaseWriteAnswered, EndpointStatusesReceived, StepDownAnswered, PromotionOrderAnswered,
    PromotionNoticeReceived, PromotionTimerFired, FleetReadAnswered, PrimaryRevocationFinished, PrimaryRevocationLearnt,
    TableRestored, PausedReplicasFound>;

// Effects.

/// Asks other VMs whether they can reach the primary.
struct PollReachability {
    GroupId group;
    uint64_t attempt = 0;
    EndpointId endpoint; ///< the primary that this VM knows; empty if it knows none
};

/// Reads the lease row of a group.
struct ReadLease {
    GroupId group;
    uint64_t attempt = 0;
    std::string key;
};

/// Acquires the lease of a group, on condition that its row has not changed since it was read.
struct WriteLease {
    GroupId group;
    uint64_t attempt = 0;
    TableTransaction transaction;
};

/// Reads the list of VMs from the platform's table.
struct ReadFleet {
    GroupId group;
    uint64_t attempt = 0;
};

/// Revokes the permission of all VMs to use the old primary.
struct RevokePrimary {
    uint64_t attempt = 0;
    PrimaryRevocation revocation;
    std::vector<FleetMember> members;
};

/// Command that an endpoint carries out before it reports its status.
enum class ReplicationCommand {
    None,
    Pause, ///< stop receiving commits; ignored unless the term of the command is newer than any known to the replica
    Resume, ///< receive commits again
};

/// Queries role, term and log position of endpoints.
struct QueryEndpointStatuses {
    GroupId group;
    uint64_t attempt = 0;
    std::vector<EndpointId> endpoints;
    ReplicationCommand command = ReplicationCommand::None;
    uint64_t term = 0; ///< of a pause
    std::map<EndpointId, std::string> unregistered {}; ///< further endpoints, by their addresses ("IP:port")
};

/// Asks a primary to become a replica in the given term.
struct StepDownPrimary {
    GroupId group;
    uint64_t attempt = 0;
    EndpointId endpoint;
    uint64_t term = 0;
};

/// Orders the platform to make an endpoint the primary of its group.
struct OrderPromotion {
    GroupId group;
    uint64_t attempt = 0;
    EndpointId endpoint;
    uint64_t token = 0; ///< fencing token
};

/// Records an ordered promotion in the platform's table. Nothing waits for it.
struct RecordLeadership {
    GroupId group;
    LeadershipRecord leadership;
    TableRow row; ///< the group's row as this VM has written it
    uint64_t generation = 0; ///< generation of the table in which it was written
};

/// The group has no primary until replicas answer that may hold acknowledged commits, or has one again.
struct ReportBlockedPromotion {
    GroupId group;
    bool blocked = false;
};

/// Tells the traffic thread and other VMs when to expect the new primary.
struct AnnouncePromotion {
    GroupId group;
    EndpointId endpoint; ///< new primary; empty if it has not been chosen yet
    Duration expectedIn {};
};

/// Schedules PromotionTimerFired.
struct SetPromotionTimer {
    GroupId group;
    uint64_t attempt = 0;
    Instant when;
};

/// Writes a line to the structured log.
struct LogPromotionStep {
    GroupId group;
    std::string step;
    std::string detail;
};

using PromotionEffect = std::variant<PollReachability, ReadLease, WriteLease, QueryEndpointStatuses, StepDownPrimary,
    OrderPromotion, AnnouncePromotion, SetPromotionTimer, LogPromotionStep, ReadFleet, RevokePrimary, RecordLeadership,
    ReportBlockedPromotion>;

/// Client for the platform's promotion orders.
class PromotionOrders {
public:
    virtual ~PromotionOrders() = default;

    /// Orders the platform to promote the endpoint. `holder` is the VM that holds the lease and `token` its fencing
    /// token. The platform refuses a token lower than the highest that it has seen for the group.
    virtual void promote(const GroupId&, const EndpointId&, const VmId& holder, uint64_t token,
        std::function<void(PromotionOrderStatus)>)
        = 0;
};

} // namespace Lavendervane
