#pragma once

#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "Runtime/Timers.h"
#include "Statements/EndpointLink.h"
#include "Statements/PooledConnection.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct EndpointPoolSettings {
    /// Bound on the time until the endpoint's host accepts a connection: a hundred round trips within a region.
    Duration connectTimeout = std::chrono::milliseconds(300);
    /// Bound on the opening after that. An idle endpoint takes up to 30 ms; a busy one lets it wait behind statements.
    Duration openTimeout = std::chrono::milliseconds(2000);
    /// A statement that is unanswered for this long, while nothing else is heard of the endpoint, makes this VM try a
    /// new connection. Statements take up to 110 ms and wait behind at most 16 others.
    Duration suspicionTime = std::chrono::milliseconds(300);
    /// Pause between attempts to reach an endpoint that did not accept a connection.
    Duration retryInterval = std::chrono::milliseconds(250);
    /// Pause after the endpoint has refused a connection because it has too many; it doubles with each refusal in a row
    /// up to the longest. Others close idle ones meanwhile.
    Duration fullPause = std::chrono::milliseconds(20);
    Duration longestFullPause = std::chrono::milliseconds(60);
    /// Connections that may be opened at the same time; each takes a slot of the endpoint.
    uint32_t concurrentOpens = 2;
    /// A new connection takes about this long until one has been measured.
    Duration assumedOpenTime = std::chrono::milliseconds(15);
};

/// Result of a wait for a connection. Without a connection, nothing was sent.
struct AcquireResult {
    std::shared_ptr<PooledConnection> connection;
    std::string reason; ///< why there is none
};

using AcquireCallback = std::function<void(AcquireResult)>;

/// Told when an endpoint becomes reachable or unreachable from this VM.
class EndpointObserver {
public:
    virtual ~EndpointObserver() = default;
    virtual void endpointReachabilityChanged(const EndpointId&, bool reachable) = 0;
};

/// This VM's connections to one endpoint. A connection is opened for one organisation; when all connections that this
/// VM may have are in use by others, an idle one is closed in favour of a new one.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
public:
    EndpointPool(RegisteredEndpoint, Timers&, EndpointConnector&, EndpointObserver&, EndpointPoolSettings = {});
    ~EndpointPool();

    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    const RegisteredEndpoint& endpoint() const { return this->target; }

    /// New facts from the registry about the same run of the endpoint.
    void update(const RegisteredEndpoint&);

    /// Number of connections that this VM may have.
    void setConnectionLimit(uint32_t);

    /// Waits for a connection until `deadline`. `valuesVersion`: session values that the connection should have if
    /// there is a choice. The callback is called once, possibly from within this call. Returns a number for `cancel`.
    uint64_t acquire(const OrganisationId&, uint64_t valuesVersion, Instant deadline, AcquireCallback);

    /// Forgets a wait; its callback is not called.
    void cancel(uint64_t number);

    /// Gives a connection back. A connection with a transaction or an unanswered statement is closed.
    void release(const std::shared_ptr<PooledConnection>&);

    /// Closes idle connections and fails all waits; connections in use end when they are released.
    void retire();

    bool isReachable() const { return this->reachable; }

    /// Time of the last sign of life.
    Instant lastHeard() const { return this->heard; }

    /// Tries a new connection unless one is being opened.
    void probe();

    /// A statement has been unanswered for the time of suspicion.
    void suspect(Instant sent);

    const EndpointPoolSettings& poolSettings() const { return this->settings; }

    /// Expected time of a statement sent now as this organisation, waiting and opening included.
    Duration expectedTime(const OrganisationId&) const;

    /// Records the time of one statement at the endpoint.
    void recordTime(Duration);

    /// Newest log position seen in an answer.
    const std::optional<LogPosition>& position() const { return this->lastPosition; }
    void recordPosition(const LogPosition&);

private:
    friend class PooledConnection;

    struct Waiter {
        uint64_t number = 0;
        OrganisationId organisation;
        uint64_t valuesVersion = 0;
        Instant deadline;
        AcquireCallback callback;
        Timers::Handle timer;
    };

    void dispatch();
    std::shared_ptr<PooledConnection> findIdle(const OrganisationId&, uint64_t valuesVersion) const;
    bool makeRoom();
    void startOpening(const OrganisationId&);
    void hostAnswered(PooledConnection&);
    void connectionOpened(PooledConnection&);
    void connectionFailed(PooledConnection&, LinkFailure, AnswerCode, const std::string& message, bool whileOpening);
    void remove(const PooledConnection&);
    void failWaiters(const std::string& reason);
    void setReachable(bool);
    void failConnections();
    void scheduleRetry();
    size_t openingFor(const OrganisationId&) const;
    size_t openingCount() const;

    RegisteredEndpoint target;
    Timers& timers;
    EndpointConnector& connector;
    EndpointObserver& observer;
    EndpointPoolSettings settings;
    std::vector<std::shared_ptr<PooledConnection>> connections;
    std::list<Waiter> waiters; ///< in order of arrival
    uint32_t limit = 1;
    uint64_t lastNumber = 0;
    bool retired = false;
    bool dispatching = false;
    bool reachable = true;
    Instant heard {};
    Instant fullUntil {};
    Duration fullPause {}; ///< the present one; 0 after a success
    OrganisationId lastOrganisation; ///< of the last opening, used to try again
    std::optional<Timers::Handle> retryTimer;
    Duration meanTime; ///< moving mean of the time of a statement
    Duration meanOpenTime;
    std::optional<LogPosition> lastPosition;
};

} // namespace Lavendervane
