#pragma once

#include "Core/Instant.h"
#include "Fleet/Directory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// Tells until when endpoints that are draining accept new work. The time counts from the earliest moment at which an
/// endpoint can have begun to drain, not from when this VM learnt of it.
class DrainClock {
public:
    /// `workTime` is the time for which a draining endpoint gets new work.
    explicit DrainClock(Duration workTime);

    /// Takes account of the endpoints in the registry, with the earliest times of their last changes where known.
    /// Returns the endpoints that were not known to be draining before.
    std::vector<EndpointId> update(
        const std::vector<RegisteredEndpoint>&, const std::map<EndpointId, Instant>& earliestChanges, Instant now);

    /// Earliest time at which the endpoint can have begun to drain; nothing if it is unknown or does not drain.
    std::optional<Instant> earliestStart(const RegisteredEndpoint&) const;

    /// Time from which on the endpoint gets no new work; nothing if it is not draining.
    std::optional<Instant> workEnd(const RegisteredEndpoint&) const;

private:
    /// An endpoint that drains, or did so when it was last registered.
    struct Record {
        uint64_t startedAt = 0; ///< tells the runs of an endpoint apart
        std::optional<Instant> earliestStart; ///< empty if unknown
        Instant lastSeen {};
    };

    const Record* findRecord(const RegisteredEndpoint&) const;

    Duration workTime;
    std::map<EndpointId, Record> records;
};

} // namespace Lavendervane
