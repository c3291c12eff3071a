#include "Daemon/MakeStatus.h"

#include "Configuration/Configuration.h"
#include "Control/ControlState.h"

#include "operator.pb.h"

namespace Lavendervane {

static const char* describe(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

static void addVm(lavendervane::StatusResponse& response, const Member& member, uint64_t version)
{
    auto& vm = *response.add_vms();
    vm.set_vm(member.vm.str());
    vm.set_data_centre(member.dataCentre.str());
    vm.set_state(describe(member.state));
    vm.set_configuration_version(version);
    vm.set_reachable(member.state == MemberState::Alive || member.state == MemberState::Leaving);
}

static void addGroup(lavendervane::StatusResponse& response, const ControlState& state, const DatabaseGroup& group)
{
    auto& message = *response.add_groups();
    message.set_group(group.name.str());
    const GroupView* view = state.groups.findView(group.name);
    if (view) {
        message.set_term(view->term.counter);
        message.set_term_vm(view->term.vm.str());
        if (view->primary)
            message.set_primary(view->primary->str());
    }
    for (const Endpoint& endpoint : group.endpoints) {
        auto& entry = *message.add_endpoints();
        entry.set_endpoint(endpoint.name.str());
        entry.set_primary(view && view->primary == endpoint.name);
        entry.set_reachable(state.groups.isReachable(endpoint.name));
        if (const EndpointStatus* status = state.groups.findStatus(endpoint.name)) {
            entry.set_position(status->position);
            entry.set_lag_ms(
                static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(status->lag).count()));
        }
    }
}

void replyWithStatus(
    const ControlState& state, const std::map<VmId, uint64_t>& peerVersions, const OperatorHandler::StatusReply& reply)
{
    lavendervane::StatusResponse response;
    addVm(response, state.membership.self(), state.configuration->version);
    for (const auto& [vm, member] : state.membership.members()) {
        const auto version = peerVersions.find(vm);
        addVm(response, member, version == peerVersions.end() ? 0 : version->second);
    }
    for (const auto& [name, group] : state.configuration->groups)
        addGroup(response, state, group);
    for (const auto& [name, organisation] : state.configuration->organisations) {
        auto& message = *response.add_organisations();
        message.set_organisation(name.str());
        message.set_rate(organisation.limit.rate);
        message.set_burst(organisation.limit.burst);
        message.set_held_milli_rate(state.holder.held(name).milliRate);
    }
    reply(response);
}

} // namespace Lavendervane
