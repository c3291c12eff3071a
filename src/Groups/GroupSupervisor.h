#pragma once

#include "Core/RandomGenerator.h"
#include "Groups/GroupMessages.h"
#include "Groups/GroupSettings.h"
#include "Groups/GroupWatch.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lavendervane {

/// Reducer that watches database groups and promotes a replica when a primary fails (docs/design.md, 5.2).
///
/// Costs: an event of one endpoint or group takes O(log watched endpoints + members of the group). A tick is linear in
/// the watched groups, each of which is polled every few ticks anyway. GroupsConfigured is linear in the declared
/// groups.
class GroupSupervisor {
public:
    GroupSupervisor(GroupSettings, VmId self);

    std::vector<GroupEffect> handle(const GroupEvent&);

    /// Returns the view of a group in the highest known term; null if the group is not configured.
    const GroupView* findView(const GroupId&) const;

    /// Returns the views of all groups whose term is known, for messages to peers.
    std::vector<GroupView> views() const;

    /// Returns false only if this VM watches the group and has not reached a majority of it for `majorityLossLimit`.
    bool isMajorityReachable(const GroupId&) const;

    /// Returns false only if this VM watches the endpoint's group and at least `failuresUntilSuspected` consecutive
    /// queries to the endpoint failed.
    bool isReachable(const EndpointId&) const;

    /// Returns the newest status of an endpoint; null unless this VM watches its group and the endpoint has answered.
    const EndpointStatus* findStatus(const EndpointId&) const;

    friend bool operator==(const GroupSupervisor&, const GroupSupervisor&) = default;

private:
    struct Group {
        GroupView view;
        std::vector<GroupMember> members;
        std::optional<GroupWatch> watch; ///< absent if this VM does not watch the group

        friend bool operator==(const Group&, const Group&) = default;
    };

    using Effects = std::vector<GroupEffect>;

    void on(const GroupTick&, Effects&);
    void on(const GroupsConfigured&, Effects&);
    void on(const WatchRankChanged&, Effects&);
    void on(const GroupViewLearnt&, Effects&);
    /// Handles an event that concerns one endpoint.
    template <typename EndpointEvent> void on(const EndpointEvent&, Effects&);

    WatchContext makeContext(Group&, Instant now, Effects&);
    void updateMembers(Group&, std::vector<GroupMember>, Instant now, Effects&);
    void indexEndpoints(const Group&);
    void unindexEndpoints(const Group&);
    const GroupWatch* findWatch(const EndpointId&) const;

    GroupSettings settings;
    VmId self;
    RandomGenerator random { 0 };
    std::map<GroupId, Group> groups;
    std::set<GroupId> watchedGroups;
    std::map<EndpointId, GroupId> watchedEndpoints; ///< group of each endpoint of the watched groups
};

} // namespace Lavendervane
