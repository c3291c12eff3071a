#pragma once

#include "Control/ControlState.h"
#include "Control/Reduce.h"

#include <optional>
#include <utility>

namespace Lavendervane {

/// Implements one call of `reduce`: passes the event to the sub-reducers, handles their effects and collects the
/// effects for the caller.
class Reducer {
public:
    explicit Reducer(ControlState&);

    Effects run(const ControlEvent&);

private:
    void handle(const ControlTick&);
    void handle(const ProbeArrived&);
    void handle(const PeerAnswered&);
    void handle(const TrafficObserved&);
    void handle(const MembershipEvent&);
    void handle(const GroupEvent&);
    void handle(const ChainEvent&);
    void handle(const GrantCallArrived&);
    void handle(const ClaimCallArrived&);
    void handle(const HolderEvent&);
    void handle(const AllocatorEvent&);

    void handleEffect(SendProbe&&);
    void handleEffect(MembersChanged&&);
    void handleEffect(GroupChanged&&);
    void handleEffect(FetchChangesFromPeer&&);
    void handleEffect(ConfigurationAdvanced&&);
    void handleEffect(SendGrantRequest&&);
    void handleEffect(SendClaim&&);
    void handleEffect(AnswerGrant&&);
    void handleEffect(AnswerClaim&&);
    /// Passes an effect on to the caller unchanged.
    template <typename Effect> void handleEffect(Effect&& effect)
    {
        this->effects.emplace_back(std::forward<Effect>(effect));
    }

    /// Takes over the configuration version and the newer group views of a message.
    void mergeGossip(Instant, const GossipMessage&);
    /// Sends the configuration version and the views to `pushFanOut` random peers.
    void pushGossip(const std::vector<GroupView>&);
    GossipMessage makeGossipMessage(std::vector<Member> updates);
    /// Returns the next `viewsPerMessage` views in cyclic order.
    std::vector<GroupView> nextViewsToSend();
    void probeSeedsIfDue();
    void updateKeyValidity();
    void fetchVmListIfDue();
    /// True if this VM should read the configuration chain from the platform.
    bool shouldReadConfiguration() const;
    void configureGroups(const Configuration& previous);
    void updatePlacement();
    void updateWatchRanks();
    void updateLocalVms();
    void configureLimits();
    const Member* findMember(const VmId&) const;
    /// Makes `run` request a new traffic snapshot.
    void markSnapshotChanged();

    ControlState& state;
    Instant now;
    Effects effects;
    bool snapshotChanged = false;
    /// Call of the peer whose grant request or claim is being handled; absent while one of this VM itself is handled.
    std::optional<uint64_t> remoteCall;
    uint64_t localRequestSequence = 0; ///< sequence number of the grant request of this VM that is being handled
};

} // namespace Lavendervane
