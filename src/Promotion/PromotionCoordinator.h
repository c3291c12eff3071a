#pragma once

#include "Core/Instant.h"
#include "Core/RandomGenerator.h"
#include "Fleet/Directory.h"
#include "Fleet/TableStore.h"
#include "Promotion/PromotionMessages.h"
#include "Promotion/Succession.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct PromotionCoordinatorSettings {
    /// Extra start delay per rank of a VM in a group. Acquiring the lease and ordering a promotion take about 50 ms.
    Duration delayPerRank = std::chrono::milliseconds(120);
    /// Upper bound on the start delay. In a large fleet the delay per rank shrinks to fit it; otherwise the few VMs
    /// that detect the failure first could all have high ranks and start late. The lease resolves concurrent attempts.
    Duration maxRankDelay = std::chrono::seconds(2);
    /// Lifetime of a lease by the table's clock. Querying statuses, ordering a promotion and the appearance of the new
    /// primary together take less than 2 s.
    uint64_t leaseMs = 3000;
    /// Duration of the VMs' leases on primaries. Zero if the endpoints give up the lead by themselves when another one
    /// is promoted; a promotion then needs no revocation.
    Duration primaryLease {};
    /// Expected duration of a promotion until this VM has timed one.
    Duration assumedPromotionTime = std::chrono::milliseconds(1000);
    /// Time for the new primary to appear in the registry before the order is considered lost.
    Duration newPrimaryTimeout = std::chrono::milliseconds(3000);
    /// Part of a lease before whose end a VM whose order was not answered renews the lease and orders again.
    Duration renewalMargin = std::chrono::milliseconds(500);
    /// Number of consecutive orders without an answer after which a VM lets its lease expire. Its orders may not
    /// arrive.
    uint32_t maxUnansweredOrders = 4;
    /// Time after the first attempt to replace a primary from which on a replica is promoted that does not know the
    /// newest term, because no other one answers.
    Duration outdatedReplicaTimeout = std::chrono::seconds(10);
    /// Delay before a new attempt after a failed step or a reachability poll without a majority.
    Duration retryDelay = std::chrono::milliseconds(300);
    /// Interval of attempts while the promotion waits for a replica that may hold acknowledged commits.
    Duration blockedRetryInterval = std::chrono::seconds(1);
    /// Interval at which all VMs are asked what they have acknowledged, while a promotion waits for a replica.
    Duration askInterval = std::chrono::seconds(10);
    /// Interval at which replicas are queried while they catch up with a primary that has stepped down.
    Duration catchUpInterval = std::chrono::milliseconds(15);
    /// Maximum time to wait for a replica to catch up. Healthy replicas lag by less than 150 ms.
    Duration catchUpTimeout = std::chrono::milliseconds(1500);
};

/// Promotes a replica when most VMs cannot reach the primary of a group or when the primary is draining or evacuated.
/// Which one may lead is decided by Succession. If an attempt that has kept the primary from acknowledging commits is
/// given up because the primary is well, the primary is restored: it is ordered itself, so that earlier orders are
/// refused, and its replicas receive again.
/// An endpoint in an evacuated data centre is never promoted. Every VM runs a coordinator. A lease row in the
/// platform's table allows one VM to act at a time, and the revision of that row together with the generation of the
/// table is the fencing token of the promotion order. The class is a pure state machine: it reads no clock and does no
/// I/O.
class PromotionCoordinator {
public:
    PromotionCoordinator(VmId self, std::string runId, PromotionCoordinatorSettings);

    /// Processes an event and returns the effects that the caller must carry out.
    std::vector<PromotionEffect> handle(const PromotionEvent&, Instant now);

    /// Returns the endpoint that is treated as the group's only primary, or nothing if none is known.
    std::optional<EndpointId> primaryOf(const GroupId&) const;

    /// Returns the key of the table row that holds the lease of a group.
    static std::string leaseKey(const GroupId&);

    /// Prefix of the keys of all such rows.
    static constexpr const char* leaseKeyPrefix = "promotion/";

    /// Returns the revocation that a row records; nothing if the row is unreadable or records none.
    static std::optional<PrimaryRevocation> storedRevocation(const TableRow&);

    /// Returns the transactions that record revocations again that are missing in the rows of a table, because it was
    /// restored from an older copy. `generation` is that of the table when the rows were read.
    static std::vector<TableTransaction> recordAgain(
        const std::map<GroupId, PrimaryRevocation>& known, const std::vector<TableRow>&, uint64_t generation);

private:
    using Effects = std::vector<PromotionEffect>;

    enum class Phase {
        Idle,
        WaitingForRank,
        PollingPeers,
        ReadingLease,
        WritingLease,
        ReadingFleet,
        RevokingPrimary,
        QueryingStatuses,
        PausingReplicas,
        SteppingDown,
        CatchingUp,
        Ordering,
        AwaitingNewPrimary,
    };

    struct Member {
        bool isPrimary = false;
        bool isDraining = false;
        bool isEvacuated = false;
        std::string address;
        uint64_t startedAt = 0; ///< Unix time in ms

        bool isLeaving() const { return this->isDraining || this->isEvacuated; }

        friend bool operator==(const Member&, const Member&) = default;
    };

    struct Group {
        GroupId name;
        std::map<EndpointId, Member> members;
        EndpointId primary; ///< empty if the registry lists no primary
        EndpointId lastPrimary; ///< last known primary, which may be running although the registry does not list it
        std::string lastPrimaryAddress;
        bool hasWaitedForPrimary = false; ///< other VMs had time to replace a primary that this VM does not know
        PrimaryRevocation revocation; ///< newest known one; its endpoint is empty if none is revoked
        Succession succession;
        uint32_t synchronousReplicas = 0;
        bool replicasPaused = false; ///< replicas may receive nothing, because of an attempt of this or another VM
        bool pauseUnconfirmed = false; ///< the endpoints do not confirm that they pause; the primary is revoked instead
        bool asksAllVms = false; ///< the primary is revoked so that all VMs tell what they have acknowledged
        Instant nextAsk {}; ///< the VMs are not asked before
        bool revocationIncomplete = false; ///< a VM has not confirmed; nothing waits for it if replicas can be paused
        LogPosition acknowledgedUpTo; ///< newest end of the log that a VM has seen in the answer to a commit
        std::optional<LogPosition> lastAcknowledged; ///< by the revocation of this attempt
        bool isBlocked = false; ///< the promotion waits for a replica that may hold acknowledged commits
        Instant ordersSettledAt {}; ///< by then, an order that was received has taken effect
        bool primaryUnreachable = false; ///< this VM cannot reach the primary
        Phase phase = Phase::Idle;
        uint64_t attempt = 0; ///< number of the current attempt; answers to earlier attempts are ignored
        EndpointId oldPrimary; ///< primary at the start of the attempt
        bool isRestoring = false; ///< the attempt restores the primary
        bool liftsRevocation = false; ///< the attempt lifts the revocation of an endpoint that was replaced before
        CommitBarrier barrier = CommitBarrier::None;
        uint64_t pauseTerm = 0; ///< of the pause in this attempt
        bool oldPrimaryIsLeaving = false; ///< true if the old primary is draining or evacuated but still reachable
        uint64_t leaseGeneration = 0; ///< generation of the table in which the lease was read
        GroupRecord lease; ///< the group's row as this VM has written it
        uint64_t leaseRevision = 0; ///< revision of that row
        uint64_t token = 0; ///< fencing token of the promotion order
        std::optional<LogPosition> finalPosition; ///< end of the old primary's log after it stepped down
        Instant catchUpDeadline {};
        EndpointId promotedEndpoint;
        Instant orderedAt {};
        Instant leaseExpiry {}; ///< this VM must not order a promotion later
        bool hasUnconfirmedOrder = false; ///< an order for `promotedEndpoint` may still be executed
        uint32_t unansweredOrders = 0; ///< consecutive orders of this VM without an answer
        bool keepsLease = false; ///< this VM renews its lease and orders again
        std::optional<Instant> replacingSince; ///< first attempt since the primary was last reachable

        /// Returns true if the endpoint must not be used as the primary any more.
        bool isRevoked(const EndpointId&) const;

        /// Returns true if the endpoint's data centre is evacuated.
        bool isEvacuated(const EndpointId&) const;

        /// Returns the address of the endpoint; empty if it is not registered.
        std::string addressOf(const EndpointId&) const;

        void setLastPrimary(const EndpointId&);

        /// Returns the endpoint that most recently registered as primary. `before` holds the members before the last
        /// change of the registry.
        EndpointId newestPrimary(const std::map<EndpointId, Member>& before) const;
    };

    Effects handleRegistryUpdate(const RegistryUpdated&, Instant now);
    Effects handleReachabilityChange(const EndpointReachabilityChanged&, Instant now);
    Effects handleTimer(const PromotionTimerFired&, Instant now);
    Effects handleReachabilityPoll(const ReachabilityPolled&, Instant now);
    Effects handleLeaseRead(const LeaseReadAnswered&, Instant now);
    Effects handleLeaseWrite(const LeaseWriteAnswered&, Instant now);
    Effects handleFleetRead(const FleetReadAnswered&, Instant now);
    Effects handleRevocationFinished(const PrimaryRevocationFinished&, Instant now);
    Effects handleRevocationLearnt(const PrimaryRevocationLearnt&, Instant now);
    void handleTableRestore(Instant now);
    Effects handleStatuses(const EndpointStatusesReceived&, Instant now);
    Effects handleStepDownAnswer(const StepDownAnswered&, Instant now);
    Effects handleOrderAnswer(const PromotionOrderAnswered&, Instant now);
    Effects handleNotice(const PromotionNoticeReceived&, Instant now);
    Effects handlePausedReplicas(const PausedReplicasFound&, Instant now);

    bool needsPromotion(const Group&) const;
    bool isUnfenced() const { return this->settings.primaryLease > Duration {}; }
    bool requiresRevocation(const Group&) const;
    bool canRestorePrimary(const Group&) const;
    static const EndpointId& currentPrimary(const Group&);
    static std::map<EndpointId, SuccessionMember> successionMembers(const Group&);
    static std::map<EndpointId, std::string> unregisteredHolders(const Group&);
    EndpointId endpointToRevoke(const Group&) const;
    PrimaryRevocation revocationOf(const Group&) const;
    Effects waitForOtherVm(Group&, Instant now);
    Effects scheduleIfNeeded(Group&, Instant now);
    Effects startAttempt(Group&, Instant now);
    Effects readLease(Group&, Instant now);
    Duration leaseLifetime() const;
    Effects queryStatuses(Group&);
    SuccessionQuestion makeQuestion(const Group&, const std::map<EndpointId, EndpointStatus>&, Instant now) const;
    static Effects pauseReplicas(Group&, const SuccessionQuestion&);
    static Effects resumeReplicas(Group&);
    Effects revokeInstead(Group&, Instant now, const std::string& step, const std::string& reason);
    static bool mayHoldAllCommits(const Group&, const SuccessionAnswer&, const SuccessionQuestion&, Instant now);
    bool mayPauseInstead(const Group&) const;
    Effects restorePrimary(Group&, const std::map<EndpointId, EndpointStatus>&, Instant now);
    Effects orderPromotion(Group&, const EndpointId&, const SuccessionQuestion&, Instant now);
    Effects sendOrder(Group&, const EndpointId&, Instant now);
    static void finishAttempt(Group&);
    static void reportBlocked(Group&, bool blocked, Effects&);
    Effects retryLater(Group&, Instant now, const std::string& reason);
    Effects retryAt(Group&, Instant when, const std::string& reason);
    Effects setTimer(const Group&, Instant when) const;
    Group* findInPhase(const GroupId&, uint64_t attempt, Phase);
    Duration rankDelay(const GroupId&) const;

    VmId self;
    std::string runId;
    PromotionCoordinatorSettings settings;
    Duration lastPromotionTime;
    Instant lostLeasesExpireAt {}; ///< by then, leases that the table lost in its last restore have expired
    std::vector<VmId> vms;
    std::map<GroupId, Group> groups;
};

} // namespace Lavendervane
