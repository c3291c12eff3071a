#include "Relay/ConnectionPreopening.h"

#include <utility>

namespace Lavendervane {

ConnectionPreopening::ConnectionPreopening(
    std::vector<OrganisationId> organisations, Instant start, ConnectionPreopeningSettings settings)
    : settings(settings)
    , earliest(start)
{
    this->entries.reserve(organisations.size());
    for (OrganisationId& organisation : organisations)
        this->entries.push_back({ std::move(organisation), std::nullopt, std::nullopt });
}

void ConnectionPreopening::forgetOwners()
{
    for (Entry& entry : this->entries)
        entry.isOwned.reset();
}

std::optional<OrganisationId> ConnectionPreopening::next(
    const PoolOccupancy& pool, bool acceptsWork, const FirstOwnerLookup& isFirstOwner, Instant now)
{
    if (this->failedAt && pool.lastContact > *this->failedAt)
        this->failedAt.reset(); // a statement has been answered, or has opened a connection, since the failure
    const uint32_t reserved = (pool.limit + this->settings.reservedPart - 1) / this->settings.reservedPart;
    this->complete = !acceptsWork || pool.connections + reserved >= pool.limit
        || (this->failedAt && now < *this->failedAt + this->settings.retryDelay);
    if (this->complete || now < this->earliest || pool.waiting || pool.pending || pool.opening)
        return std::nullopt;
    size_t lookups = 0;
    for (Entry& entry : this->entries) {
        if (!entry.isOwned) {
            if (lookups == this->settings.maxLookups)
                return std::nullopt;
            ++lookups;
            entry.isOwned = isFirstOwner(entry.organisation);
        }
        const bool wasOpenedRecently = entry.openedAt && now < *entry.openedAt + this->settings.retryDelay;
        if (!*entry.isOwned || wasOpenedRecently || pool.organisations.count(entry.organisation))
            continue;
        entry.openedAt = now;
        return entry.organisation;
    }
    this->complete = true;
    return std::nullopt;
}

void ConnectionPreopening::recordFailed(Instant now)
{
    this->failedAt = now;
    for (Entry& entry : this->entries)
        entry.openedAt.reset();
}

} // namespace Lavendervane
