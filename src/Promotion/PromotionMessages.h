#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "Fleet/TableStore.h"
#include "Statements/StatementAnswer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

// Events. `attempt` repeats the number of the effect that asked.

/// Content of the registry.
struct RegistryUpdated {
    std::vector<RegisteredEndpoint> endpoints;
    /// Replicas that hold a commit before it is acknowledged; groups that are missing have none.
    std::map<GroupId, uint32_t> synchronousReplicas;
};

/// VMs that share the work, this one included.
struct VmsChanged {
    std::vector<VmId> vms;
};

struct EndpointReachabilityChanged {
    GroupId group;
    EndpointId endpoint;
    bool reachable = true;
};

/// What other VMs said of the primary.
struct ReachabilityPolled {
    GroupId group;
    uint64_t attempt = 0;
    uint32_t asked = 0;
    uint32_t reachable = 0;
    uint32_t unreachable = 0;
};

struct LeaseReadAnswered {
    GroupId group;
    uint64_t attempt = 0;
    TableReply reply;
};

struct LeaseWriteAnswered {
    GroupId group;
    uint64_t attempt = 0;
    TableReply reply;
};

/// Answers of endpoints to the question for their status; those that did not answer are missing.
struct EndpointStatusesReceived {
    GroupId group;
    uint64_t attempt = 0;
    std::map<EndpointId, EndpointStatus> statuses;
};

struct StepDownAnswered {
    GroupId group;
    uint64_t attempt = 0;
    std::optional<EndpointStatus> status; ///< empty if the primary did not answer
};

/// How an order to promote ended.
enum class PromotionOrderStatus {
    Accepted,
    Refused, ///< a higher token has been used, or the endpoint does not run
    NotCarriedOut, ///< the platform did not take the order
    Unknown, ///< no answer; it may still be carried out
};

struct PromotionOrderAnswered {
    GroupId group;
    uint64_t attempt = 0;
    PromotionOrderStatus status = PromotionOrderStatus::Unknown;
};

/// Another VM has ordered a promotion.
struct PromotionNoticeReceived {
    GroupId group;
};

struct PromotionTimerFired {
    GroupId group;
    uint64_t attempt = 0;
};

using PromotionEvent = std::variant<RegistryUpdated, VmsChanged, EndpointReachabilityChanged, ReachabilityPolled,
    LeaseReadAnswered, LeaseWriteAnswered, EndpointStatusesReceived, StepDownAnswered, PromotionOrderAnswered,
    PromotionNoticeReceived, PromotionTimerFired>;

// Effects.

struct PollReachability {
    GroupId group;
    uint64_t attempt = 0;
    EndpointId endpoint;
};

struct ReadLease {
    GroupId group;
    uint64_t attempt = 0;
    std::string key;
};

struct WriteLease {
    GroupId group;
    uint64_t attempt = 0;
    TableTransaction transaction;
};

struct QueryEndpointStatuses {
    GroupId group;
    uint64_t attempt = 0;
    std::vector<EndpointId> endpoints;
};

struct StepDownPrimary {
    GroupId group;
    uint64_t attempt = 0;
    EndpointId endpoint;
    uint64_t term = 0;
};

struct OrderPromotion {
    GroupId group;
    uint64_t attempt = 0;
    EndpointId endpoint;
    uint64_t token = 0;
};

/// Traffic here and at other VMs may expect the new primary at this time.
struct AnnouncePromotion {
    GroupId group;
    EndpointId endpoint;
    Duration expectedIn {};
};

struct SetPromotionTimer {
    GroupId group;
    uint64_t attempt = 0;
    Instant when;
};

/// Line for the log.
struct LogPromotionStep {
    GroupId group;
    std::string step;
    std::string detail;
};

using PromotionEffect = std::variant<PollReachability, ReadLease, WriteLease, QueryEndpointStatuses, StepDownPrimary,
    OrderPromotion, AnnouncePromotion, SetPromotionTimer, LogPromotionStep>;

/// Orders promotions at the platform.
class PromotionOrders {
public:
    virtual ~PromotionOrders() = default;

    /// `holder` and `token` identify who orders; the platform refuses a lower token than it has seen for the group.
    virtual void promote(const GroupId&, const EndpointId&, const VmId& holder, uint64_t token,
        std::function<void(PromotionOrderStatus)>)
        = 0;
};

} // namespace Lavendervane
