#include "Peer/PeerMessages.h"

#include "peer.pb.h"

#include <algorithm>

namespace Lavendervane {

void write(const Member& member, lavendervane::MemberMessage& message)
{
    message.set_vm(member.vm.str());
    message.set_address(member.address);
    message.set_data_centre(member.dataCentre.str());
    message.set_incarnation(member.incarnation);
    message.set_state(static_cast<uint32_t>(member.state));
}

Member parseMember(const lavendervane::MemberMessage& message)
{
    // A state that only a newer version knows is treated as Dead, the most cautious known state.
    const auto state = std::min(message.state(), static_cast<uint32_t>(MemberState::Dead));
    return { VmId(message.vm()), message.address(), DataCentre(message.data_centre()), message.incarnation(),
        static_cast<MemberState>(state) };
}

static void write(const GroupView& view, lavendervane::GroupViewMessage& message)
{
    message.set_group(view.group.str());
    message.mutable_term()->set_counter(view.term.counter);
    message.mutable_term()->set_vm(view.term.vm.str());
    if (view.primary)
        message.set_primary(view.primary->str());
}

static GroupView parseView(const lavendervane::GroupViewMessage& message)
{
    GroupView view { GroupId(message.group()), { message.term().counter(), VmId(message.term().vm()) }, std::nullopt };
    if (!message.primary().empty())
        view.primary = EndpointId(message.primary());
    return view;
}

template <typename Message> static void writeGossipFields(const GossipMessage& gossip, Message& message)
{
    write(gossip.from, *message.mutable_from());
    for (const Member& member : gossip.updates)
        write(member, *message.add_updates());
    message.set_configuration_version(gossip.configurationVersion);
    for (const GroupView& view : gossip.views)
        write(view, *message.add_group_views());
}

template <typename Message> static GossipMessage parseGossipFields(const Message& message)
{
    GossipMessage gossip;
    gossip.from = parseMember(message.from());
    for (const auto& member : message.updates())
        gossip.updates.push_back(parseMember(member));
    gossip.configurationVersion = message.configuration_version();
    for (const auto& view : message.group_views())
        gossip.views.push_back(parseView(view));
    return gossip;
}

void write(const GossipMessage& gossip, lavendervane::ProbeRequest& message) { writeGossipFields(gossip, message); }

void write(const GossipMessage& gossip, lavendervane::ProbeResponse& message) { writeGossipFields(gossip, message); }

GossipMessage parseGossipMessage(const lavendervane::ProbeRequest& message) { return parseGossipFields(message); }

GossipMessage parseGossipMessage(const lavendervane::ProbeResponse& message) { return parseGossipFields(message); }

} // namespace Lavendervane
