#include "Groups/GroupSupervisor.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

GroupSupervisor::GroupSupervisor(GroupSettings settings, VmId self)
    : settings(settings)
    , self(std::move(self))
{
}

std::vector<GroupEffect> GroupSupervisor::handle(const GroupEvent& event)
{
    Effects effects;
    std::visit([this, &effects](const auto& content) { this->on(content, effects); }, event);
    return effects;
}

const GroupView* GroupSupervisor::findView(const GroupId& name) const
{
    const auto found = this->groups.find(name);
    return found == this->groups.end() ? nullptr : &found->second.view;
}

std::vector<GroupView> GroupSupervisor::views() const
{
    std::vector<GroupView> views;
    for (const auto& [name, group] : this->groups) {
        if (group.view.term != Term {})
            views.push_back(group.view);
    }
    return views;
}

bool GroupSupervisor::isMajorityReachable(const GroupId& name) const
{
    const auto found = this->groups.find(name);
    return found == this->groups.end() || !found->second.watch || found->second.watch->isMajorityReachable();
}

bool GroupSupervisor::isReachable(const EndpointId& endpoint) const
{
    const GroupWatch* watch = this->findWatch(endpoint);
    return !watch || watch->isReachable(endpoint);
}

const EndpointStatus* GroupSupervisor::findStatus(const EndpointId& endpoint) const
{
    const GroupWatch* watch = this->findWatch(endpoint);
    const MemberWatch* member = watch ? watch->find(endpoint) : nullptr;
    return member ? member->status() : nullptr;
}

const GroupWatch* GroupSupervisor::findWatch(const EndpointId& endpoint) const
{
    const auto found = this->watchedEndpoints.find(endpoint);
    return found == this->watchedEndpoints.end() ? nullptr : &*this->groups.at(found->second).watch;
}

WatchContext GroupSupervisor::makeContext(Group& group, Instant now, Effects& effects)
{
    return { this->settings, this->self, this->random, now, group.view, effects };
}

void GroupSupervisor::on(const GroupTick& tick, Effects& effects)
{
    this->random = RandomGenerator(tick.seed);
    for (const GroupId& name : this->watchedGroups) {
        Group& group = this->groups.at(name);
        WatchContext context = this->makeContext(group, tick.now, effects);
        group.watch->advance(context);
    }
}

void GroupSupervisor::on(const GroupsConfigured& event, Effects& effects)
{
    std::set<GroupId> declared;
    for (const DatabaseGroup& group : event.groups) {
        declared.insert(group.name);
        auto [entry, added] = this->groups.try_emplace(group.name);
        if (added)
            entry->second = Group { { group.name, {}, std::nullopt }, makeGroupMembers(group), std::nullopt };
        else
            this->updateMembers(entry->second, makeGroupMembers(group), event.now, effects);
    }
    for (auto entry = this->groups.begin(); entry != this->groups.end();) {
        if (declared.contains(entry->first)) {
            ++entry;
            continue;
        }
        this->unindexEndpoints(entry->second);
        this->watchedGroups.erase(entry->first);
        entry = this->groups.erase(entry);
    }
}

void GroupSupervisor::updateMembers(Group& group, std::vector<GroupMember> members, Instant now, Effects& effects)
{
    if (members == group.members)
        return;
    if (group.watch)
        this->unindexEndpoints(group);
    group.members = std::move(members);
    const bool primaryStillDeclared = std::any_of(group.members.begin(), group.members.end(),
        [&group](const GroupMember& member) { return member.endpoint == group.view.primary; });
    const bool viewChanged = group.view.primary && !primaryStillDeclared;
    if (!primaryStillDeclared)
        group.view.primary.reset();
    WatchContext context = this->makeContext(group, now, effects);
    context.viewChanged = viewChanged;
    if (group.watch) {
        group.watch->updateMembers(group.members, now);
        this->indexEndpoints(group);
        group.watch->advance(context);
    } else if (viewChanged) {
        effects.emplace_back(GroupChanged { group.view, false });
    }
}

void GroupSupervisor::on(const WatchRankChanged& event, Effects& effects)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end())
        return;
    Group& group = found->second;
    if (event.rank && group.watch) {
        group.watch->setRank(*event.rank);
    } else if (event.rank) {
        group.watch.emplace(group.members, *event.rank, event.now);
        this->watchedGroups.insert(event.group);
        this->indexEndpoints(group);
        WatchContext context = this->makeContext(group, event.now, effects);
        group.watch->advance(context);
    } else if (group.watch) {
        this->unindexEndpoints(group);
        this->watchedGroups.erase(event.group);
        group.watch.reset();
        // Endpoints that this VM reported as unreachable count as reachable again.
        effects.emplace_back(GroupChanged { group.view, false });
    }
}

void GroupSupervisor::on(const GroupViewLearnt& event, Effects& effects)
{
    const auto found = this->groups.find(event.view.group);
    if (found == this->groups.end())
        return;
    Group& group = found->second;
    GroupView learnt = event.view;
    // Requests cannot be routed to a primary that is missing from this VM's configuration.
    if (std::none_of(group.members.begin(), group.members.end(),
            [&learnt](const GroupMember& member) { return member.endpoint == learnt.primary; }))
        learnt.primary.reset();
    const bool addsPrimary = learnt.term == group.view.term && learnt.primary && !group.view.primary;
    if (learnt.term <= group.view.term && !addsPrimary)
        return;
    group.view = std::move(learnt);
    WatchContext context = this->makeContext(group, event.now, effects);
    context.viewChanged = true;
    if (group.watch) {
        group.watch->onViewChanged(context);
        group.watch->advance(context);
    } else {
        effects.emplace_back(GroupChanged { group.view, false });
    }
}

template <typename EndpointEvent> void GroupSupervisor::on(const EndpointEvent& event, Effects& effects)
{
    const auto found = this->watchedEndpoints.find(event.endpoint);
    if (found == this->watchedEndpoints.end())
        return;
    Group& group = this->groups.at(found->second);
    WatchContext context = this->makeContext(group, event.now, effects);
    group.watch->on(event, context);
    group.watch->advance(context);
}

void GroupSupervisor::indexEndpoints(const Group& group)
{
    for (const GroupMember& member : group.members)
        this->watchedEndpoints.insert_or_assign(member.endpoint, group.view.group);
}

void GroupSupervisor::unindexEndpoints(const Group& group)
{
    for (const GroupMember& member : group.members) {
        const auto found = this->watchedEndpoints.find(member.endpoint);
        if (found != this->watchedEndpoints.end() && found->second == group.view.group)
            this->watchedEndpoints.erase(found);
    }
}

} // namespace Lavendervane
