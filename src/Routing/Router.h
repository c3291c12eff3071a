#pragma once

#include "Control/TrafficSnapshot.h"
#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "Core/RandomGenerator.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// Which endpoints may answer a read.
struct ReadRequirements {
    std::optional<LogPosition> required; ///< position that the answer must cover
    std::optional<Duration> maxStaleness; ///< any replica with at most this lag may answer
    bool primaryOnly = false;

    friend bool operator==(const ReadRequirements&, const ReadRequirements&) = default;
};

/// Endpoint chosen for an attempt and the VM through which it is reached.
struct RouteChoice {
    EndpointId endpoint;
    VmId vm;
    Term term;
    bool primary = false;

    friend bool operator==(const RouteChoice&, const RouteChoice&) = default;
};

/// Chooses endpoints from the snapshot and from what this thread learnt from responses (docs/design.md, 5.3).
class Router {
public:
    explicit Router(uint64_t seed)
        : random(seed)
    {
    }

    void setSnapshot(std::shared_ptr<const TrafficSnapshot>);
    const std::shared_ptr<const TrafficSnapshot>& snapshot() const { return this->current; }

    /// Notes how far an endpoint has applied the log and how old its data were.
    void learnPosition(const EndpointId&, const AppliedPosition&, Duration lag, Instant now);

    /// Notes a term seen in a response. Returns true if it is higher than the known one.
    bool learnTerm(const GroupId&, const Term&, const std::optional<EndpointId>& primary);

    /// Counts the attempts that run at an endpoint.
    void recordAttemptStart(const EndpointId&);
    void recordAttemptEnd(const EndpointId&);

    /// Avoids an endpoint or a VM for a short time after it did not answer.
    void avoidEndpoint(const EndpointId&, Instant now);
    void avoidVm(const VmId&, Instant now);

    /// Highest known term of the group.
    Term term(const GroupId&) const;

    /// False if the snapshot reports that no majority of the group is reachable.
    bool isMajorityReachable(const GroupId&) const;

    bool isReachable(const EndpointId&) const;

    /// Empty while no primary is known in the highest known term, or if it is leaving.
    std::optional<RouteChoice> choosePrimary(const GroupId&, Instant now) const;

    /// Empty if no endpoint outside `excluded` may answer.
    std::optional<RouteChoice> chooseRead(
        const GroupId&, const ReadRequirements&, const std::vector<EndpointId>& excluded, Instant now);

private:
    struct EndpointState {
        std::optional<AppliedPosition> applied;
        Duration lag {};
        Instant learnt {};
        uint32_t running = 0;
        Instant avoidedUntil {};
    };
    struct LearntTerm {
        Term term;
        std::optional<EndpointId> primary;
    };

    const GroupRouting* findGroup(const GroupId&) const;
    const EndpointState* findState(const EndpointId&) const;
    std::optional<EndpointId> primaryOf(const GroupId&) const;
    RouteChoice makeChoice(const EndpointRouting&, const Term&, bool primary, Instant now) const;
    std::optional<double> replicaCost(const EndpointRouting&, const ReadRequirements&, Instant now) const;

    std::shared_ptr<const TrafficSnapshot> current;
    std::unordered_map<EndpointId, EndpointState> states;
    std::unordered_map<GroupId, LearntTerm> learntTerms;
    std::unordered_map<VmId, Instant> avoidedVms;
    RandomGenerator random;
};

} // namespace Lavendervane
