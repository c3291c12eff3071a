#pragma once

#include "Core/Instant.h"
#include "Core/RandomGenerator.h"
#include "Fleet/Directory.h"
#include "Fleet/TableStore.h"
#include "Promotion/PromotionMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct PromotionCoordinatorSettings {
    /// Pause between two VMs of the order of turns. A claim and an order take about 50 ms.
    Duration delayPerRank = std::chrono::milliseconds(120);
    /// Longest pause before this VM's turn. In large fleets the pauses between VMs are shorter, so that the turns of
    /// the few VMs that notice first are not all late; the claim sorts out those that meet.
    Duration maxRankDelay = std::chrono::seconds(2);
    /// Life of a claim, by the table's clock: an inspection, an order and its effect take under 2 s.
    uint64_t leaseMs = 3000;
    /// A promotion takes about this long until one has been seen.
    Duration assumedPromotionTime = std::chrono::milliseconds(1000);
    /// After this time without the new primary in the registry, the order counts as lost.
    Duration newPrimaryTimeout = std::chrono::milliseconds(3000);
    /// Pause after a step that failed or after peers did not agree.
    Duration retryDelay = std::chrono::milliseconds(300);
    /// Pause between two looks at whether a replica has caught up with a primary that has stepped down.
    Duration catchUpInterval = std::chrono::milliseconds(15);
    /// Longest wait for that. Healthy replicas are less than 150 ms behind.
    Duration catchUpTimeout = std::chrono::milliseconds(1500);
};

/// Replaces primaries that most VMs cannot reach, and primaries that leave. Every VM runs one; a claim row in the
/// platform's table lets one of them act at a time, and its revision is the fencing token of the order. Holds no clock
/// and makes no calls.
class PromotionCoordinator {
public:
    PromotionCoordinator(VmId self, std::string runId, PromotionCoordinatorSettings);

    std::vector<PromotionEffect> handle(const PromotionEvent&, Instant now);

    /// The one endpoint that counts as the primary of the group; nothing if none is known.
    std::optional<EndpointId> primaryOf(const GroupId&) const;

    /// Key of the claim row of a group.
    static std::string leaseKey(const GroupId&);

private:
    using Effects = std::vector<PromotionEffect>;

    enum class Phase {
        Idle,
        WaitingForRank,
        PollingPeers,
        ReadingLease,
        WritingLease,
        QueryingStatuses,
        SteppingDown,
        CatchingUp,
        Ordering,
        AwaitingNewPrimary,
    };

    struct Member {
        bool isPrimary = false;
        bool isDraining = false;

        friend bool operator==(const Member&, const Member&) = default;
    };

    struct Group {
        GroupId name;
        std::map<EndpointId, Member> members;
        EndpointId primary; ///< empty if the registry names none
        uint32_t synchronousReplicas = 0;
        bool primaryUnreachable = false; ///< the primary, from this VM
        Phase phase = Phase::Idle;
        uint64_t attempt = 0; ///< makes answers to earlier attempts recognisable
        EndpointId oldPrimary; ///< primary at the start of the attempt
        bool oldPrimaryIsLeaving = false; ///< the primary leaves and is still there
        uint64_t token = 0;
        std::optional<LogPosition> finalPosition; ///< of the primary that has stepped down
        Instant catchUpDeadline {};
        EndpointId promotedEndpoint;
        Instant orderedAt {};
        uint64_t leaseRevision = 0;
    };

    Effects handleRegistryUpdate(const RegistryUpdated&, Instant now);
    Effects handleReachabilityChange(const EndpointReachabilityChanged&, Instant now);
    Effects handleTimer(const PromotionTimerFired&, Instant now);
    Effects handleReachabilityPoll(const ReachabilityPolled&, Instant now);
    Effects handleLeaseRead(const LeaseReadAnswered&, Instant now);
    Effects handleLeaseWrite(const LeaseWriteAnswered&, Instant now);
    Effects handleStatuses(const EndpointStatusesReceived&, Instant now);
    Effects handleStepDownAnswer(const StepDownAnswered&, Instant now);
    Effects handleOrderAnswer(const PromotionOrderAnswered&, Instant now);
    Effects handleNotice(const PromotionNoticeReceived&, Instant now);

    bool needsPromotion(const Group&) const;
    Effects scheduleIfNeeded(Group&, Instant now);
    Effects startAttempt(Group&, Instant now);
    Effects queryStatuses(Group&);
    bool mayLackAcknowledgedCommit(const Group&, size_t replicasHeard) const;
    Effects orderPromotion(Group&, const EndpointId&, Instant now);
    Effects retryLater(Group&, Instant now, const std::string& reason);
    Effects setTimer(const Group&, Instant when) const;
    Group* findInPhase(const GroupId&, uint64_t attempt, Phase);
    Duration rankDelay(const GroupId&) const;

    VmId self;
    std::string runId;
    PromotionCoordinatorSettings settings;
    Duration lastPromotionTime;
    std::vector<VmId> vms;
    std::map<GroupId, Group> groups;
};

} // namespace Lavendervane
