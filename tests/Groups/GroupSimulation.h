#pragma once

#include "Core/RandomGenerator.h"
#include "Groups/GroupSupervisor.h"
#include "Groups/SafetyChecker.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace Lavendervane::Test {

/// Simulated network of endpoints and competing supervisors with virtual time. Equal seeds give equal runs.
class GroupSimulation {
public:
    using Trace = std::vector<std::pair<GroupEvent, std::vector<GroupEffect>>>;

    GroupSimulation(uint64_t seed, size_t endpoints, size_t supervisors);

    /// Runs with faults, then without. Throws InvariantViolation, also if the group does not converge in time.
    void run();

    enum class PrimaryFault {
        Killed, ///< connections are refused
        Suspended, ///< connections stay open without any answer
        Isolated, ///< messages to and from all supervisors and replicas are lost
    };

    /// Returns the time from the fault to the first entry confirmed in a newer term, without other faults. Throws
    /// InvariantViolation after 20 s.
    Duration measureFailover(PrimaryFault);

    /// Returns the events of the first supervisor since its last start, each with its effects.
    const Trace& trace() const { return this->recordedTrace; }
    const GroupSupervisor& firstSupervisor() const { return *this->supervisors.front().reducer; }
    size_t promotionCount() const { return this->promotions; }
    size_t confirmedEntries() const { return this->checker.confirmed().size(); }

private:
    struct Supervisor {
        VmId vm;
        uint32_t rank = 0;
        uint64_t generation = 0; ///< number of starts; answers to earlier generations are dropped
        bool paused = false;
        std::deque<GroupEvent> queuedEvents; ///< events that arrived while paused
        std::optional<GroupSupervisor> reducer;
    };

    struct Timer {
        Instant at;
        uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const Timer& left, const Timer& right)
        {
            return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
        }
    };

    using Command = std::function<GroupEvent(ModelEndpoint&)>;

    void schedule(Duration, std::function<void()>);
    void runUntil(Instant);
    /// Returns true with the given probability.
    bool chance(uint64_t percent);
    /// Delay of one message.
    Duration randomDelay();
    /// True if the link between two nodes works. Nodes are the endpoints, then the supervisors.
    bool isConnected(size_t left, size_t right) const;
    size_t nodeIndexOf(size_t supervisor) const { return this->endpoints.size() + supervisor; }

    void startSupervisor(size_t);
    void configure(size_t);
    /// Ticks a supervisor now and then every 100 ms. All functions ...Periodically schedule their next call.
    void tickPeriodically(size_t);
    void gossipPeriodically(size_t);
    void feed(size_t supervisor, GroupEvent);
    void execute(size_t supervisor, const GroupEffect&);
    void sendViewToPeers(size_t supervisor, const GroupView&);
    void sendCommand(size_t supervisor, const EndpointId&, const Command&);
    /// Runs the action now, or when the endpoint resumes if it is suspended.
    void runUnlessSuspended(size_t endpoint, std::function<void()>);

    void writePeriodically(size_t endpoint);
    void replicatePeriodically(size_t endpoint);
    void acknowledge(size_t primary, const Term&, const EndpointId& holder, size_t size);

    ModelEndpoint& currentPrimary();
    void injectFault();
    void injectLinkFault();
    void injectEndpointFault();
    void injectSupervisorFault();
    void endAllFaults();
    void resumeEndpoint(size_t endpoint);
    void checkConverged() const;
    void checkFollowers(const ModelEndpoint& primary) const;

    RandomGenerator random;
    Instant now;
    uint64_t sequence = 0;
    uint64_t nextEntry = 1;
    size_t promotions = 0;
    bool faultsEnabled = true;
    std::vector<ModelEndpoint> endpoints;
    std::vector<std::deque<std::function<void()>>> pendingActions; ///< by endpoint; run when the endpoint resumes
    std::vector<Supervisor> supervisors;
    std::optional<size_t> leaving; ///< endpoint that is declared as leaving
    std::set<std::pair<size_t, size_t>> brokenLinks; ///< pairs of nodes, the lower index first
    std::priority_queue<Timer> timers;
    SafetyChecker checker;
    Trace recordedTrace;
};

} // namespace Lavendervane::Test
