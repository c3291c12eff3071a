#pragma once

#include "Routing/Router.h"
#include "Traffic/EndpointTask.h"
#include "Traffic/TrafficMetrics.h"
#include "Traffic/TrafficServer.h"

#include <atomic>
#include <memory>
#include <vector>

namespace Lavendervane {

class Admission;
class ForwardClient;
class TrafficThread;
class TransactionChannel;

/// What the traffic threads share. Calls are safe from any thread unless stated otherwise.
struct TrafficShared {
    TrafficShared(const TrafficSettings&, Admission&, TrafficObserver&, prometheus::Registry&);
    ~TrafficShared();

    TrafficShared(const TrafficShared&) = delete;
    TrafficShared& operator=(const TrafficShared&) = delete;

    /// Thread that holds the queue and connections of an endpoint.
    TrafficThread& ownerThread(const EndpointId&);

    /// Runs a task at the chosen endpoint, here or at another VM. Called on thread `callerThread`, where the callback
    /// runs.
    void submit(TrafficThread& callerThread, const RouteChoice&, EndpointTask, EndpointCallback);

    /// Way to a transaction at the chosen endpoint. Called on thread `callerThread`.
    std::shared_ptr<TransactionChannel> openTransaction(TrafficThread& callerThread, const RouteChoice&);

    /// Tells every thread of a term learnt by one of them.
    void broadcastTerm(const GroupId&, const Term&, const std::optional<EndpointId>& primary);

    const TrafficSettings settings;
    Admission& admission;
    TrafficObserver& observer;
    TrafficMetrics metrics;
    std::unique_ptr<ForwardClient> forwardClient;
    std::vector<std::unique_ptr<TrafficThread>> threads;
    std::atomic<size_t> running { 0 };
    std::atomic<bool> stopped { false }; ///< the threads have ended; nothing may be posted to them any more
};

/// Counts one running request or transaction for as long as it lives.
class RunningRequestGuard {
public:
    explicit RunningRequestGuard(TrafficShared& shared)
        : shared(&shared)
    {
        ++shared.running;
    }
    ~RunningRequestGuard() { --this->shared->running; }

    RunningRequestGuard(const RunningRequestGuard&) = delete;
    RunningRequestGuard& operator=(const RunningRequestGuard&) = delete;

private:
    TrafficShared* shared;
};

} // namespace Lavendervane
