#include "Statements/EndpointChoice.h"

#include <algorithm>

namespace Lavendervane {

// Expected cost of trying an endpoint that probably lacks the position: a wasted round trip and a second attempt
// elsewhere.
static constexpr Duration laggingPenalty = std::chrono::seconds(1);
// Draining endpoints are used only if no other endpoint is left.
static constexpr Duration drainingPenalty = std::chrono::seconds(10);

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
