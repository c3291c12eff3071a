#include "Queueing/FairQueue.h"

#include <algorithm>

namespace Lavendervane {

FairScheduler::FairScheduler(size_t limit)
    : limit(limit)
{
    assert(limit > 0);
}

std::optional<FairScheduler::Ticket> FairScheduler::push(
    const OrganisationId& organisation, uint32_t weight, Instant deadline)
{
    const auto [found, added] = this->backlogs.try_emplace(organisation);
    Backlog& backlog = found->second;
    if (added)
        backlog.roundPosition = this->round.insert(this->round.end(), organisation);
    if (backlog.entries.size() >= this->limit)
        return std::nullopt;
    backlog.weight = std::max(weight, 1U);
    const Ticket ticket = ++this->lastTicket;
    backlog.entries.emplace(ticket, deadline);
    backlog.deadlines.emplace(deadline, ticket);
    ++this->entryCount;
    return ticket;
}

std::optional<FairScheduler::Selection> FairScheduler::pop(Instant now)
{
    // An organisation whose entries have all expired moves to the end of the round; `expire` removes it.
    for (size_t visits = this->round.size(); visits > 0; --visits) {
        const auto found = this->backlogs.find(this->round.front());
        Backlog& backlog = found->second;
        const auto entry = std::find_if(backlog.entries.begin(), backlog.entries.end(),
            [now](const auto& candidate) { return candidate.second > now; });
        if (entry == backlog.entries.end()) {
            backlog.deficit = 0;
            this->round.splice(this->round.end(), this->round, backlog.roundPosition);
            continue;
        }
        if (!backlog.deficit)
            backlog.deficit = backlog.weight;
        --backlog.deficit;
        const Selection selection { found->first, entry->first };
        backlog.deadlines.erase({ entry->second, entry->first });
        backlog.entries.erase(entry);
        --this->entryCount;
        if (!backlog.deficit)
            this->round.splice(this->round.end(), this->round, backlog.roundPosition);
        this->removeIfEmpty(found);
        this->recordPopInterval(now);
        return selection;
    }
    this->lastPopWithBacklog.reset();
    return std::nullopt;
}

std::vector<FairScheduler::Selection> FairScheduler::expire(Instant now)
{
    std::vector<Selection> expired;
    for (auto next = this->backlogs.begin(); next != this->backlogs.end();) {
        const auto found = next++;
        Backlog& backlog = found->second;
        while (!backlog.deadlines.empty() && backlog.deadlines.begin()->first <= now) {
            const Ticket ticket = backlog.deadlines.begin()->second;
            backlog.deadlines.erase(backlog.deadlines.begin());
            backlog.entries.erase(ticket);
            expired.push_back({ found->first, ticket });
            --this->entryCount;
        }
        this->removeIfEmpty(found);
    }
    return expired;
}

Duration FairScheduler::estimatedWait(const OrganisationId& organisation, uint32_t weight) const
{
    const uint64_t ownWeight = std::max(weight, 1U);
    const uint64_t roundsAhead = this->size(organisation) / ownWeight + 1;
    uint64_t ahead = this->size(organisation);
    for (const auto& [other, backlog] : this->backlogs) {
        if (other != organisation)
            ahead += std::min<uint64_t>(backlog.entries.size(), roundsAhead * backlog.weight);
    }
    return this->meanPopInterval * static_cast<int64_t>(ahead);
}

std::optional<Instant> FairScheduler::nextDeadline() const
{
    std::optional<Instant> earliest;
    for (const auto& [organisation, backlog] : this->backlogs) {
        const Instant deadline = backlog.deadlines.begin()->first;
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

size_t FairScheduler::size(const OrganisationId& organisation) const
{
    const auto found = this->backlogs.find(organisation);
    return found == this->backlogs.end() ? 0 : found->second.entries.size();
}

void FairScheduler::removeIfEmpty(std::map<OrganisationId, Backlog>::iterator found)
{
    if (!found->second.entries.empty())
        return;
    this->round.erase(found->second.roundPosition);
    this->backlogs.erase(found);
}

void FairScheduler::recordPopInterval(Instant now)
{
    // Only the time between two pops with entries waiting throughout measures how fast slots become free.
    if (this->lastPopWithBacklog) {
        const Duration sample = now - *this->lastPopWithBacklog;
        this->meanPopInterval = this->meanPopInterval == Duration::zero()
            ? sample
            : this->meanPopInterval + (sample - this->meanPopInterval) / 8;
    }
    this->lastPopWithBacklog.reset();
    if (this->entryCount)
        this->lastPopWithBacklog = now;
}

} // namespace Lavendervane
