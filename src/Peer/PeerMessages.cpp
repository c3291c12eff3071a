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
    // A state that a newer version added is taken for the most careful one that is known here.
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

template <typename Message> static void writeNews(const GossipMessage& news, Message& message)
{
    write(news.from, *message.mutable_from());
    for (const Member& member : news.updates)
        write(member, *message.add_updates());
    message.set_configuration_version(news.configurationVersion);
    for (const GroupView& view : news.views)
        write(view, *message.add_group_views());
}

template <typename Message> static GossipMessage readNews(const Message& message)
{
    GossipMessage news;
    news.from = parseMember(message.from());
    for (const auto& member : message.updates())
        news.updates.push_back(parseMember(member));
    news.configurationVersion = message.configuration_version();
    for (const auto& view : message.group_views())
        news.views.push_back(parseView(view));
    return news;
}

void write(const GossipMessage& news, lavendervane::ProbeRequest& message) { writeNews(news, message); }

void write(const GossipMessage& news, lavendervane::ProbeResponse& message) { writeNews(news, message); }

GossipMessage parseNews(const lavendervane::ProbeRequest& message) { return readNews(message); }

GossipMessage parseNews(const lavendervane::ProbeResponse& message) { return readNews(message); }

} // namespace Lavendervane
