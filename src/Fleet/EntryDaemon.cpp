#include "Fleet/EntryDaemon.h"

#include "Fleet/FleetControl.h"
#include "Http/HttpServer.h"
#include "Metrics/MetricsServer.h"
#include "Metrics/SessionMetrics.h"
#include "Peers/DatagramPeers.h"
#include "Relay/TcpRelayTransport.h"
#include "Runtime/AsioTimers.h"
#include "Runtime/BuildId.h"
#include "Runtime/StructuredLog.h"
#include "Statements/StatementService.h"

#include "Core/Rendezvous.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <prometheus/registry.h>

#include <csignal>
#include <optional>
#include <thread>
#include <utility>

namespace Lavendervane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Duration of a lease on primaries. It is the longest time by which VMs that do not answer delay a promotion.
static constexpr Duration primaryLeaseDuration = std::chrono::milliseconds(1500);

// Interval at which a stopping VM checks whether all sessions have ended.
static constexpr auto sessionCheckInterval = std::chrono::milliseconds(50);

// Part of the drain time that cannot be used. A statement that was sent may be on its way to the endpoint for as long
// as its time limit, usually less than one second, and a transaction sends its first statement after its begin.
static constexpr auto drainMargin = std::chrono::milliseconds(2000);

// Time limit for returning the share of the limits when the VM stops.
static constexpr auto returnLimit = std::chrono::milliseconds(300);

namespace {

/// Answers the load balancer's readiness checks.
class ReadinessHandler : public HttpHandler {
public:
    ReadinessHandler(std::string path, std::function<bool()> ready)
        : path(std::move(path))
        , ready(std::move(ready))
    {
    }

    void handle(HttpRequest request, HttpRespond respond) override
    {
        HttpResponse response;
        response.version(11);
        response.result(request.target() != this->path ? http::status::not_found
                : this->ready()                        ? http::status::ok
                                                       : http::status::service_unavailable);
        response.prepare_payload();
        respond(std::move(response));
    }

    HttpResponse makeErrorResponse(unsigned status, const std::string& reason) override
    {
        return makeJsonResponse(status, "{\"error\":\"" + reason + "\"}");
    }

private:
    std::string path;
    std::function<bool()> ready;
};

class RequestLog : public TrafficLog {
public:
    RequestLog(StructuredLog& log, SessionMetrics& metrics)
        : log(log)
        , metrics(metrics)
    {
    }

    void statementFailed(const FailedStatement& failed) override
    {
        this->metrics.statementFailed(toString(failed.code), failed.duration);
        this->log.write("statement_failed",
            { { "request", failed.id }, { "organisation", failed.organisation.str() }, { "database", failed.database },
                { "code", std::string(toString(failed.code)) }, { "reason", failed.reason },
                { "endpoint", failed.endpoint.str() },
                { "took_us",
                    std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(failed.duration).count()) },
                { "attempts", std::to_string(failed.attempts) },
                { "configuration", std::to_string(failed.configurationVersion) } });
    }

    void relayFailed(const FailedRelay& failed) override
    {
        this->log.write("relay_failed",
            { { "request", failed.id }, { "organisation", failed.organisation.str() },
                { "endpoint", failed.endpoint.str() }, { "reason", failed.reason } });
    }

    void sentToDraining(const StatementToDraining& sent) override
    {
        this->metrics.sentToDraining();
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(sent.workTimeLeft).count();
        this->log.write("statement_to_draining",
            { { "request", sent.id }, { "endpoint", sent.endpoint.str() }, { "from", sent.from }, { "via", sent.via },
                { "work_ends_in_ms", std::to_string(left) } });
    }

    void guardedBatchEnded(const GuardedBatchOutcome& batch) override
    {
        this->metrics.guardedBatchEnded(toString(batch.path), batch.isRestWithheld);
        if (batch.isRestWithheld && !batch.id.empty())
            this->log.write("statement_withheld",
                { { "request", batch.id }, { "endpoint", batch.endpoint.str() },
                    { "path", std::string(toString(batch.path)) }, { "reason", batch.reason } });
    }

    void transactionEvacuated(const EndpointId& endpoint) override
    {
        this->metrics.transactionEvacuated();
        this->log.write("transaction_evacuated", { { "endpoint", endpoint.str() } });
    }

    void connectionOpenedAhead(
        const EndpointId& endpoint, const OrganisationId& organisation, const std::string& failure) override
    {
        this->metrics.connectionOpenedAhead(failure.empty());
        if (!failure.empty())
            this->log.write("open_ahead_failed",
                { { "endpoint", endpoint.str() }, { "organisation", organisation.str() }, { "reason", failure } });
    }

    void transactionDelayed(const EndpointId& endpoint, const OrganisationId& organisation) override
    {
        this->metrics.transactionDelayed();
        this->log.write(
            "transaction_delayed", { { "endpoint", endpoint.str() }, { "organisation", organisation.str() } });
    }

    void linkOpenedEarly() override { this->metrics.linkOpenedEarly(); }

    void batchRepeated(const RepeatedBatch& repeated) override
    {
        this->metrics.batchRepeated();
        this->log.write("relay_batch_repeated",
            { { "request", repeated.id }, { "organisation", repeated.organisation.str() },
                { "endpoint", repeated.endpoint.str() }, { "from", repeated.from }, { "reason", repeated.reason } });
    }

    void statementDone(bool atReplica, Duration took) override { this->metrics.statementDone(atReplica, took); }

    void endpointChanged(const EndpointId& endpoint, std::string_view change) override
    {
        this->metrics.endpointChanged(change);
        this->log.write("endpoint_" + std::string(change), { { "endpoint", endpoint.str() } });
    }

    void connectionBroke(const BrokenConnection& broken) override
    {
        this->metrics.connectionBroke(broken.statementPending);
        this->log.write("endpoint_connection_broke",
            { { "endpoint", broken.endpoint.str() }, { "organisation", broken.organisation.str() },
                { "statement_pending", broken.statementPending ? "true" : "false" }, { "reason", broken.reason } });
    }

    void repeatedAnswerIgnored(const EndpointId& endpoint) override
    {
        this->metrics.repeatedAnswerIgnored();
        this->log.write("repeated_answer_ignored", { { "endpoint", endpoint.str() } });
    }

    void messageRefused(const std::string& database, const std::string& reason) override
    {
        this->metrics.messageRefused();
        this->log.write("message_refused", { { "database", database }, { "reason", reason } });
    }

    void keysWithdrawn(size_t transactions, size_t pending) override
    {
        this->log.write("keys_withdrawn",
            { { "transactions", std::to_string(transactions) }, { "pending_statements", std::to_string(pending) } });
    }

    void sessionsChanged(size_t count) override { this->metrics.setSessions(count); }

private:
    StructuredLog& log;
    SessionMetrics& metrics;
};

} // namespace

class EntryDaemon::Implementation : public TrafficPort, public TrafficListener {
public:
    Implementation(EntryDaemonSettings settings, EntryDaemonFactory& factory)
        : settings(std::move(settings))
        , log(this->settings.vm.str())
        , metrics(this->metricsRegistry)
        , requestLog(this->log, this->metrics)
        , controlTimers(this->controlContext)
        , trafficTimers(this->trafficContext)
        , table(factory.makeTable(this->controlContext))
        , feed(factory.makeDirectoryFeed(this->controlContext))
        , orders(factory.makePromotionOrders(this->controlContext))
        , connector(factory.makeConnector(this->trafficContext))
        , peers(this->trafficContext, this->settings.peerAddress)
        , relay(this->trafficContext, this->settings.peerAddress)
        , service(serviceSettings(this->settings), this->trafficTimers, *this->connector, this->peers, this->relay,
              *this, this->requestLog)
        , control(controlSettings(this->settings), this->controlTimers, *this->table, *this->orders, *this, this->log,
              this->metrics)
        , listener(factory.makeCallerListener(this->trafficContext, this->service))
        , signals(this->controlContext, SIGTERM, SIGINT, SIGHUP)
    {
        HttpServerSettings readiness;
        readiness.address = this->settings.readinessAddress;
        this->readinessServer.emplace(this->controlContext, readiness, [this] {
            return std::make_shared<ReadinessHandler>(this->settings.readinessPath, [this] { return this->ready(); });
        });
        if (!this->settings.metricsAddress.empty())
            this->metricsServer.emplace(this->controlContext, this->settings.metricsAddress, this->metricsRegistry,
                [this] { return this->ready(); });
    }

    int run()
    {
        this->log.write("started",
            { { "version", LAVENDERVANE_VERSION }, { "build", readBuildId() }, { "run", this->settings.runId },
                { "data_centre", this->settings.dataCentre.str() } });
        this->waitForSignal();
        this->control.start();
        this->control.follow(*this->feed);
        std::thread traffic([this] {
            const auto work = asio::make_work_guard(this->trafficContext);
            this->trafficContext.run();
        });
        this->controlContext.run();
        this->trafficContext.stop();
        traffic.join();
        this->log.write("stopped", {});
        return 0;
    }

    // TrafficPort; called on the control thread.

    void setDirectory(std::shared_ptr<const Directory> directory) override
    {
        asio::post(
            this->trafficContext, [this, directory = std::move(directory)] { this->service.setDirectory(directory); });
    }

    void applyShare(uint32_t share, Instant expiry) override
    {
        asio::post(this->trafficContext,
            [this, share, expiry] { this->service.shares().setShare(share, expiry, this->trafficTimers.now()); });
    }

    void setPeers(std::vector<FleetMember> peers) override
    {
        asio::post(this->trafficContext, [this, peers = std::move(peers)] { this->service.setPeers(peers); });
    }

    void announcePromotion(const AnnouncePromotion& effect) override
    {
        asio::post(this->trafficContext,
            [this, effect] { this->service.announcePromotion(effect.group, effect.endpoint, effect.expectedIn); });
    }

    void pollReachability(const PollReachability& effect, std::function<void(ReachabilityPolled)> callback) override
    {
        asio::post(this->trafficContext, [this, effect, callback = std::move(callback)] {
            this->service.pollReachability(
                effect.group, effect.endpoint, [this, effect, callback](ReachabilityCounts counts) {
                    this->postToControl(callback,
                        ReachabilityPolled { effect.group, effect.attempt, counts.asked, counts.reachable,
                            counts.unreachable, counts.newestTerm, std::move(counts.commits) });
                });
        });
    }

    void queryStatuses(
        const QueryEndpointStatuses& effect, std::function<void(EndpointStatusesReceived)> callback) override
    {
        asio::post(this->trafficContext, [this, effect, callback = std::move(callback)] {
            this->service.inspect(effect.group,
                { effect.endpoints, effect.unregistered, makeProxyStatement(kindOf(effect.command), effect.term) },
                [this, effect, callback](Inspection found) {
                    this->postToControl(callback,
                        EndpointStatusesReceived { effect.group, effect.attempt, std::move(found.statuses),
                            std::move(found.refused), std::move(found.listening) });
                });
        });
    }

    void announceMember(const AnnounceMember& effect) override
    {
        asio::post(
            this->trafficContext, [this, effect] { this->service.announceMember(effect.member, effect.addresses); });
    }

    void confirmTables(const TablesConfirmed& message, const std::vector<std::string>& addresses) override
    {
        asio::post(
            this->trafficContext, [this, message, addresses] { this->service.confirmTables(message, addresses); });
    }

    void startPrimaryLease(std::vector<PrimaryRevocation> stored) override
    {
        asio::post(
            this->trafficContext, [this, stored = std::move(stored)] { this->service.primaryLease().start(stored); });
    }

    void revokePrimary(const RevokePrimary& effect, std::function<void(PrimaryRevocationFinished)> callback) override
    {
        asio::post(this->trafficContext, [this, effect, callback = std::move(callback)] {
            this->service.primaryLease().revoke(effect.revocation, effect.members,
                [this, effect, callback](bool complete, const std::optional<LogPosition>& lastAcknowledged) {
                    this->postToControl(callback,
                        PrimaryRevocationFinished {
                            effect.revocation.group, effect.attempt, complete, lastAcknowledged });
                });
        });
    }

    void stepDown(const StepDownPrimary& effect, std::function<void(StepDownAnswered)> callback) override
    {
        asio::post(this->trafficContext, [this, effect, callback = std::move(callback)] {
            this->service.inspect(effect.group,
                { { effect.endpoint }, {}, makeProxyStatement(StatementKind::StepDown, effect.term) },
                [this, effect, callback](const Inspection& found) {
                    StepDownAnswered answered { effect.group, effect.attempt, std::nullopt };
                    if (!found.statuses.empty())
                        answered.status = found.statuses.begin()->second;
                    this->postToControl(callback, answered);
                });
        });
    }

    // TrafficListener, called on the traffic thread

    void endpointReachabilityChanged(const GroupId& group, const EndpointId& endpoint, bool reachable) override
    {
        asio::post(this->controlContext, [this, event = EndpointReachabilityChanged { group, endpoint, reachable }] {
            this->control.handlePromotionEvent(event);
        });
    }

    void acceptsCallersChanged(bool wanted) override
    {
        asio::post(this->controlContext, [this, wanted] {
            this->log.write(wanted ? "ready_again" : "isolated", {});
            this->isolated = !wanted;
        });
    }

    void memberAnnounced(const FleetMember& member) override
    {
        asio::post(this->controlContext, [this, member] { this->control.onMemberAnnounced(member); });
    }

    void tablesConfirmed(const TablesConfirmed& message) override
    {
        asio::post(this->controlContext, [this, message] { this->control.onTablesConfirmed(message); });
    }

    void primaryRevoked(const PrimaryRevocation& revocation) override
    {
        asio::post(this->controlContext, [this, revocation] { this->control.onPrimaryRevoked(revocation); });
    }

    void promotionNoticeReceived(const GroupId& group) override
    {
        asio::post(this->controlContext,
            [this, group] { this->control.handlePromotionEvent(PromotionNoticeReceived { group }); });
    }

private:
    bool ready() const { return !this->stopping && !this->isolated && this->control.ready(); }

    static StatementServiceSettings serviceSettings(const EntryDaemonSettings& settings)
    {
        StatementServiceSettings service;
        service.dataCentre = settings.dataCentre;
        service.vm = settings.vm;
        service.limitWindow = settings.limitWindow;
        service.limitTolerance = settings.limitTolerance;
        service.limitSlack = settings.limitSlack;
        service.sessionState = SessionStateLimits::makeFor(settings.memoryBytes);
        if (!settings.endpointsAreFenced)
            service.primaryLease.duration = primaryLeaseDuration;
        return service;
    }

    static FleetControlSettings controlSettings(const EntryDaemonSettings& settings)
    {
        FleetControlSettings control;
        control.self = { settings.vm, settings.dataCentre, settings.peerAddress, settings.processorMillis };
        control.runId = settings.runId;
        if (!settings.endpointsAreFenced)
            control.promotion.primaryLease = primaryLeaseDuration;
        control.drainLimit = std::max(settings.endpointDrainTime - drainMargin, settings.endpointDrainTime / 2);
        control.evacuation = EvacuationLimits::makeFor(settings.evacuationTime);
        control.regions = settings.regions;
        control.feedMonitor = FeedMonitorSettings::makeFor(settings.changeApplyTime);
        control.seed = stableHash(settings.vm.str() + settings.runId);
        return control;
    }

    static StatementKind kindOf(ReplicationCommand command)
    {
        switch (command) {
        case ReplicationCommand::Pause:
            return StatementKind::Pause;
        case ReplicationCommand::Resume:
            return StatementKind::Resume;
        case ReplicationCommand::None:
            break;
        }
        return StatementKind::Status;
    }

    template <typename Callback, typename Event> void postToControl(const Callback& callback, Event event)
    {
        asio::post(
            this->controlContext, [callback, event = std::move(event)]() mutable { callback(std::move(event)); });
    }

    void waitForSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                this->log.write("reload_requested", {});
            else
                this->beginStop();
            this->waitForSignal();
        });
    }

    void beginStop()
    {
        if (std::exchange(this->stopping, true))
            return;
        this->log.write("stopping", {});
        const Instant now = this->controlTimers.now();
        const Duration limit = this->settings.stopLimit;
        this->controlTimers.schedule(now + this->settings.balancerDetectionTime, [this] { this->closeSessions(); });
        this->controlTimers.schedule(
            now + limit / 2, [this] { asio::post(this->trafficContext, [this] { this->abortTransactions(); }); });
        this->controlTimers.schedule(now + limit - this->settings.closeReserve, [this] { this->stopTraffic(); });
    }

    // Called on the traffic thread.
    void abortTransactions()
    {
        this->logSessions("transactions_aborting");
        this->service.abortTransactions();
        this->logSessions("transactions_aborted");
    }

    void logSessions(std::string_view event)
    {
        const SessionCounts counts = this->service.countSessions();
        this->log.write(event,
            { { "sessions", std::to_string(counts.sessions) }, { "transactions", std::to_string(counts.transactions) },
                { "pending_statements", std::to_string(counts.pendingStatements) } });
    }

    void closeSessions()
    {
        asio::post(this->trafficContext, [this] {
            this->listener->stopAccepting();
            this->service.closeIdleSessions();
            this->stopWhenSessionsEnd();
        });
    }

    // Stops traffic before the time limit once no session and no relayed work is left. Called on the traffic thread.
    void stopWhenSessionsEnd()
    {
        if (this->service.sessionCount() || this->service.busyRelayLinks()) {
            this->trafficTimers.schedule(
                this->trafficTimers.now() + sessionCheckInterval, [this] { this->stopWhenSessionsEnd(); });
            return;
        }
        asio::post(this->controlContext, [this] { this->stopTraffic(); });
    }

    void stopTraffic()
    {
        if (std::exchange(this->trafficStopped, true))
            return;
        asio::post(this->trafficContext, [this] {
            if (this->service.sessionCount())
                this->logSessions("sessions_cut");
            this->service.shutDown();
            asio::post(this->controlContext, [this] { this->control.stop([this] { this->controlContext.stop(); }); });
        });
    }

    EntryDaemonSettings settings;
    asio::io_context controlContext { 1 };
    asio::io_context trafficContext { 1 };
    StructuredLog log;
    prometheus::Registry metricsRegistry;
    SessionMetrics metrics;
    RequestLog requestLog;
    AsioTimers controlTimers;
    AsioTimers trafficTimers;
    std::unique_ptr<TableStore> table;
    std::unique_ptr<DirectoryFeed> feed;
    std::unique_ptr<PromotionOrders> orders;
    std::unique_ptr<EndpointConnector> connector;
    DatagramPeers peers;
    TcpRelayTransport relay;
    StatementService service;
    FleetControl control;
    std::unique_ptr<CallerListener> listener;
    asio::signal_set signals;
    std::optional<HttpServer> readinessServer;
    std::optional<MetricsServer> metricsServer;
    bool stopping = false;
    bool isolated = false; ///< true while the traffic thread reports that it can serve no callers
    bool trafficStopped = false;
};

EntryDaemon::EntryDaemon(EntryDaemonSettings settings, EntryDaemonFactory& factory)
    : implementation(std::make_unique<Implementation>(std::move(settings), factory))
{
}

EntryDaemon::~EntryDaemon() = default;

int EntryDaemon::run() { return this->implementation->run(); }

} // namespace Lavendervane
