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

struct PromotionKeeperSettings {
    /// Pause between two VMs of the order of turns. A claim and an order take about 50 ms.
    Duration turnInterval = std::chrono::milliseconds(120);
    /// Longest pause before this VM's turn. In large fleets the pauses between VMs are shorter, so that the turns of
    /// the few VMs that notice first are not all late; the claim sorts out those that meet.
    Duration longestTurn = std::chrono::seconds(2);
    /// Life of a claim, by the table's clock: an inspection, an order and its effect take under 2 s.
    uint64_t claimMs = 3000;
    /// A promotion takes about this long until one has been seen.
    Duration assumedPromotion = std::chrono::milliseconds(1000);
    /// After this time without the new primary in the registry, the order counts as lost.
    Duration effectTimeout = std::chrono::milliseconds(3000);
    /// Pause after a step that failed or after peers did not agree.
    Duration retryPause = std::chrono::milliseconds(300);
    /// Pause between two looks at whether a replica has caught up with a primary that has stepped down.
    Duration catchUpInterval = std::chrono::milliseconds(15);
    /// Longest wait for that. Healthy replicas are less than 150 ms behind.
    Duration catchUpTimeout = std::chrono::milliseconds(1500);
};

/// Replaces primaries that most VMs cannot reach, and primaries that leave. Every VM runs one; a claim row in the
/// platform's table lets one of them act at a time, and its revision is the fencing token of the order. Holds no clock
/// and makes no calls.
class PromotionKeeper {
public:
    PromotionKeeper(VmId own, std::string run, PromotionKeeperSettings);

    std::vector<PromotionEffect> handle(const PromotionEvent&, Instant now);

    /// The one endpoint that counts as the primary of the group; nothing if none is known.
    std::optional<EndpointId> primaryOf(const GroupId&) const;

    /// Key of the claim row of a group.
    static std::string claimKey(const GroupId&);

private:
    using Effects = std::vector<PromotionEffect>;

    enum class Phase {
        Idle,
        WaitingForTurn,
        AskingPeers,
        ReadingClaim,
        Claiming,
        Inspecting,
        SteppingDown,
        CatchingUp,
        Ordering,
        AwaitingEffect,
    };

    struct Member {
        bool primary = false;
        bool draining = false;

        friend bool operator==(const Member&, const Member&) = default;
    };

    struct Group {
        GroupId name;
        std::map<EndpointId, Member> members;
        EndpointId primary; ///< empty if the registry names none
        uint32_t synchronousReplicas = 0;
        bool unreachable = false; ///< the primary, from this VM
        Phase phase = Phase::Idle;
        uint64_t attempt = 0; ///< makes answers to earlier attempts recognisable
        EndpointId replaced; ///< primary at the start of the attempt
        bool planned = false; ///< the primary leaves and is still there
        uint64_t token = 0;
        std::optional<LogPosition> lastPosition; ///< of the primary that has stepped down
        Instant catchUpUntil {};
        EndpointId chosen;
        Instant ordered {};
        uint64_t claimRevision = 0;
    };

    Effects registryRead(const RegistrySeen&, Instant now);
    Effects reachabilityChanged(const EndpointReachability&, Instant now);
    Effects timerFired(const PromotionTimer&, Instant now);
    Effects opinionsCollected(const OpinionsCollected&, Instant now);
    Effects claimRead(const ClaimRead&, Instant now);
    Effects claimWritten(const ClaimWritten&, Instant now);
    Effects inspected(const EndpointsInspected&, Instant now);
    Effects steppedDown(const SteppedDown&, Instant now);
    Effects orderAnswered(const OrderAnswered&, Instant now);
    Effects noticeReceived(const PromotionNoticed&, Instant now);

    bool needsPromotion(const Group&) const;
    Effects consider(Group&, Instant now);
    Effects startTurn(Group&, Instant now);
    Effects inspect(Group&);
    bool mayLackAcknowledged(const Group&, size_t replicasHeard) const;
    Effects order(Group&, const EndpointId&, Instant now);
    Effects retry(Group&, Instant now, const std::string& reason);
    Effects wakeAt(const Group&, Instant when) const;
    Group* find(const GroupId&, uint64_t attempt, Phase);
    Duration turnOf(const GroupId&) const;

    VmId own;
    std::string run;
    PromotionKeeperSettings settings;
    Duration promotionTime;
    std::vector<VmId> fleet;
    std::map<GroupId, Group> groups;
};

} // namespace Lavendervane
