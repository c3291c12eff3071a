#include "Groups/MemberWatch.h"

#include "Groups/CommandTimeout.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// A status older than about three poll intervals of 300 ms counts as stale.
static constexpr Duration maxStatusAge = std::chrono::seconds(1);

// Client traffic may report an unreachable endpoint with every request; this limits the rate of the resulting queries.
static constexpr Duration minEarlyPollSpacing = std::chrono::milliseconds(50);

MemberWatch::MemberWatch(GroupMember member, Instant now)
    : groupMember(std::move(member))
    , nextPollAt(now)
{
}

std::optional<QueryStatus> MemberWatch::takeDueQuery(Instant now, Duration interval)
{
    if (this->queryPendingSince && now - *this->queryPendingSince >= commandTimeout)
        this->onFailure(now);
    if (this->queryPendingSince || now < this->nextPollAt)
        return std::nullopt;
    this->queryPendingSince = now;
    this->lastQueryAt = now;
    this->nextPollAt = now + interval;
    return QueryStatus { this->groupMember.endpoint, this->groupMember.address, this->consecutiveFailures > 0 };
}

void MemberWatch::pollSoon(Instant now)
{
    const Instant earliest = this->lastQueryAt ? std::max(now, *this->lastQueryAt + minEarlyPollSpacing) : now;
    this->nextPollAt = std::min(this->nextPollAt, earliest);
}

bool MemberWatch::acceptStatus(Instant now, const EndpointStatus& status)
{
    if (!this->queryPendingSince)
        return false;
    // The promised term of an endpoint never decreases, so a lower one belongs to a delayed answer.
    if (this->newestStatus && status.promised < this->newestStatus->promised)
        return false;
    this->answeredAt = now;
    this->answeredQuerySentAt = *this->queryPendingSince;
    this->queryPendingSince.reset();
    this->consecutiveFailures = 0;
    this->newestStatus = status;
    return true;
}

void MemberWatch::onFailure(Instant now)
{
    if (!this->queryPendingSince) {
        this->pollSoon(now);
        return;
    }
    this->queryPendingSince.reset();
    ++this->consecutiveFailures;
}

bool MemberWatch::isAnswering(Instant now) const
{
    return this->newestStatus && this->consecutiveFailures == 0 && now - this->answeredAt < maxStatusAge;
}

bool MemberWatch::hasAnsweredSince(Instant since) const
{
    return this->newestStatus && this->answeredQuerySentAt >= since;
}

bool MemberWatch::isFollowDue(Instant now, Duration delay)
{
    if (!this->notFollowingSince)
        this->notFollowingSince = now;
    if (this->followPendingSince && now - *this->followPendingSince < commandTimeout)
        return false;
    // A status from before the last command would cause the command to be repeated at every event.
    if (!this->hasAnsweredSince(this->followFinishedAt))
        return false;
    return now - *this->notFollowingSince >= delay;
}

void MemberWatch::onFollowFinished(Instant now)
{
    if (!this->followPendingSince)
        return;
    this->followPendingSince.reset();
    this->followFinishedAt = now;
    this->pollSoon(now);
}

void MemberWatch::onFollowing()
{
    this->followPendingSince.reset();
    this->notFollowingSince.reset();
}

} // namespace Lavendervane
