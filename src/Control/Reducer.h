#pragma once

#include "Control/ControlState.h"
#include "Control/Reduce.h"

#include <optional>
#include <utility>

namespace Lavendervane {

/// One run of `reduce`: dispatches an event to the sub-reducers and collects the effects.
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
    /// Effects that are handed on as they are.
    template <typename Effect> void handleEffect(Effect&& effect)
    {
        this->effects.emplace_back(std::forward<Effect>(effect));
    }

    void mergeGossip(Instant, const GossipMessage&);
    void pushGossip(const std::vector<GroupView>&);
    GossipMessage makeGossipMessage(std::vector<Member> updates);
    std::vector<GroupView> nextViewsToSend();
    void probeSeedsIfDue();
    void updateKeyValidity();
    void fetchVmListIfDue();
    bool shouldReadConfiguration() const;
    void configureGroups(const Configuration& previous);
    void updatePlacement();
    void updateWatchRanks();
    void updateLocalVms();
    void configureLimits();
    const Member* findMember(const VmId&) const;
    void markSnapshotChanged();

    ControlState& state;
    Instant now;
    Effects effects;
    bool snapshotChanged = false;
    std::optional<uint64_t> remoteCall; ///< grant request or claim of a peer that is handled; none for one of this VM
    uint64_t localRequestSequence = 0; ///< of the grant request of this VM that is handled
};

} // namespace Lavendervane
