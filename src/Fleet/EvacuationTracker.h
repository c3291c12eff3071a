#pragma once

#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "Fleet/DirectoryFeed.h"

#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

/// Times after the start of an evacuation at which the use of the endpoints in the data centre ends.
struct EvacuationLimits {
    Duration primaryWork {}; ///< a primary gets new work until then, while it is being replaced
    Duration transactions {}; ///< open transactions may go on until then
    Duration statements {}; ///< nothing of callers is sent from then on

    /// Returns the limits for evacuations that must be complete within `bound`.
    static EvacuationLimits makeFor(Duration bound);

    friend bool operator==(const EvacuationLimits&, const EvacuationLimits&) = default;
};

/// Evacuations that have begun or ended with an update.
struct EvacuationChanges {
    std::vector<DataCentre> started;
    std::vector<DataCentre> ended;
    /// Evacuations that the restored store lacks and that go on for the time being.
    std::vector<DataCentre> unconfirmed;

    bool empty() const { return this->started.empty() && this->ended.empty(); }

    friend bool operator==(const EvacuationChanges&, const EvacuationChanges&) = default;
};

/// Evacuations of data centres that are in force on this VM, and what they mean for the endpoints. When the store has
/// been restored from an older copy that lacks an evacuation, the evacuation goes on until its row is written and
/// deleted, or until the row has been missing for the settle time.
class EvacuationTracker {
public:
    explicit EvacuationTracker(EvacuationLimits);

    EvacuationChanges update(const EvacuationsRead&, Instant now);

    /// Ends the evacuations whose settle time is over.
    EvacuationChanges expire(Instant now);

    /// Returns the time of the next call of `expire`; nothing if none is needed.
    std::optional<Instant> nextExpiry() const;

    size_t count() const { return this->evacuations.size(); }

    /// Returns the earliest time at which the evacuation can have begun; nothing if it is unknown.
    std::optional<Instant> earliestStart(const DataCentre&) const;

    /// Sets `evacuated` and `evacuationTimes` of the endpoints.
    void apply(std::vector<RegisteredEndpoint>&) const;

private:
    struct Evacuation {
        std::optional<Instant> earliestStart; ///< empty if unknown
        std::optional<Instant> expiry; ///< end of the settle time, while a restored store lacks the evacuation
    };

    EvacuationTimes timesOf(const Evacuation&) const;

    EvacuationLimits limits;
    uint64_t generation = 0; ///< newest generation of the store that was read
    std::map<DataCentre, Evacuation> evacuations;
};

/// Returns the groups in which an endpoint is evacuated and none is left that stays in service.
std::vector<GroupId> groupsWithoutEndpoint(const std::vector<RegisteredEndpoint>&);

} // namespace Lavendervane
