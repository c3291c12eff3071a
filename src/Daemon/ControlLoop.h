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

/// Runs the reducer of the control state on the control thread: passes it timer ticks, calls of peers and operators and
/// traffic observations, and has the executor carry out its effects. All functions except `observe` must be called on
/// the thread that runs the io_context.
class ControlLoop : public EffectSink, public PeerHandler, public OperatorHandler, public TrafficObserver {
public:
    using Publish = std::function<void(std::shared_ptr<const TrafficSnapshot>)>;

    ControlLoop(boost::asio::io_context&, const ControlSettings&, const EffectExecutor::Settings&, AdmissionTable&,
        const std::string& traceFile, prometheus::Registry&, Publish);

    void start();

    /// Tells the other VMs that this VM is leaving, so that they take over its roles.
    void announceLeave();

    /// Returns the grants and the allocator's lease; called once traffic has ended. Calls `done` when both are
    /// returned, at the latest after 1.2 seconds.
    void returnGrants(std::function<void()> done);

    /// True if a configuration is in force, this VM is not leaving, and, if there are organisations, an allocator has
    /// been known for long enough to have given grants.
    bool isReady() const;

    void handleEvent(const ControlEvent&) override;
    void publishSnapshot() override;
    void finishCommit(const CommitFinished&) override;
    void handleAllocatorStopped() override;

    void probe(GossipMessage, ProbeReply) override;
    void relayProbe(Member target, GossipMessage, RelayReply) override;
    void fetchChanges(uint64_t fromVersion, ChangesReply) override;
    void requestGrant(GrantRequest, GrantReply) override;
    void claimAllocator(AllocatorClaim, ClaimReply) override;

    std::shared_ptr<const Configuration> configuration() const override;
    void commit(Change, CommitReply) override;
    void history(size_t limit, HistoryReply) override;
    void status(bool allVms, StatusReply) override;

    /// May be called on any thread.
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
    boost::asio::steady_timer wakeTimer; ///< wakes the grant holder between ticks while requests wait for tokens
    boost::asio::steady_timer stopTimer; ///< time limits of `returnGrants`
    std::optional<Instant> wakeAt;
    std::optional<Instant> allocatorKnownAt; ///< when this VM first learnt of an allocator
    std::function<void()> onGrantsReturned;
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
