#pragma once

#include "Control/TrafficSnapshot.h"
#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "Core/RandomGenerator.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// Conditions that an endpoint must meet to answer a read.
struct ReadRequirements {
    std::optional<LogPosition> required; ///< position that the answer must cover
    std::optional<Duration> maxStaleness; ///< replicas with at most this lag may answer, whatever their position
    bool primaryOnly = false;

    friend bool operator==(const ReadRequirements&, const ReadRequirements&) = default;
};

/// Endpoint chosen for an attempt, and the VM through which the endpoint is reached.
struct RouteChoice {
    EndpointId endpoint;
    VmId vm;
    Term term;
    bool primary = false;

    friend bool operator==(const RouteChoice&, const RouteChoice&) = default;
};

/// Chooses endpoints, based on the snapshot and on positions, terms and failures that this thread learnt from
/// responses (docs/design.md, 5.3).
class Router {
public:
    explicit Router(uint64_t seed)
        : random(seed)
    {
    }

    void setSnapshot(std::shared_ptr<const TrafficSnapshot>);
    const std::shared_ptr<const TrafficSnapshot>& snapshot() const { return this->currentSnapshot; }

    /// Records how far an endpoint has applied the log and how far its data lagged behind the primary.
    void learnPosition(const EndpointId&, const AppliedPosition&, Duration lag, Instant now);

    /// Records a term seen in a response. Returns true if it is higher than the highest known term of the group.
    bool learnTerm(const GroupId&, const Term&, const std::optional<EndpointId>& primary);

    /// Counts an attempt as running at the endpoint until `recordAttemptEnd`.
    void recordAttemptStart(const EndpointId&);

    /// Stops counting an attempt as running at the endpoint.
    void recordAttemptEnd(const EndpointId&);

    /// Excludes an endpoint that did not answer from reads at replicas for a short time.
    void avoidEndpoint(const EndpointId&, Instant now);

    /// Reaches endpoints through other VMs for a short time after this VM did not answer.
    void avoidVm(const VmId&, Instant now);

    /// Highest known term of the group, from the snapshot or from responses.
    Term term(const GroupId&) const;

    /// False if the snapshot reports that no majority of the group is reachable.
    bool isMajorityReachable(const GroupId&) const;

    /// True if the snapshot contains the endpoint and reports it as reachable.
    bool isReachable(const EndpointId&) const;

    /// Returns the primary of the highest known term; empty while it is unknown or if it is leaving.
    std::optional<RouteChoice> choosePrimary(const GroupId&, Instant now) const;

    /// Returns the replica of lowest cost that may answer the read, else the primary; empty if neither can be used.
    std::optional<RouteChoice> chooseRead(
        const GroupId&, const ReadRequirements&, const std::vector<EndpointId>& excluded, Instant now);

private:
    struct EndpointState {
        std::optional<AppliedPosition> applied;
        Duration lag {};
        Instant learntAt {};
        uint32_t runningAttempts = 0;
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

    std::shared_ptr<const TrafficSnapshot> currentSnapshot;
    std::unordered_map<EndpointId, EndpointState> endpointStates;
    std::unordered_map<GroupId, LearntTerm> learntTerms;
    std::unordered_map<VmId, Instant> avoidedVms;
    RandomGenerator random;
};

} // namespace Lavendervane
