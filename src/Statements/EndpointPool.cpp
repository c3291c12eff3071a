#include "Statements/EndpointPool.h"

#include "Statements/IdleTransactionBound.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// A new measurement has the weight 1/n in the moving mean. Durations of individual statements vary by a factor of ten.
static constexpr int timeSmoothing = 16;
static constexpr int openTimeSmoothing = 4;
// Failures that weigh less are not reported to other VMs; without failures, answers stay as short as before.
static constexpr double minReportedFailures = 0.5;
// Answers to the statements of other organisations that show that an endpoint works for these.
static constexpr double minAnswersToOthers = 1.5;

EndpointPool::EndpointPool(RegisteredEndpoint target, Timers& timers, EndpointConnector& connector,
    EndpointObserver& observer, EndpointPoolSettings settings)
    : target(std::move(target))
    , timers(timers)
    , connector(connector)
    , observer(observer)
    , settings(settings)
    , meanStatementTime(std::chrono::milliseconds(1))
    , meanOpenTime(settings.initialOpenTimeEstimate)
{
}

EndpointPool::~EndpointPool()
{
    for (Waiter& waiter : this->waiters)
        this->timers.cancel(waiter.timer);
    if (this->retryTimer)
        this->timers.cancel(*this->retryTimer);
    for (const auto& connection : std::exchange(this->connections, {})) {
        connection->owningPool = nullptr;
        if (connection->state == PooledConnection::State::Opening || connection->state == PooledConnection::State::Idle)
            connection->close();
    }
}

void EndpointPool::update(const RegisteredEndpoint& endpoint) { this->target = endpoint; }

void EndpointPool::setConnectionLimit(uint32_t newLimit)
{
    this->connectionLimit = std::max(1U, newLimit);
    while (this->connections.size() > this->connectionLimit && this->closeOldestIdleConnection()) { }
}

// A transaction with a pending statement makes use of its connection and is not counted.
bool EndpointPool::mayBegin(const OrganisationId& organisation) const
{
    HeldConnections held;
    std::set<OrganisationId> organisations { organisation };
    for (const auto& connection : this->connections) {
        const bool isWorking = connection->state == PooledConnection::State::Waiting && connection->inTransaction;
        if (!connection->isForTransaction || isWorking)
            continue;
        ++held.total;
        held.ofOrganisation += connection->organisation() == organisation;
        organisations.insert(connection->organisation());
    }
    held.organisations = organisations.size();
    return mayBeginTransaction(held, this->connectionLimit);
}

void EndpointPool::updateDelays()
{
    for (Waiter& waiter : this->waiters) {
        if (waiter.beginsTransaction)
            waiter.isDelayed = !this->mayBegin(waiter.organisation);
    }
}

uint64_t EndpointPool::acquire(const OrganisationId& organisation, uint64_t valuesVersion, Instant deadline,
    AcquireCallback callback, bool beginsTransaction)
{
    if (this->isRetired) {
        callback({ nullptr, "the endpoint has left" });
        return 0;
    }
    beginsTransaction = beginsTransaction && this->settings.boundsIdleTransactions;
    const bool isDelayed = beginsTransaction && !this->mayBegin(organisation);
    if (this->waiters.empty() && !isDelayed) {
        if (const auto connection = this->findIdle(organisation, valuesVersion)) {
            connection->state = PooledConnection::State::InUse;
            connection->isForTransaction = beginsTransaction;
            callback({ connection, "" });
            return 0;
        }
    }
    const uint64_t waitId = ++this->lastWaitId;
    const auto timer = this->timers.schedule(deadline, [this, waitId] {
        for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
            if (waiter->waitId != waitId)
                continue;
            auto expired = std::move(waiter->callback);
            const bool wasDelayed = waiter->isDelayed;
            this->waiters.erase(waiter);
            expired({ nullptr,
                wasDelayed ? "the organisation holds too many connections in transactions of idle callers"
                           : "no connection became free in time" });
            return;
        }
    });
    this->waiters.push_back(
        { waitId, organisation, valuesVersion, deadline, std::move(callback), timer, beginsTransaction, isDelayed });
    if (isDelayed)
        this->observer.transactionDelayed(this->target.id, organisation);
    this->dispatch();
    return waitId;
}

void EndpointPool::cancel(uint64_t waitId)
{
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
        if (waiter->waitId != waitId)
            continue;
        this->timers.cancel(waiter->timer);
        this->waiters.erase(waiter);
        return;
    }
}

void EndpointPool::release(const std::shared_ptr<PooledConnection>& connection)
{
    if (!connection->isAlive())
        return;
    const bool clean = connection->state == PooledConnection::State::InUse && !connection->inTransaction
        && connection->link->mayCarryMore();
    if (!clean || this->isRetired || this->connections.size() > this->connectionLimit) {
        connection->close();
        return;
    }
    connection->state = PooledConnection::State::Idle;
    connection->isForTransaction = false;
    connection->stateChangeTime = this->timers.now();
    this->dispatch();
}

void EndpointPool::interrupt(const std::string& reason)
{
    this->failWaiters(reason);
    const auto all = this->connections;
    for (const auto& connection : all)
        connection->closeWithoutAnswer(reason);
}

void EndpointPool::retire()
{
    this->isRetired = true;
    if (this->retryTimer)
        this->timers.cancel(*this->retryTimer);
    this->retryTimer.reset();
    const auto all = this->connections;
    for (const auto& connection : all) {
        if (connection->state == PooledConnection::State::Opening || connection->state == PooledConnection::State::Idle)
            connection->close();
    }
    this->failWaiters("the endpoint has left");
}

Duration EndpointPool::expectedTime(const OrganisationId& organisation) const
{
    size_t unansweredCount = 0;
    bool hasIdle = false;
    for (const auto& connection : this->connections) {
        unansweredCount += connection->state == PooledConnection::State::Waiting;
        hasIdle = hasIdle
            || (connection->state == PooledConnection::State::Idle && connection->organisation() == organisation);
    }
    const auto ahead = static_cast<int64_t>(unansweredCount + this->waiters.size());
    Duration expected = this->meanStatementTime + this->meanStatementTime * ahead / std::max(1U, this->target.slots);
    if (!hasIdle)
        expected += this->meanOpenTime;
    return expected;
}

void EndpointPool::recordStatementTime(Duration time)
{
    this->lastContactTime = this->timers.now();
    this->meanStatementTime += (time - this->meanStatementTime) / timeSmoothing;
    this->times.record(time);
}

void EndpointPool::recordOutcome(StatementOutcome outcome, const OrganisationId& organisation, Instant sent)
{
    const Instant now = this->timers.now();
    this->endpointHealth.record(outcome, sent, now);
    // Only organisations with failures have an entry, so that statements without failures cost no memory.
    if (outcome != StatementOutcome::Answered)
        this->organisationHealth[organisation].record(outcome, sent, now);
    else if (EndpointHealth* known = this->findHealth(organisation))
        known->record(outcome, sent, now);
}

void EndpointPool::recordRefusal(Instant sent)
{
    // An owner reports the refusals of the endpoint itself with its counts.
    if (this->settings.isRelayed)
        return;
    const bool holdsOlder
        = std::any_of(this->connections.begin(), this->connections.end(), [sent](const auto& connection) {
              return connection->state == PooledConnection::State::Waiting && connection->stateChangeTime < sent;
          });
    this->endpointHealth.recordRefusal(holdsOlder, sent, this->timers.now());
}

void EndpointPool::excuseFailure(const OrganisationId& organisation)
{
    const Instant now = this->timers.now();
    this->endpointHealth.excuseFailure(now);
    if (EndpointHealth* known = this->findHealth(organisation))
        known->excuseFailure(now);
}

EndpointHealth* EndpointPool::findHealth(const OrganisationId& organisation)
{
    if (this->organisationHealth.empty())
        return nullptr;
    const auto known = this->organisationHealth.find(organisation);
    return known == this->organisationHealth.end() ? nullptr : &known->second;
}

bool EndpointPool::failsForOneOnly() const
{
    const Instant now = this->timers.now();
    double answeredToOthers = this->endpointHealth.ownCounts(now).answered;
    size_t failing = 0;
    for (const auto& [organisation, health] : this->organisationHealth) {
        const OutcomeCounts counts = health.ownCounts(now);
        if (counts.failures() < minReportedFailures)
            continue;
        answeredToOthers -= counts.answered;
        ++failing;
    }
    return failing == 1 && answeredToOthers >= minAnswersToOthers;
}

void EndpointPool::forgetHealthyOrganisations()
{
    const Instant now = this->timers.now();
    std::erase_if(this->organisationHealth, [now](const auto& entry) { return entry.second.isForgettable(now); });
}

std::optional<OutcomeCounts> EndpointPool::outcomesToReport() const
{
    const OutcomeCounts counts = this->endpointHealth.ownCounts(this->timers.now());
    if (counts.failures() < minReportedFailures || this->failsForOneOnly())
        return std::nullopt;
    return counts;
}

void EndpointPool::probe()
{
    if (this->isRetired || this->openingCount())
        return;
    const auto ahead = std::find_if(this->connections.begin(), this->connections.end(),
        [](const auto& connection) { return connection->isOpenedAhead; });
    if (ahead != this->connections.end())
        (*ahead)->isOpenedAhead = false; // its failure now counts as that of a probe
    else
        this->startOpening(this->lastOrganisation, false);
}

PoolOccupancy EndpointPool::occupancy() const
{
    PoolOccupancy found;
    found.waiting = this->waiters.size();
    found.connections = this->connections.size();
    found.limit = this->connectionLimit;
    found.lastContact = this->lastContactTime;
    for (const auto& connection : this->connections) {
        found.pending += connection->state == PooledConnection::State::Waiting;
        found.opening += connection->state == PooledConnection::State::Opening;
        found.organisations.insert(connection->organisation());
    }
    return found;
}

void EndpointPool::openAhead(
    const OrganisationId& organisation, std::function<void(const std::string& failure)> callback)
{
    if (this->isRetired)
        return;
    const auto connection = this->startOpening(organisation, false);
    connection->isOpenedAhead = true;
    connection->openedCallback = std::move(callback);
}

// A statement waits for the connection, so its failure must not be ignored.
void EndpointPool::adoptOpening(const OrganisationId& organisation)
{
    for (const auto& connection : this->connections) {
        if (connection->organisation() == organisation)
            connection->isOpenedAhead = false;
    }
}

void EndpointPool::probeIfSilentSince(Instant sent)
{
    if (this->lastContactTime <= sent)
        this->probe();
}

void EndpointPool::recordPosition(const LogPosition& position)
{
    if (!this->lastPosition || *this->lastPosition < position)
        this->lastPosition = position;
}

std::shared_ptr<PooledConnection> EndpointPool::findIdle(
    const OrganisationId& organisation, uint64_t valuesVersion) const
{
    std::shared_ptr<PooledConnection> found;
    for (const auto& connection : this->connections) {
        if (connection->state != PooledConnection::State::Idle || connection->organisation() != organisation)
            continue;
        if (connection->valuesVersion() == valuesVersion)
            return connection;
        // A connection without session values needs no reset.
        if (!found || !connection->valuesVersion())
            found = connection;
    }
    return found;
}

void EndpointPool::dispatch()
{
    if (this->isDispatching)
        return; // reentrant call from a callback below; the running loop sees the change
    this->isDispatching = true;
    bool progress = true;
    while (progress) {
        progress = false;
        this->updateDelays();
        for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
            if (waiter->isDelayed)
                continue;
            const auto connection = this->findIdle(waiter->organisation, waiter->valuesVersion);
            if (!connection)
                continue;
            connection->state = PooledConnection::State::InUse;
            connection->isForTransaction = waiter->beginsTransaction;
            auto callback = std::move(waiter->callback);
            this->timers.cancel(waiter->timer);
            this->waiters.erase(waiter);
            callback({ connection, "" });
            progress = true;
            break;
        }
    }
    std::vector<OrganisationId> waitingOrganisations;
    for (const Waiter& waiter : this->waiters) {
        if (!waiter.isDelayed)
            waitingOrganisations.push_back(waiter.organisation);
    }
    std::vector<OrganisationId> visited;
    for (const OrganisationId& organisation : waitingOrganisations) {
        visited.push_back(organisation);
        const auto wanted = std::count(visited.begin(), visited.end(), organisation);
        this->adoptOpening(organisation);
        if (static_cast<size_t>(wanted) <= this->openingCountFor(organisation))
            continue;
        if (this->openingCount() >= this->settings.maxConcurrentOpens || this->timers.now() < this->backoffUntil)
            break;
        if (!this->reachable && this->retryTimer)
            break;
        if (this->connections.size() >= this->connectionLimit && !this->closeOldestIdleConnection())
            break;
        this->startOpening(organisation, this->reachable);
    }
    this->isDispatching = false;
}

bool EndpointPool::closeOldestIdleConnection()
{
    std::shared_ptr<PooledConnection> oldest;
    for (const auto& connection : this->connections) {
        if (connection->state == PooledConnection::State::Idle
            && (!oldest || connection->stateChangeTime < oldest->stateChangeTime))
            oldest = connection;
    }
    if (!oldest)
        return false;
    oldest->close();
    return true;
}

// A connection that checks whether the endpoint is reachable must not be reported as open early.
std::shared_ptr<PooledConnection> EndpointPool::startOpening(const OrganisationId& organisation, bool mayOpenEarly)
{
    this->lastOrganisation = organisation;
    auto connection = std::make_shared<PooledConnection>(*this, this->timers, organisation);
    this->connections.push_back(connection);
    connection->timer = this->timers.schedule(this->timers.now() + this->settings.connectTimeout, [connection] {
        connection->timer.reset();
        connection->link->close();
        connection->linkFailed(LinkFailure::Unreachable, AnswerCode::Busy, "the host does not accept the connection");
    });
    connection->link = this->connector.connect(
        { this->target.group, this->target.id, this->target.address, organisation, mayOpenEarly }, *connection);
    return connection;
}

// A host that accepts connections is reachable. An endpoint that then takes long to open a session is busy.
void EndpointPool::handleHostConnected(PooledConnection& connection)
{
    this->lastContactTime = this->timers.now();
    connection.cancelTimer();
    connection.timer = this->timers.schedule(
        this->lastContactTime + this->settings.openTimeout, [opening = connection.shared_from_this()] {
            opening->timer.reset();
            opening->link->close();
            opening->linkFailed(LinkFailure::Rejected, AnswerCode::Busy, "the endpoint does not open the connection");
        });
}

void EndpointPool::handleConnectionOpened(PooledConnection& connection)
{
    const Instant now = this->timers.now();
    this->meanOpenTime += (now - connection.stateChangeTime - this->meanOpenTime) / openTimeSmoothing;
    connection.state = PooledConnection::State::Idle;
    connection.stateChangeTime = now;
    connection.isOpenedAhead = false;
    if (const auto report = std::exchange(connection.openedCallback, nullptr))
        report("");
    if (connection.link->isConfirmed())
        this->handleConnectionConfirmed();
    this->dispatch();
}

void EndpointPool::handleConnectionConfirmed()
{
    this->lastContactTime = this->timers.now();
    this->endpointHealth.recordOpened(this->lastContactTime);
    this->backoff = {};
    this->setReachable(true);
}

void EndpointPool::handleConnectionFailed(
    PooledConnection& connection, LinkFailure failure, AnswerCode code, const std::string& message, bool whileOpening)
{
    const auto report = std::exchange(connection.openedCallback, nullptr);
    if (report)
        report(message);
    this->remove(connection);
    if (connection.isOpenedAhead)
        return;
    if (whileOpening && failure == LinkFailure::Rejected && (code == AnswerCode::TooMany || code == AnswerCode::Busy)) {
        this->lastContactTime = this->timers.now();
        this->backoff = std::clamp(2 * this->backoff, this->settings.initialBackoff, this->settings.maxBackoff);
        this->backoffUntil = this->lastContactTime + this->backoff;
        this->timers.schedule(this->backoffUntil, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->dispatch();
        });
        if (this->connections.empty())
            this->failWaiters("the endpoint accepts no more connections");
        return;
    }
    if (whileOpening) {
        this->setReachable(false);
        this->failWaiters(message);
        if (failure == LinkFailure::Unreachable)
            this->failUnansweredConnections();
    }
    if (!this->isRetired)
        this->scheduleRetry();
}

void EndpointPool::reportBroken(const PooledConnection& connection, bool statementPending, const std::string& reason)
{
    this->observer.connectionBroke({ this->target.id, connection.organisation(), statementPending, reason });
}

void EndpointPool::remove(const PooledConnection& connection)
{
    std::erase_if(this->connections, [&connection](const auto& entry) { return entry.get() == &connection; });
    if (!this->isRetired && !this->waiters.empty() && !this->isDispatching)
        this->dispatch();
}

void EndpointPool::failWaiters(const std::string& reason)
{
    auto failed = std::exchange(this->waiters, {});
    for (Waiter& waiter : failed) {
        this->timers.cancel(waiter.timer);
        waiter.callback({ nullptr, reason });
    }
}

void EndpointPool::setReachable(bool reachable)
{
    if (reachable && this->retryTimer) {
        this->timers.cancel(*this->retryTimer);
        this->retryTimer.reset();
    }
    if (this->reachable == reachable)
        return;
    this->reachable = reachable;
    this->observer.endpointReachabilityChanged(this->target.id, reachable);
}

// Closes idle connections and fails the exchanges that have been unanswered since the endpoint last responded. An
// endpoint that does not accept a connection in time will not answer them either.
void EndpointPool::failUnansweredConnections()
{
    const auto all = this->connections;
    for (const auto& connection : all) {
        if (connection->state == PooledConnection::State::Waiting
            && connection->stateChangeTime > this->lastContactTime) {
            this->recordOutcome(StatementOutcome::TimedOut, connection->organisation(), connection->stateChangeTime);
            connection->closeWithoutAnswer("the host does not accept new connections");
        } else if (connection->state == PooledConnection::State::Idle)
            connection->close();
    }
}

// After the endpoint has closed a connection, opens a new one to check whether it is still reachable.
void EndpointPool::scheduleRetry()
{
    if (this->retryTimer)
        return;
    const Duration pause = this->reachable ? std::chrono::milliseconds(1) : this->settings.retryInterval;
    this->retryTimer = this->timers.schedule(this->timers.now() + pause, [this] {
        this->retryTimer.reset();
        if (!this->isRetired && !this->openingCount() && this->connections.size() < this->connectionLimit)
            this->startOpening(this->lastOrganisation, false);
    });
}

size_t EndpointPool::openingCountFor(const OrganisationId& organisation) const
{
    return static_cast<size_t>(
        std::count_if(this->connections.begin(), this->connections.end(), [&organisation](const auto& connection) {
            return connection->state == PooledConnection::State::Opening && connection->organisation() == organisation;
        }));
}

size_t EndpointPool::openingCount() const
{
    return static_cast<size_t>(
        std::count_if(this->connections.begin(), this->connections.end(), [](const auto& connection) {
            return connection->state == PooledConnection::State::Opening && !connection->isOpenedAhead;
        }));
}

} // namespace Lavendervane
