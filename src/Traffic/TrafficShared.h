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

/// State shared by the traffic threads. Functions are thread-safe unless stated otherwise.
struct TrafficShared {
    TrafficShared(const TrafficSettings&, Admission&, TrafficObserver&, prometheus::Registry&);
    ~TrafficShared();

    TrafficShared(const TrafficShared&) = delete;
    TrafficShared& operator=(const TrafficShared&) = delete;

    /// Returns the thread that has the queue and the connections of an endpoint.
    TrafficThread& ownerThread(const EndpointId&);

    /// Runs a task at the chosen endpoint, on this VM or through another VM. Must be called on `callerThread`, where
    /// the callback runs.
    void submit(TrafficThread& callerThread, const RouteChoice&, EndpointTask, EndpointCallback);

    /// Creates a channel for a transaction at the chosen endpoint. Must be called on `callerThread`.
    std::shared_ptr<TransactionChannel> openTransaction(TrafficThread& callerThread, const RouteChoice&);

    /// Passes a term that one thread has learnt to all threads.
    void broadcastTerm(const GroupId&, const Term&, const std::optional<EndpointId>& primary);

    const TrafficSettings settings;
    Admission& admission;
    TrafficObserver& observer;
    TrafficMetrics metrics;
    std::unique_ptr<ForwardClient> forwardClient;
    std::vector<std::unique_ptr<TrafficThread>> threads;
    std::atomic<size_t> running { 0 };
    std::atomic<bool> stopped {
        false
    }; ///< true once the threads have ended; nothing must be posted to them afterwards
};

/// Includes one request or transaction in TrafficShared::running for the lifetime of the guard.
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
