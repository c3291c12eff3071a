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

    void carryOut(SendProbe&&);
    void carryOut(MembersChanged&&);
    void carryOut(GroupChanged&&);
    void carryOut(FetchChangesFromPeer&&);
    void carryOut(ConfigurationAdvanced&&);
    void carryOut(SendGrantRequest&&);
    void carryOut(SendClaim&&);
    void carryOut(AnswerGrant&&);
    void carryOut(AnswerClaim&&);
    /// Effects that are handed on as they are.
    template <typename Effect> void carryOut(Effect&& effect)
    {
        this->effects.emplace_back(std::forward<Effect>(effect));
    }

    void learn(Instant, const GossipMessage&);
    void push(const std::vector<GroupView>&);
    GossipMessage makeNews(std::vector<Member> updates);
    std::vector<GroupView> nextViews();
    void probeSeeds();
    void checkConfigurationAge();
    void fetchVmList();
    bool readsConfiguration() const;
    void configureGroups(const Configuration& previous);
    void updatePlacement();
    void updateWatchRanks();
    void updateLocalVms();
    void configureLimits();
    const Member* findMember(const VmId&) const;
    void publish();

    ControlState& state;
    Instant now;
    Effects effects;
    bool published = false;
    std::optional<uint64_t> call; ///< grant request or claim of a peer that is handled; none for one of this VM
    uint64_t ownSequence = 0; ///< of the grant request of this VM that is handled
};

} // namespace Lavendervane
