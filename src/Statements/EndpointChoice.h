#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Core/LogPosition.h"

#include <optional>
#include <vector>

namespace Lavendervane {

/// What is known of an endpoint when a read looks for one.
struct ReadCandidate {
    EndpointId id;
    bool primary = false;
    bool reachable = true;
    bool draining = false;
    Duration expectedTime {}; ///< of a statement sent now
    std::optional<LogPosition> position; ///< newest position seen
    Instant laggingUntil {}; ///< it lacked a position of that age lately
};

/// Chooses the endpoint for a read that must find `required`: the one that is expected to answer first among those that
/// are likely to hold the position. Endpoints in `tried` are left out. Empty if none is left.
/// A primary costs `primaryPenalty` more, because writes can run nowhere else.
std::optional<EndpointId> chooseForRead(const std::vector<ReadCandidate>&, const LogPosition& required,
    const std::vector<EndpointId>& tried, Duration primaryPenalty, Instant now);

} // namespace Lavendervane
