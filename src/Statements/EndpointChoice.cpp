#include "Statements/EndpointChoice.h"

#include <algorithm>

namespace Lavendervane {

// Expected cost of trying an endpoint that probably lacks the position: a wasted round trip and a second attempt
// elsewhere.
static constexpr Duration laggingPenalty = std::chrono::seconds(1);
// Draining endpoints are used only if no other endpoint is left.
static constexpr Duration drainingPenalty = std::chrono::seconds(10);
// Expected cost of a failed attempt: the time after which a read is given up, and another attempt.
static constexpr Duration failureCost = std::chrono::milliseconds(150);
// Endpoints that admit no read are used only if no other endpoint is left, and those that have not even answered a
// trial only after these. Both are preferred to a draining endpoint.
static constexpr Duration trialPenalty = std::chrono::seconds(3);
static constexpr Duration restrictedPenalty = std::chrono::seconds(6);

// A trial may cost the read another attempt, so no other reason for one may be known.
static bool isFitForTrial(const ReadCandidate& candidate, bool mayLag, Instant now)
{
    return candidate.isTrialDue && !candidate.draining && (!mayLag || now >= candidate.laggingUntil);
}

std::optional<EndpointId> chooseForRead(const std::vector<ReadCandidate>& candidates, const LogPosition& required,
    const std::vector<EndpointId>& triedEndpoints, Duration primaryPenalty, Instant now)
{
    const ReadCandidate* best = nullptr;
    Duration bestCost {};
    for (const ReadCandidate& candidate : candidates) {
        if (!candidate.reachable
            || std::find(triedEndpoints.begin(), triedEndpoints.end(), candidate.id) != triedEndpoints.end())
            continue;
        Duration cost = candidate.expectedTime;
        if (candidate.primary)
            cost += primaryPenalty;
        const bool holdsPosition = candidate.position && *candidate.position >= required;
        if (!candidate.primary && !holdsPosition && now < candidate.laggingUntil)
            cost += laggingPenalty;
        cost += std::chrono::duration_cast<Duration>(candidate.failureRate * failureCost);
        if (!candidate.admitsRead)
            cost += candidate.health == HealthState::Restricted ? restrictedPenalty : trialPenalty;
        if (isFitForTrial(candidate, !candidate.primary && !holdsPosition, now))
            return candidate.id;
        if (candidate.draining)
            cost += drainingPenalty;
        if (!best || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

} // namespace Lavendervane
