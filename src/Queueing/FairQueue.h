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

/// Weighted deficit round robin over organisations, for entries identified by a ticket. Part of `FairQueue` that does
/// not depend on the entry type. Not thread-safe.
class FairScheduler {
public:
    using Ticket = uint64_t;

    /// Entry selected by `pop` or `expire`.
    struct Selection {
        OrganisationId organisation;
        Ticket ticket = 0;
    };

    /// `limit` is the maximum number of waiting entries per organisation.
    explicit FairScheduler(size_t limit);

    /// Returns the ticket of the new entry, or nothing if the organisation has reached its limit. A weight of 0 counts
    /// as 1; the weight of the last push applies to all entries of the organisation.
    std::optional<Ticket> push(const OrganisationId&, uint32_t weight, Instant deadline);

    /// Removes and returns the next entry whose deadline has not passed. Cost: linear in the number of organisations
    /// with entries.
    std::optional<Selection> pop(Instant now);

    /// Removes and returns all entries with `deadline <= now`.
    std::vector<Selection> expire(Instant now);

    /// Estimates the time until a new entry of the organisation would be popped, from the intervals between recent
    /// pops. Returns 0 if no interval is known or no entry is ahead.
    Duration estimatedWait(const OrganisationId&, uint32_t weight) const;

    /// Earliest deadline of all entries.
    std::optional<Instant> nextDeadline() const;
    size_t size() const { return this->entryCount; }
    size_t size(const OrganisationId&) const;

private:
    /// Waiting entries of one organisation.
    struct Backlog {
        uint32_t weight = 1;
        uint32_t deficit = 0; ///< entries left to pop before the next organisation is served
        std::map<Ticket, Instant> entries; ///< deadlines by ticket, in order of arrival
        std::set<std::pair<Instant, Ticket>> deadlines;
        std::list<OrganisationId>::iterator roundPosition; ///< element of `round`
    };

    /// Removes the organisation if it has no entries.
    void removeIfEmpty(std::map<OrganisationId, Backlog>::iterator);
    /// Updates `meanPopInterval` after a pop.
    void recordPopInterval(Instant now);

    size_t limit; ///< entries per organisation
    size_t entryCount = 0; ///< over all organisations
    Ticket lastTicket = 0;
    std::map<OrganisationId, Backlog> backlogs; ///< only organisations with entries
    std::list<OrganisationId> round; ///< round-robin order; the front is served next
    std::optional<Instant> lastPopWithBacklog; ///< time of the last pop if entries were left
    Duration meanPopInterval {}; ///< moving average of the time between pops while entries wait
};

/// Weighted fair queue of move-only entries with a size limit per organisation and a deadline per entry. Expired
/// entries are returned by `expire`, never by `pop`. Not thread-safe.
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

    /// Adds the entry. If the organisation is full, `entry` is not moved from.
    PushResult push(const OrganisationId& organisation, uint32_t weight, Instant deadline, Entry&& entry)
    {
        const auto ticket = this->scheduler.push(organisation, weight, deadline);
        if (!ticket)
            return PushResult::OrganisationFull;
        this->entries.emplace(*ticket, std::move(entry));
        return PushResult::Accepted;
    }

    /// Removes and returns the next entry whose deadline has not passed.
    std::optional<Item> pop(Instant now)
    {
        const auto selection = this->scheduler.pop(now);
        if (!selection)
            return std::nullopt;
        return this->take(*selection);
    }

    /// Removes and returns all entries with `deadline <= now`.
    std::vector<Item> expire(Instant now)
    {
        std::vector<Item> expired;
        for (const auto& selection : this->scheduler.expire(now))
            expired.push_back(this->take(selection));
        return expired;
    }

    /// Expected wait of a new entry. The caller refuses the entry at once if `now + estimatedWait` is past its
    /// deadline.
    Duration estimatedWait(const OrganisationId& organisation, uint32_t weight) const
    {
        return this->scheduler.estimatedWait(organisation, weight);
    }

    /// Earliest deadline of all entries, for the timer that calls `expire`.
    std::optional<Instant> nextDeadline() const { return this->scheduler.nextDeadline(); }

    /// Number of entries, including expired ones that `expire` has not returned yet.
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
