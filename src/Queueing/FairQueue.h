#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Lavendervane {

enum class PushResult {
    Accepted,
    OrganisationFull, ///< the organisation already has the maximum number of waiting entries
};

/// Deficit round robin over organisations for entries known by ticket. Holds the part of `FairQueue` that does not
/// depend on the type of the entries. Used on one thread.
class FairScheduler {
public:
    using Ticket = uint64_t;

    struct Selection {
        OrganisationId organisation;
        Ticket ticket = 0;
    };

    /// `limit`: maximum number of waiting entries of one organisation.
    explicit FairScheduler(size_t limit);

    /// Returns the ticket of the new entry, or nothing if the organisation is full. A weight of 0 counts as 1; the
    /// weight of the last push is in force for the organisation.
    std::optional<Ticket> push(const OrganisationId&, uint32_t weight, Instant deadline);

    /// Next entry whose deadline has not passed. Cost: linear in the organisations with entries.
    std::optional<Selection> pop(Instant now);

    /// Removes and returns all entries with `deadline <= now`.
    std::vector<Selection> expire(Instant now);

    /// Time until a new entry of the organisation would be popped, from the intervals of recent pops; 0 while the
    /// intervals are unknown or nothing waits.
    Duration estimatedWait(const OrganisationId&, uint32_t weight) const;

    std::optional<Instant> nextDeadline() const;
    size_t size() const { return this->entryCount; }
    size_t size(const OrganisationId&) const;

private:
    struct Backlog {
        uint32_t weight = 1;
        uint32_t deficit = 0; ///< entries that may still be popped in this turn
        std::map<Ticket, Instant> entries; ///< in order of arrival
        std::set<std::pair<Instant, Ticket>> deadlines;
        std::list<OrganisationId>::iterator roundPosition;
    };

    void removeIfEmpty(std::map<OrganisationId, Backlog>::iterator);
    void recordPopInterval(Instant now);

    size_t limit;
    size_t entryCount = 0;
    Ticket lastTicket = 0;
    std::map<OrganisationId, Backlog> backlogs; ///< only organisations with entries
    std::list<OrganisationId> round; ///< the organisation whose turn it is stands first
    std::optional<Instant> lastPopWithBacklog; ///< time of the last pop that left entries behind
    Duration meanPopInterval {}; ///< moving mean of the time between pops while entries wait
};

/// Queue of move-only entries with a bound per organisation, fair by weight, with a deadline per entry. An expired
/// entry is never returned by `pop`; it is handed out by `expire`. Used on one thread.
template <typename Entry> class FairQueue {
public:
    struct Item {
        OrganisationId organisation;
        Entry entry;
    };

    explicit FairQueue(size_t limitPerOrganisation)
        : scheduler(limitPerOrganisation)
    {
    }

    /// Leaves `entry` untouched unless it is accepted.
    PushResult push(const OrganisationId& organisation, uint32_t weight, Instant deadline, Entry&& entry)
    {
        const auto ticket = this->scheduler.push(organisation, weight, deadline);
        if (!ticket)
            return PushResult::OrganisationFull;
        this->entries.emplace(*ticket, std::move(entry));
        return PushResult::Accepted;
    }

    std::optional<Item> pop(Instant now)
    {
        const auto selection = this->scheduler.pop(now);
        if (!selection)
            return std::nullopt;
        return this->take(*selection);
    }

    std::vector<Item> expire(Instant now)
    {
        std::vector<Item> expired;
        for (const auto& selection : this->scheduler.expire(now))
            expired.push_back(this->take(selection));
        return expired;
    }

    /// Expected wait of a new entry. The caller refuses it early if `now + estimatedWait` is beyond its deadline.
    Duration estimatedWait(const OrganisationId& organisation, uint32_t weight) const
    {
        return this->scheduler.estimatedWait(organisation, weight);
    }

    /// Earliest deadline of all entries, for the timer that calls `expire`.
    std::optional<Instant> nextDeadline() const { return this->scheduler.nextDeadline(); }

    /// Number of entries, expired ones included until they are handed out.
    size_t size() const { return this->scheduler.size(); }
    size_t size(const OrganisationId& organisation) const { return this->scheduler.size(organisation); }
    bool empty() const { return !this->scheduler.size(); }

private:
    Item take(const FairScheduler::Selection& selection)
    {
        auto node = this->entries.extract(selection.ticket);
        assert(!node.empty());
        return { selection.organisation, std::move(node.mapped()) };
    }

    FairScheduler scheduler;
    std::unordered_map<FairScheduler::Ticket, Entry> entries;
};

} // namespace Lavendervane
