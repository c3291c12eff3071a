#pragma once

#include "Groups/GroupMember.h"
#include "Groups/GroupMessages.h"

#include <optional>

namespace Lavendervane {

/// Watches one endpoint: schedules status queries and follow commands, and keeps the number of consecutive failures and
/// the newest status.
class MemberWatch {
public:
    MemberWatch(GroupMember, Instant now);

    const GroupMember& member() const { return this->groupMember; }
    void setMember(GroupMember member) { this->groupMember = std::move(member); }

    /// Returns the query if one is due. A query that is unanswered for `commandTimeout` counts as failed.
    std::optional<QueryStatus> takeDueQuery(Instant now, Duration interval);

    /// Schedules the next query for now, or as soon as the minimum spacing of queries allows.
    void pollSoon(Instant now);

    /// Stores the answer to the pending query. Returns false if no query is pending or the status is older than the
    /// stored one.
    bool acceptStatus(Instant now, const EndpointStatus&);

    /// Counts a failure if a query is pending. Otherwise the failure was seen elsewhere, and a query is scheduled to
    /// check.
    void onFailure(Instant now);

    /// True if the last finished query was answered and its status is fresh.
    bool isAnswering(Instant now) const;

    /// True if the newest status answers a query that was sent at `since` or later.
    bool hasAnsweredSince(Instant since) const;

    uint32_t failures() const { return this->consecutiveFailures; }
    const EndpointStatus* status() const { return this->newestStatus ? &*this->newestStatus : nullptr; }

    /// To be called while the member does not follow the primary. Returns true if a follow command should be sent now:
    /// the member has not followed for at least `delay`, and no follow command is pending.
    bool isFollowDue(Instant now, Duration delay);
    void onFollowSent(Instant now) { this->followPendingSince = now; }
    /// Ends the pending follow command, whether it was answered or failed.
    void onFollowFinished(Instant now);
    /// The newest status shows that the member follows the primary.
    void onFollowing();

    friend bool operator==(const MemberWatch&, const MemberWatch&) = default;

private:
    GroupMember groupMember;
    Instant nextPollAt;
    std::optional<Instant> queryPendingSince; ///< when the pending query was sent
    std::optional<Instant> lastQueryAt;
    Instant answeredAt; ///< when the newest status arrived
    Instant answeredQuerySentAt; ///< when the query for the newest status was sent
    uint32_t consecutiveFailures = 0;
    std::optional<EndpointStatus> newestStatus;
    std::optional<Instant> followPendingSince; ///< when the pending follow command was sent
    Instant followFinishedAt;
    std::optional<Instant> notFollowingSince; ///< when the member was first seen not to follow the primary
};

} // namespace Lavendervane
