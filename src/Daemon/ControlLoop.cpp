#include "Daemon/ControlLoop.h"

#include "Configuration/Configuration.h"
#include "Control/MakeTrafficSnapshot.h"
#include "Control/Reduce.h"
#include "Core/Error.h"
#include "Daemon/MakeStatus.h"
#include "Runtime/BootTime.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace Lavendervane {

static constexpr auto tickInterval = std::chrono::milliseconds(100);

// A new allocator waits 1 s for reports before it gives grants, and its pool starts without tokens.
static constexpr auto grantSettleTime = std::chrono::milliseconds(1500);

static prometheus::Counter& makeCounter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

static prometheus::Gauge& makeGauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

ControlLoop::Metrics::Metrics(prometheus::Registry& registry)
    : events(makeCounter(registry, "lavendervane_control_events_total", "Events handled by the control thread"))
    , failures(makeCounter(registry, "lavendervane_control_failures_total", "Control events that failed"))
    , configurationVersion(makeGauge(registry, "lavendervane_configuration_version", "Configuration in force"))
    , liveVms(makeGauge(registry, "lavendervane_live_vms", "VMs in the published snapshot, this one included"))
{
}

ControlLoop::ControlLoop(boost::asio::io_context& context, const ControlSettings& settings,
    const EffectExecutor::Settings& executorSettings, AdmissionTable& admission, const std::string& traceFile,
    prometheus::Registry& registry, Publish publish)
    : context(context)
    , state(settings)
    , admission(admission)
    , executor(context, executorSettings, admission, *this)
    , publish(std::move(publish))
    , metrics(registry)
    , tickTimer(context)
    , wakeTimer(context)
    , stopTimer(context)
    , seeds(settings.seed)
{
    if (traceFile.empty())
        return;
    this->traceStream.open(traceFile);
    if (!this->traceStream)
        throw Error("open trace", "", traceFile + " cannot be written");
    this->trace.emplace(this->traceStream, settings);
}

void ControlLoop::start()
{
    this->publishNow();
    this->handleEvent(ControlTick { bootTimeNow(), this->seeds.next() });
    this->scheduleTick();
}

void ControlLoop::scheduleTick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        const Instant now = bootTimeNow();
        this->handleEvent(HolderEvent(DemandMeasured { now, this->admission.collectDemand(now) }));
        this->handleEvent(ControlTick { now, this->seeds.next() });
        this->scheduleTick();
    });
}

// The grant holder may also ask for tokens between ticks, because requests wait for them.
void ControlLoop::scheduleWake()
{
    const auto due = this->state.holder.wakeAt();
    if (due == this->wakeAt)
        return;
    this->wakeAt = due;
    if (!due) {
        this->wakeTimer.cancel();
        return;
    }
    this->wakeTimer.expires_after(std::max(Duration(std::chrono::milliseconds(1)), *due - bootTimeNow()));
    this->wakeTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->wakeAt.reset();
        this->handleEvent(HolderEvent(HolderTick { bootTimeNow() }));
    });
}

void ControlLoop::returnGrants(std::function<void()> done)
{
    constexpr auto allocatorCallTime = std::chrono::milliseconds(200); // time for the last call to the allocator
    constexpr auto limit = std::chrono::seconds(1);
    this->onGrantsReturned = std::move(done);
    this->handleEvent(HolderEvent(HolderStopping { bootTimeNow() }));
    this->stopTimer.expires_after(allocatorCallTime);
    this->stopTimer.async_wait([this, limit](boost::system::error_code error) {
        if (error)
            return;
        this->handleEvent(AllocatorEvent(AllocatorStopping { bootTimeNow() }));
        if (!this->onGrantsReturned)
            return;
        this->stopTimer.expires_after(limit);
        this->stopTimer.async_wait([this](boost::system::error_code expired) {
            if (!expired)
                this->handleAllocatorStopped();
        });
    });
}

void ControlLoop::handleAllocatorStopped()
{
    if (const auto done = std::exchange(this->onGrantsReturned, nullptr))
        done();
}

void ControlLoop::announceLeave() { this->handleEvent(MembershipEvent(LeaveRequested { bootTimeNow() })); }

bool ControlLoop::isReady() const
{
    // Until the allocator has given grants, every request would be refused, so the load balancer must use other VMs.
    const bool granted = this->state.configuration->organisations.empty()
        || (this->allocatorKnownAt && bootTimeNow() - *this->allocatorKnownAt >= grantSettleTime);
    return this->state.configuration->version > 0 && granted && !this->state.leaving;
}

void ControlLoop::handleEvent(const ControlEvent& event)
{
    if (this->trace)
        this->trace->record(event);
    this->metrics.events.Increment();
    try {
        this->executor.execute(reduce(this->state, event));
    } catch (const std::exception& error) {
        // A malformed row or message must not end the daemon, which can still serve traffic from its current state.
        this->metrics.failures.Increment();
        LOG(ERROR) << "event=control_event_failed error=\"" << error.what() << '"';
    }
    if (!this->allocatorKnownAt && this->state.holder.epoch() > 0)
        this->allocatorKnownAt = bootTimeNow();
    this->scheduleWake();
}

void ControlLoop::publishSnapshot()
{
    // Events that are ready at the same time share one snapshot.
    if (std::exchange(this->publishPending, true))
        return;
    boost::asio::post(this->context, [this] { this->publishNow(); });
}

void ControlLoop::publishNow()
{
    this->publishPending = false;
    const auto previous = std::exchange(this->published, makeTrafficSnapshot(this->state));
    const uint64_t version = this->published->configuration->version;
    if (!previous || previous->configuration->version != version)
        LOG(INFO) << "event=configuration_in_force version=" << version;
    if (previous) {
        for (const auto& [vm, peer] : previous->peers) {
            if (!this->published->peers.contains(vm)) {
                LOG(INFO) << "event=peer_gone peer=" << vm << " data_centre=" << peer.dataCentre;
                this->executor.peers().dropChannel(peer.address);
                this->peerVersions.erase(vm);
            }
        }
    }
    this->metrics.configurationVersion.Set(static_cast<double>(version));
    this->metrics.liveVms.Set(static_cast<double>(this->published->peers.size() + 1));
    this->publish(this->published);
}

void ControlLoop::finishCommit(const CommitFinished& finished)
{
    const auto found = this->commits.find(finished.operation);
    if (found == this->commits.end())
        return;
    const auto reply = std::move(found->second);
    this->commits.erase(found);
    reply(finished.result, finished.version);
}

void ControlLoop::probe(GossipMessage message, ProbeReply reply)
{
    this->peerVersions[message.from.vm] = message.configurationVersion;
    const uint64_t call = this->executor.holdProbeReply(std::move(reply));
    this->handleEvent(ProbeArrived { bootTimeNow(), call, std::move(message) });
}

void ControlLoop::relayProbe(Member target, GossipMessage message, RelayReply reply)
{
    this->executor.peers().relayProbe(target.address, message, [target, reply = std::move(reply)](auto answer) {
        reply(answer && answer->from.vm == target.vm ? std::move(answer) : std::nullopt);
    });
}

void ControlLoop::fetchChanges(uint64_t fromVersion, ChangesReply reply)
{
    ChangesAnswer answer;
    answer.version = this->state.configuration->version;
    if (auto changes = this->state.chain.changesAfter(fromVersion))
        answer.changes = std::move(*changes);
    else
        answer.snapshot = *this->state.configuration;
    reply(std::move(answer));
}

void ControlLoop::requestGrant(GrantRequest request, GrantReply reply)
{
    const uint64_t call = this->executor.holdGrantReply(std::move(reply));
    this->handleEvent(GrantCallArrived { bootTimeNow(), call, std::move(request) });
}

void ControlLoop::claimAllocator(AllocatorClaim claim, ClaimReply reply)
{
    const uint64_t call = this->executor.holdClaimReply(std::move(reply));
    this->handleEvent(ClaimCallArrived { bootTimeNow(), call, std::move(claim) });
}

std::shared_ptr<const Configuration> ControlLoop::configuration() const { return this->state.configuration; }

void ControlLoop::commit(Change change, CommitReply reply)
{
    const uint64_t operation = ++this->lastCommit;
    this->commits.emplace(operation, std::move(reply));
    this->handleEvent(ChainEvent(CommitRequested { bootTimeNow(), operation, std::move(change) }));
}

void ControlLoop::history(size_t limit, HistoryReply reply) { reply(this->state.chain.recentChanges(limit)); }

void ControlLoop::status(bool, StatusReply reply) { replyWithStatus(this->state, this->peerVersions, reply); }

void ControlLoop::observe(TrafficObservation observation)
{
    boost::asio::post(this->context, [this, observation = std::move(observation)] {
        this->handleEvent(TrafficObserved { bootTimeNow(), observation });
    });
}

} // namespace Lavendervane
