#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Statements/EndpointPool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

struct ConnectionPreopeningSettings {
    /// Time between two openings. Opening a connection takes 12 ms of a slot, so three owners that open connections
    /// ahead use less than one of four slots.
    Duration pause = std::chrono::milliseconds(50);
    /// Time after a failure, or after an organisation's connection was opened ahead, until it is opened ahead again.
    Duration retryDelay = std::chrono::seconds(5);
    /// One in this many connections, rounded up, is left for statements.
    uint32_t reservedPart = 4;
    /// Number of organisations whose first owner is looked up in one step. A lookup ranks all VMs.
    size_t maxLookups = 16;
};

/// Decides which connection an owner opens next to one endpoint before a statement needs it. Designed for the start of
/// an owner, or of an endpoint with few slots, while statements of many organisations arrive. All times are passed in
/// by the caller.
class ConnectionPreopening {
public:
    /// Opens nothing before `start`.
    ConnectionPreopening(std::vector<OrganisationId> organisations, Instant start, ConnectionPreopeningSettings = {});

    /// Looks up the first owners again, after the VMs have changed.
    void forgetOwners();

    using FirstOwnerLookup = std::function<bool(const OrganisationId&)>;

    /// Returns the organisation to open a connection for now; empty if none. `isFirstOwner` tells whether this VM is
    /// the first owner for an organisation.
    std::optional<OrganisationId> next(
        const PoolOccupancy&, bool acceptsWork, const FirstOwnerLookup& isFirstOwner, Instant now);

    /// Records that the connection of the last `next` was opened or failed.
    void recordOpened(Instant now) { this->earliest = now + this->settings.pause; }
    void recordFailed(Instant now);

    /// True if the last `next` found nothing that could be opened soon.
    bool isComplete() const { return this->complete; }

private:
    struct Entry {
        OrganisationId organisation;
        std::optional<bool> isOwned; ///< whether this VM is its first owner; empty if not looked up
        std::optional<Instant> openedAt; ///< time of the last attempt to open a connection ahead
    };

    ConnectionPreopeningSettings settings;
    std::vector<Entry> entries; ///< in the order in which connections are opened
    Instant earliest; ///< no connection is opened before
    std::optional<Instant> failedAt; ///< time of the last failure, until the endpoint has responded
    bool complete = false;
};

} // namespace Lavendervane
