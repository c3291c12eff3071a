#include "Control/MakeTrafficSnapshot.h"

#include "Configuration/Configuration.h"
#include "Control/ControlState.h"

namespace Lavendervane {

static GroupRouting makeGroupRouting(const ControlState& state, const DatabaseGroup& group)
{
    GroupRouting routing;
    routing.group = group.name;
    if (const GroupView* view = state.groups.findView(group.name)) {
        routing.term = view->term;
        routing.primary = view->primary;
    }
    routing.majorityReachable = state.groups.isMajorityReachable(group.name);
    for (const Endpoint& endpoint : group.endpoints)
        routing.endpoints.push_back(endpoint.name);
    return routing;
}

std::shared_ptr<const TrafficSnapshot> makeTrafficSnapshot(const ControlState& state)
{
    auto snapshot = std::make_shared<TrafficSnapshot>();
    snapshot->self = state.settings.self.vm;
    snapshot->dataCentre = state.settings.self.dataCentre;
    snapshot->configuration = state.configuration;
    snapshot->keysValid = state.keysValid;
    for (const auto& [name, group] : state.configuration->groups) {
        snapshot->groups.emplace(name, makeGroupRouting(state, group));
        for (const Endpoint& endpoint : group.endpoints) {
            snapshot->endpoints.emplace(endpoint.name,
                EndpointRouting {
                    endpoint, name, state.placement.owners(endpoint), state.groups.isReachable(endpoint.name) });
        }
    }
    for (const auto& [vm, member] : state.membership.members()) {
        if (member.state != MemberState::Dead) {
            snapshot->peers.emplace(
                vm, PeerRouting { vm, member.address, member.dataCentre, member.state == MemberState::Leaving });
        }
    }
    return snapshot;
}

} // namespace Lavendervane
