#pragma once

#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "Runtime/Timers.h"
#include "Statements/BrokenConnection.h"
#include "Statements/ColdStartLimiter.h"
#include "Statements/EndpointHealth.h"
#include "Statements/EndpointLink.h"
#include "Statements/PooledConnection.h"
#include "Statements/ReadPatience.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

struct EndpointPoolSettings {
    /// Time limit until the endpoint's host accepts a TCP connection: about 100 round trips within a region.
    Duration connectTimeout = std::chrono::milliseconds(300);
    /// Time limit for opening the session once the host has accepted the connection. Opening takes up to 30 ms at an
    /// idle endpoint; at a busy one, it is queued behind statements.
    Duration openTimeout = std::chrono::milliseconds(2000);
    /// If a statement has been unanswered for this long and the endpoint has sent nothing else in the meantime, a new
    /// connection is opened to check whether the endpoint is reachable. Statements take up to 110 ms and are queued
    /// behind at most 16 others.
    Duration silenceTimeout = std::chrono::milliseconds(300);
    /// Delay between attempts to connect to an unreachable endpoint.
    Duration retryInterval = std::chrono::milliseconds(250);
    /// Delay before the next connection is opened after the endpoint has rejected one because it has too many. The
    /// delay doubles with each consecutive rejection, up to `maxBackoff`. Other VMs close idle connections in the
    /// meantime.
    Duration initialBackoff = std::chrono::milliseconds(20);
    Duration maxBackoff = std::chrono::milliseconds(60);
    /// Maximum number of connections that are being opened at the same time. Each one occupies a slot of the endpoint.
    uint32_t maxConcurrentOpens = 2;
    /// Estimated time to open a connection, used until one has been measured.
    Duration initialOpenTimeEstimate = std::chrono::milliseconds(15);
    /// Bounds the connections that transactions of idle callers hold. Only set where the VMs share connections through
    /// owners: there, the callers of all VMs compete for the connections of one.
    bool boundsIdleTransactions = false;
    /// True if the links go through owners, which refuse statements as busy for reasons of their own.
    bool isRelayed = false;
};

/// Result of `EndpointPool::acquire`. Without a connection, nothing was sent to the endpoint.
struct AcquireResult {
    std::shared_ptr<PooledConnection> connection;
    std::string reason; ///< why no connection was acquired
};

/// Use of the connections of a pool.
struct PoolOccupancy {
    size_t waiting = 0; ///< statements that wait for a connection
    size_t pending = 0; ///< connections with an unanswered batch
    size_t opening = 0; ///< connections that are being opened
    size_t connections = 0; ///< all connections
    uint32_t limit = 1; ///< maximum number of connections
    Instant lastContact {}; ///< time at which the endpoint or its host last responded
    std::set<OrganisationId> organisations; ///< organisations that have a connection
};

using AcquireCallback = std::function<void(AcquireResult)>;

/// Receives changes of whether an endpoint is reachable from this VM, and of its connections.
class EndpointObserver {
public:
    virtual ~EndpointObserver() = default;
    virtual void endpointReachabilityChanged(const EndpointId&, bool reachable) = 0;

    /// An open connection has failed, or was given up because of what the endpoint sent.
    virtual void connectionBroke(const BrokenConnection&) = 0;

    /// The endpoint has sent an answer again, which was ignored.
    virtual void repeatedAnswerIgnored(const EndpointId&) = 0;

    /// A transaction waits because its organisation holds too many connections in transactions of idle callers.
    virtual void transactionDelayed(const EndpointId&, const OrganisationId&) { }

    /// The owner at this address has reported the outcomes that it has seen at the endpoint.
    virtual void outcomesReported(const EndpointId&, const std::string& /*owner*/, const OutcomeCounts&) { }

    /// An endpoint gets more or less work because of its recent failures.
    virtual void endpointHealthChanged(const EndpointHealthChange&) { }
};

/// Connections of this VM to one endpoint. Each connection is opened for one organisation. If this VM has reached its
/// connection limit, an idle connection of another organisation is closed to make room for a new one.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
public:
    EndpointPool(RegisteredEndpoint, Timers&, EndpointConnector&, EndpointObserver&, EndpointPoolSettings = {});
    ~EndpointPool();

    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    const RegisteredEndpoint& endpoint() const { return this->target; }

    /// Updates the endpoint's registry entry. The entry must describe the same run of the endpoint.
    void update(const RegisteredEndpoint&);

    /// Sets the maximum number of connections of this VM to the endpoint. Closes idle connections beyond it.
    void setConnectionLimit(uint32_t);

    /// Sets the requests a second that this VM may send while the endpoint is slow after its start. Nothing: no limit.
    void setColdShare(std::optional<uint32_t> perSecond) { this->coldStartLimiter.setShare(perSecond); }

    /// Returns true if the endpoint may get a request now, although it may be slow after its start.
    bool mayTakeColdStart() { return this->coldStartLimiter.mayTake(this->target.coldUntil, this->timers.now()); }

    /// The same for a request that is sent now, and counts it.
    bool takeColdStart() { return this->coldStartLimiter.take(this->target.coldUntil, this->timers.now()); }

    /// Counts a request of an open transaction, which is sent in any case.
    void recordColdStart() { this->coldStartLimiter.record(this->target.coldUntil, this->timers.now()); }

    /// Waits for a connection until `deadline`. If several are idle, one with the session values of `valuesVersion` is
    /// preferred. The callback is called once, possibly from within this call. Returns an ID for `cancel`. A connection
    /// for a transaction of a caller (`beginsTransaction`) is subject to `mayBeginTransaction`.
    uint64_t acquire(const OrganisationId&, uint64_t valuesVersion, Instant deadline, AcquireCallback,
        bool beginsTransaction = false);

    /// Cancels a wait. Its callback is not called.
    void cancel(uint64_t waitId);

    /// Returns a connection to the pool. It is closed if it has an open transaction or an unanswered statement, or if
    /// its link may not carry more.
    void release(const std::shared_ptr<PooledConnection>&);

    /// Closes all connections and fails all waits. Unanswered statements may or may not run.
    void interrupt(const std::string& reason);

    /// Closes idle connections and fails all waits. Connections in use are closed when they are released.
    void retire();

    bool isReachable() const { return this->reachable; }

    /// Time at which the endpoint or its host last responded.
    Instant lastContact() const { return this->lastContactTime; }

    PoolOccupancy occupancy() const;

    /// Opens a connection before a statement needs it and calls back with the reason if that fails, else with an empty
    /// text. No call follows if the pool closes the connection. Unless a statement or a probe has come to wait for the
    /// connection, a failure has no consequences for the pool.
    void openAhead(const OrganisationId&, std::function<void(const std::string& failure)>);

    /// Opens a connection to check whether the endpoint is reachable, unless one is already being opened.
    void probe();

    /// Calls `probe` if the endpoint has not responded since `sent`.
    void probeIfSilentSince(Instant sent);

    const EndpointPoolSettings& poolSettings() const { return this->settings; }

    /// Expected time until the answer to a statement that is sent for this organisation now. Includes the wait for a
    /// connection and, if none is idle, its opening.
    Duration expectedTime(const OrganisationId&) const;

    /// Adds the duration of one statement at the endpoint to the moving mean.
    void recordStatementTime(Duration);

    const ResponseTimes& responseTimes() const { return this->times; }

    /// Records the outcome of a batch that was sent at `sent` for the organisation.
    void recordOutcome(StatementOutcome, const OrganisationId&, Instant sent);

    /// Records that the endpoint has refused a batch as busy.
    void recordRefusal(Instant sent);

    /// Withdraws a failure of a statement that has failed at another endpoint too.
    void excuseFailure(const OrganisationId&);

    EndpointHealth& health() { return this->endpointHealth; }

    /// Health for the statements of one organisation; null if there were no recent failures of its statements.
    EndpointHealth* findHealth(const OrganisationId&);

    /// As `findHealth`, but creates the object if necessary.
    EndpointHealth& healthFor(const OrganisationId& organisation) { return this->organisationHealth[organisation]; }

    /// Health of the organisations with recent failures.
    const std::map<OrganisationId, EndpointHealth>& healthOfOrganisations() const { return this->organisationHealth; }

    /// True if the endpoint has recently failed statements of one organisation only, and answered others.
    bool failsForOneOnly() const;

    /// Removes the health of organisations without recent failures.
    void forgetHealthyOrganisations();

    /// Outcomes that this VM reports to VMs that use it as the owner; nullopt if there were no recent failures,
    /// or only of one organisation.
    std::optional<OutcomeCounts> outcomesToReport() const;

    /// Newest log position reported in an answer of the endpoint.
    const std::optional<LogPosition>& position() const { return this->lastPosition; }
    void recordPosition(const LogPosition&);

private:
    friend class PooledConnection;

    struct Waiter {
        uint64_t waitId = 0;
        OrganisationId organisation;
        uint64_t valuesVersion = 0;
        Instant deadline;
        AcquireCallback callback;
        Timers::Handle timer;
        bool beginsTransaction = false;
        bool isDelayed = false; ///< true while `mayBegin` is false
    };

    bool mayBegin(const OrganisationId&) const;
    void updateDelays();
    void dispatch();
    std::shared_ptr<PooledConnection> findIdle(const OrganisationId&, uint64_t valuesVersion) const;
    bool closeOldestIdleConnection();
    std::shared_ptr<PooledConnection> startOpening(const OrganisationId&, bool mayOpenEarly);
    void adoptOpening(const OrganisationId&);
    void handleHostConnected(PooledConnection&);
    void handleConnectionOpened(PooledConnection&);
    void handleConnectionConfirmed();
    void handleConnectionFailed(
        PooledConnection&, LinkFailure, AnswerCode, const std::string& message, bool whileOpening);
    void reportRepeatedAnswer() { this->observer.repeatedAnswerIgnored(this->target.id); }
    void reportBroken(const PooledConnection&, bool statementPending, const std::string& reason);
    void remove(const PooledConnection&);
    void failWaiters(const std::string& reason);
    void setReachable(bool);
    void failUnansweredConnections();
    void scheduleRetry();
    size_t openingCountFor(const OrganisationId&) const;
    size_t openingCount() const; ///< without the connections that are opened ahead

    RegisteredEndpoint target;
    Timers& timers;
    EndpointConnector& connector;
    EndpointObserver& observer;
    EndpointPoolSettings settings;
    std::vector<std::shared_ptr<PooledConnection>> connections;
    std::list<Waiter> waiters; ///< in order of arrival
    ColdStartLimiter coldStartLimiter;
    uint32_t connectionLimit = 1;
    uint64_t lastWaitId = 0;
    bool isRetired = false;
    bool isDispatching = false;
    bool reachable = true;
    Instant lastContactTime {};
    Instant backoffUntil {};
    Duration backoff {}; ///< current delay after rejected connections; 0 after a successful opening
    OrganisationId lastOrganisation; ///< organisation of the last opened connection, also used for probes and retries
    std::optional<Timers::Handle> retryTimer;
    Duration meanStatementTime; ///< moving mean of the duration of a statement
    Duration meanOpenTime;
    ResponseTimes times;
    EndpointHealth endpointHealth;
    std::map<OrganisationId, EndpointHealth> organisationHealth; ///< only of organisations with recent failures
    std::optional<LogPosition> lastPosition;
};

} // namespace Lavendervane
