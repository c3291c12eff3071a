#pragma once

#include "Control/ControlState.h"
#include "Control/Trace.h"
#include "Control/TrafficSnapshot.h"
#include "Daemon/EffectExecutor.h"
#include "Operator/OperatorHandler.h"
#include "Peer/PeerHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
} // namespace prometheus

namespace Lavendervane {

/// Runs the reducer on the control thread: feeds it ticks, calls of peers, operators and traffic, and hands its effects
/// to the executor. All functions but `observe` must be called on the thread that runs the io_context.
class ControlLoop : public EffectSink, public PeerHandler, public OperatorHandler, public TrafficObserver {
public:
    using Publish = std::function<void(std::shared_ptr<const TrafficSnapshot>)>;

    ControlLoop(boost::asio::io_context&, const ControlSettings&, const EffectExecutor::Settings&, AdmissionTable&,
        const std::string& traceFile, prometheus::Registry&, Publish);

    void start();

    /// Announces that this VM leaves; its roles move to others.
    void leave();

    /// Returns the grants and the allocator's lease once traffic has ended, and calls back when that is done or has
    /// taken a second.
    void returnGrants(std::function<void()> done);

    /// True once a configuration is in force and an allocator of grants is known, and while the VM does not leave.
    bool ready() const;

    void handleEvent(const ControlEvent&) override;
    void publishSnapshot() override;
    void finishCommit(const CommitFinished&) override;
    void allocatorStopped() override;

    void probe(GossipMessage, ProbeReply) override;
    void relayProbe(Member target, GossipMessage, RelayReply) override;
    void fetchChanges(uint64_t fromVersion, ChangesReply) override;
    void requestGrant(GrantRequest, GrantReply) override;
    void claimAllocator(AllocatorClaim, ClaimReply) override;

    std::shared_ptr<const Configuration> configuration() const override;
    void commit(Change, CommitReply) override;
    void history(size_t limit, HistoryReply) override;
    void status(bool allVms, StatusReply) override;

    /// Safe from any thread.
    void observe(TrafficObservation) override;

private:
    struct Metrics {
        explicit Metrics(prometheus::Registry&);
        prometheus::Counter& events;
        prometheus::Counter& failures;
        prometheus::Gauge& configurationVersion;
        prometheus::Gauge& liveVms;
    };

    void scheduleTick();
    void scheduleWake();
    void publishNow();

    boost::asio::io_context& context;
    ControlState state;
    AdmissionTable& admission;
    EffectExecutor executor;
    Publish publish;
    Metrics metrics;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer wakeTimer; ///< between ticks, for grants that requests wait for
    boost::asio::steady_timer stopTimer;
    std::optional<Instant> wakeAt;
    std::optional<Instant> allocatorKnownAt; ///< time of the first claim by an allocator
    std::function<void()> grantsReturned;
    RandomGenerator seeds;
    std::ofstream traceStream;
    std::optional<TraceRecorder> trace;
    std::shared_ptr<const TrafficSnapshot> published;
    bool publishPending = false;
    std::map<uint64_t, CommitReply> commits;
    uint64_t lastCommit = 0;
    std::map<VmId, uint64_t> peerVersions; ///< configuration version that each VM last reported
};

} // namespace Lavendervane
