#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "Statements/EndpointHealth.h"

#include <optional>
#include <vector>

namespace Lavendervane {

/// State of an endpoint, as used to choose one for a read.
struct ReadCandidate {
    EndpointId id;
    bool primary = false;
    bool reachable = true;
    bool draining = false;
    Duration expectedTime {}; ///< expected time to the answer of a statement sent now
    std::optional<LogPosition> position; ///< newest log position that an answer of the endpoint has shown
    Instant laggingUntil {}; ///< until this time, the endpoint is assumed to lack recent log positions
    double failureRate = 0; ///< fraction of recent statements that failed
    HealthState health = HealthState::Healthy;
    bool admitsRead = true; ///< false if a restricted endpoint has had its share of the reads
    bool isTrialDue = false; ///< true if the read should be sent here to find out whether the endpoint works again
};

/// Chooses the endpoint for a read that requires the log position `required`: the reachable endpoint with the lowest
/// expected time, plus penalties for endpoints that fail, probably lack the position or are draining. An endpoint whose
/// trial is due goes first, and one that does not admit the read is used only if no other is left. Endpoints in
/// `triedEndpoints` are skipped. Returns nullopt if no endpoint is left. `primaryPenalty` is added to the expected time
/// of the primary, because only the primary can run writes.
std::optional<EndpointId> chooseForRead(const std::vector<ReadCandidate>&, const LogPosition& required,
    const std::vector<EndpointId>& triedEndpoints, Duration primaryPenalty, Instant now);

} // namespace Lavendervane
