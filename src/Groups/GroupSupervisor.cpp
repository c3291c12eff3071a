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
    return found == this->groups.end() || !found->second.watch || found->second.watch->majorityReachable();
}

bool GroupSupervisor::isReachable(const EndpointId& endpoint) const
{
    const GroupWatch* watch = this->watchOf(endpoint);
    return !watch || watch->reachable(endpoint);
}

const EndpointStatus* GroupSupervisor::findStatus(const EndpointId& endpoint) const
{
    const GroupWatch* watch = this->watchOf(endpoint);
    const MemberWatch* member = watch ? watch->find(endpoint) : nullptr;
    return member ? member->status() : nullptr;
}

const GroupWatch* GroupSupervisor::watchOf(const EndpointId& endpoint) const
{
    const auto found = this->watchedEndpoints.find(endpoint);
    return found == this->watchedEndpoints.end() ? nullptr : &*this->groups.at(found->second).watch;
}

WatchContext GroupSupervisor::contextOf(Group& group, Instant now, Effects& effects)
{
    return { this->settings, this->self, this->random, now, group.view, effects };
}

void GroupSupervisor::on(const GroupTick& tick, Effects& effects)
{
    this->random = RandomGenerator(tick.seed);
    for (const GroupId& name : this->watchedGroups) {
        Group& group = this->groups.at(name);
        WatchContext context = this->contextOf(group, tick.now, effects);
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
            entry->second = Group { { group.name, {}, std::nullopt }, membersOf(group), std::nullopt };
        else
            this->redeclare(entry->second, membersOf(group), event.now, effects);
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

void GroupSupervisor::redeclare(Group& group, std::vector<GroupMember> members, Instant now, Effects& effects)
{
    if (members == group.members)
        return;
    if (group.watch)
        this->unindexEndpoints(group);
    group.members = std::move(members);
    const bool primaryStays = std::any_of(group.members.begin(), group.members.end(),
        [&group](const GroupMember& member) { return member.endpoint == group.view.primary; });
    const bool viewChanged = group.view.primary && !primaryStays;
    if (!primaryStays)
        group.view.primary.reset();
    WatchContext context = this->contextOf(group, now, effects);
    context.viewChanged = viewChanged;
    if (group.watch) {
        group.watch->redeclare(group.members, now);
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
        WatchContext context = this->contextOf(group, event.now, effects);
        group.watch->advance(context);
    } else if (group.watch) {
        this->unindexEndpoints(group);
        this->watchedGroups.erase(event.group);
        group.watch.reset();
        // What this VM held as unreachable counts as reachable again.
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
    // A primary that this VM's configuration does not have cannot be used.
    if (std::none_of(group.members.begin(), group.members.end(),
            [&learnt](const GroupMember& member) { return member.endpoint == learnt.primary; }))
        learnt.primary.reset();
    const bool completes = learnt.term == group.view.term && learnt.primary && !group.view.primary;
    if (learnt.term <= group.view.term && !completes)
        return;
    group.view = std::move(learnt);
    WatchContext context = this->contextOf(group, event.now, effects);
    context.viewChanged = true;
    if (group.watch) {
        group.watch->viewAdopted(context);
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
    WatchContext context = this->contextOf(group, event.now, effects);
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
