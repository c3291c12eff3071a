#pragma once

#include "Configuration/Resources.h"
#include "Core/Instant.h"
#include "Core/LogPosition.h"

#include <optional>
#include <variant>
#include <vector>

namespace Lavendervane {

/// Answer of an endpoint to `/status` (docs/design.md, 6.2).
struct EndpointStatus {
    Term promised; ///< highest accepted term; the endpoint rejects commands with a lower one
    Term term; ///< term in which the endpoint replicates or writes
    bool primary = false;
    uint64_t position = 0; ///< position in the log, in entries
    uint64_t firstPosition = 0; ///< position of the first entry of `term`
    Term lastEntryTerm; ///< term of the last entry of the log
    Duration primaryHeard {}; ///< time since the replica last heard from its primary
    Duration lag {}; ///< how far the replica is behind its primary
    std::string primaryAddress; ///< address of the primary that the endpoint follows; empty if unknown

    friend bool operator==(const EndpointStatus&, const EndpointStatus&) = default;
};

/// Latest term of a group and its primary as far as a VM knows them. VMs exchange views; the higher term wins.
struct GroupView {
    GroupId group;
    Term term;
    std::optional<EndpointId> primary; ///< absent while the primary of `term` is unknown

    friend bool operator==(const GroupView&, const GroupView&) = default;
};

/// Periodic event, every 100 ms.
struct GroupTick {
    Instant now;
    uint64_t seed = 0;
};

/// Declares all groups. State of groups that are not in the list is discarded.
struct GroupsConfigured {
    Instant now;
    std::vector<DatabaseGroup> groups;
};

/// Sets the rank of this VM among the watchers of a group. Rank 0 acts first; without a rank this VM does not watch the
/// group.
struct WatchRankChanged {
    Instant now;
    GroupId group;
    std::optional<uint32_t> rank;
};

/// An endpoint answered a status query.
struct StatusReceived {
    Instant now;
    EndpointId endpoint;
    EndpointStatus status;
};

/// A status query or a command to the endpoint failed or got no answer in time.
struct EndpointFailed {
    Instant now;
    EndpointId endpoint;
};

/// An endpoint answered a fence command.
struct FenceAnswered {
    Instant now;
    EndpointId endpoint;
    Term term; ///< term of the fence command
    bool accepted = false;
    Term promised; ///< highest term that the endpoint has accepted, which may be that of another VM
    Term lastEntryTerm; ///< term of the last entry of the endpoint's log
    uint64_t position = 0; ///< position of that entry
};

/// An endpoint answered a promote command.
struct PromoteAnswered {
    Instant now;
    EndpointId endpoint;
    Term term;
    bool accepted = false;
};

/// An endpoint answered a follow command.
struct FollowAnswered {
    Instant now;
    EndpointId endpoint;
    Term term;
    bool accepted = false;
};

/// A peer sent its view of a group, or an endpoint stated a term and a primary in an answer to client traffic.
struct GroupViewLearnt {
    Instant now;
    GroupView view;
};

using GroupEvent = std::variant<GroupTick, GroupsConfigured, WatchRankChanged, StatusReceived, EndpointFailed,
    FenceAnswered, PromoteAnswered, FollowAnswered, GroupViewLearnt>;

/// Query `/status` of an endpoint. The timeout is 700 ms.
struct QueryStatus {
    EndpointId endpoint;
    std::string address;
    bool freshConnection = false; ///< true if the previous query failed, as its connection may be dead

    friend bool operator==(const QueryStatus&, const QueryStatus&) = default;
};

/// Command an endpoint to reject terms below `term` from now on and to report its log.
struct SendFence {
    EndpointId endpoint;
    std::string address;
    Term term;

    friend bool operator==(const SendFence&, const SendFence&) = default;
};

/// Command an endpoint to become the primary of `term`.
struct SendPromote {
    EndpointId endpoint;
    std::string address;
    Term term;
    std::vector<std::string> members; ///< addresses of the other members

    friend bool operator==(const SendPromote&, const SendPromote&) = default;
};

/// Command an endpoint to replicate from the primary of `term`.
struct SendFollow {
    EndpointId endpoint;
    std::string address;
    Term term;
    std::string primaryAddress;

    friend bool operator==(const SendFollow&, const SendFollow&) = default;
};

/// Term, primary or reachability of a group changed.
struct GroupChanged {
    GroupView view;
    bool announce = false; ///< true if the view must be sent to peers at once

    friend bool operator==(const GroupChanged&, const GroupChanged&) = default;
};

using GroupEffect = std::variant<QueryStatus, SendFence, SendPromote, SendFollow, GroupChanged>;

} // namespace Lavendervane
