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
/// Costs: an event of one endpoint or group is O(log watched endpoints + members of the group); a tick is linear in
/// the watched groups, each of which is polled every few ticks anyway; a declaration is linear in the declared groups.
class GroupSupervisor {
public:
    GroupSupervisor(GroupSettings, VmId self);

    std::vector<GroupEffect> handle(const GroupEvent&);

    /// View of a group with the highest term known; null if the group is not configured.
    const GroupView* findView(const GroupId&) const;

    /// All views with a known term, for messages to peers.
    std::vector<GroupView> views() const;

    /// False only if this VM watches the group and has reached no majority for `majorityLossLimit`.
    bool isMajorityReachable(const GroupId&) const;

    /// False only if this VM watches the endpoint's group and the endpoint failed `failuresUntilSuspected` times.
    bool isReachable(const EndpointId&) const;

    /// Newest status of an endpoint; null unless this VM watches its group and got an answer.
    const EndpointStatus* findStatus(const EndpointId&) const;

    friend bool operator==(const GroupSupervisor&, const GroupSupervisor&) = default;

private:
    struct Group {
        GroupView view;
        std::vector<GroupMember> members;
        std::optional<GroupWatch> watch;

        friend bool operator==(const Group&, const Group&) = default;
    };

    using Effects = std::vector<GroupEffect>;

    void on(const GroupTick&, Effects&);
    void on(const GroupsConfigured&, Effects&);
    void on(const WatchRankChanged&, Effects&);
    void on(const GroupViewLearnt&, Effects&);
    /// Events of one endpoint.
    template <typename EndpointEvent> void on(const EndpointEvent&, Effects&);

    WatchContext contextOf(Group&, Instant now, Effects&);
    void redeclare(Group&, std::vector<GroupMember>, Instant now, Effects&);
    void indexEndpoints(const Group&);
    void unindexEndpoints(const Group&);
    const GroupWatch* watchOf(const EndpointId&) const;

    GroupSettings settings;
    VmId self;
    RandomGenerator random { 0 };
    std::map<GroupId, Group> groups;
    std::set<GroupId> watchedGroups;
    std::map<EndpointId, GroupId> watchedEndpoints;
};

} // namespace Lavendervane
