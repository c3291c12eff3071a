#include "Statements/EndpointPool.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Weight of a new measurement in the moving means, as 1/n. The time of single statements varies by a factor of ten.
static constexpr int timeSmoothing = 16;
static constexpr int openTimeSmoothing = 4;

EndpointPool::EndpointPool(RegisteredEndpoint target, Timers& timers, EndpointConnector& connector,
    EndpointObserver& observer, EndpointPoolSettings settings)
    : target(std::move(target))
    , timers(timers)
    , connector(connector)
    , observer(observer)
    , settings(settings)
    , meanTime(std::chrono::milliseconds(1))
    , meanOpenTime(settings.assumedOpenTime)
{
}

EndpointPool::~EndpointPool()
{
    for (Waiter& waiter : this->waiters)
        this->timers.cancel(waiter.timer);
    if (this->retryTimer)
        this->timers.cancel(*this->retryTimer);
    for (const auto& connection : std::exchange(this->connections, {})) {
        connection->home = nullptr;
        if (connection->state == PooledConnection::State::Opening || connection->state == PooledConnection::State::Idle)
            connection->close();
    }
}

void EndpointPool::update(const RegisteredEndpoint& endpoint) { this->target = endpoint; }

void EndpointPool::setConnectionLimit(uint32_t connections) { this->limit = std::max(1U, connections); }

uint64_t EndpointPool::acquire(
    const OrganisationId& organisation, uint64_t valuesVersion, Instant deadline, AcquireCallback callback)
{
    if (this->retired) {
        callback({ nullptr, "the endpoint has left" });
        return 0;
    }
    if (this->waiters.empty()) {
        if (const auto connection = this->findIdle(organisation, valuesVersion)) {
            connection->state = PooledConnection::State::InUse;
            callback({ connection, "" });
            return 0;
        }
    }
    const uint64_t number = ++this->lastNumber;
    const auto timer = this->timers.schedule(deadline, [this, number] {
        for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
            if (waiter->number != number)
                continue;
            auto expired = std::move(waiter->callback);
            this->waiters.erase(waiter);
            expired({ nullptr, "no connection became free in time" });
            return;
        }
    });
    this->waiters.push_back({ number, organisation, valuesVersion, deadline, std::move(callback), timer });
    this->dispatch();
    return number;
}

void EndpointPool::cancel(uint64_t number)
{
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
        if (waiter->number != number)
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
    const bool clean = connection->state == PooledConnection::State::InUse && !connection->inTransaction;
    if (!clean || this->retired || this->connections.size() > this->limit) {
        connection->close();
        return;
    }
    connection->state = PooledConnection::State::Idle;
    connection->since = this->timers.now();
    this->dispatch();
}

void EndpointPool::retire()
{
    this->retired = true;
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
    size_t inUse = 0;
    bool idle = false;
    for (const auto& connection : this->connections) {
        inUse += connection->state == PooledConnection::State::Waiting;
        idle = idle
            || (connection->state == PooledConnection::State::Idle && connection->organisation() == organisation);
    }
    const auto ahead = static_cast<int64_t>(inUse + this->waiters.size());
    Duration expected = this->meanTime + this->meanTime * ahead / std::max(1U, this->target.slots);
    if (!idle)
        expected += this->meanOpenTime;
    return expected;
}

void EndpointPool::recordTime(Duration time)
{
    this->heard = this->timers.now();
    this->meanTime += (time - this->meanTime) / timeSmoothing;
}

void EndpointPool::probe()
{
    if (!this->retired && !this->openingCount())
        this->startOpening(this->lastOrganisation);
}

void EndpointPool::suspect(Instant sent)
{
    if (this->heard <= sent)
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
        // A connection without values needs no reset.
        if (!found || !connection->valuesVersion())
            found = connection;
    }
    return found;
}

void EndpointPool::dispatch()
{
    if (this->dispatching)
        return; // a callback below came back; the loop sees its effect
    this->dispatching = true;
    bool progress = true;
    while (progress) {
        progress = false;
        for (auto waiter = this->waiters.begin(); waiter != this->waiters.end(); ++waiter) {
            const auto connection = this->findIdle(waiter->organisation, waiter->valuesVersion);
            if (!connection)
                continue;
            connection->state = PooledConnection::State::InUse;
            auto callback = std::move(waiter->callback);
            this->timers.cancel(waiter->timer);
            this->waiters.erase(waiter);
            callback({ connection, "" });
            progress = true;
            break;
        }
    }
    std::vector<OrganisationId> waiting;
    for (const Waiter& waiter : this->waiters)
        waiting.push_back(waiter.organisation);
    std::vector<OrganisationId> served;
    for (const OrganisationId& organisation : waiting) {
        served.push_back(organisation);
        const auto wanted = std::count(served.begin(), served.end(), organisation);
        if (static_cast<size_t>(wanted) <= this->openingFor(organisation))
            continue;
        if (this->openingCount() >= this->settings.concurrentOpens || this->timers.now() < this->fullUntil)
            break;
        if (!this->reachable && this->retryTimer)
            break;
        if (this->connections.size() >= this->limit && !this->makeRoom())
            break;
        this->startOpening(organisation);
    }
    this->dispatching = false;
}

bool EndpointPool::makeRoom()
{
    std::shared_ptr<PooledConnection> oldest;
    for (const auto& connection : this->connections) {
        if (connection->state == PooledConnection::State::Idle && (!oldest || connection->since < oldest->since))
            oldest = connection;
    }
    if (!oldest)
        return false;
    oldest->close();
    return true;
}

void EndpointPool::startOpening(const OrganisationId& organisation)
{
    this->lastOrganisation = organisation;
    const auto connection = std::make_shared<PooledConnection>(*this, this->timers, organisation);
    this->connections.push_back(connection);
    connection->timer = this->timers.schedule(this->timers.now() + this->settings.connectTimeout, [connection] {
        connection->timer.reset();
        connection->link->close();
        connection->linkFailed(LinkFailure::Unreachable, AnswerCode::Busy, "the host does not accept the connection");
    });
    connection->link = this->connector.connect(
        { this->target.group, this->target.id, this->target.address, organisation }, *connection);
}

// A host that accepts connections is alive; an endpoint that takes long to open one is busy.
void EndpointPool::hostAnswered(PooledConnection& connection)
{
    this->heard = this->timers.now();
    connection.cancelTimer();
    connection.timer
        = this->timers.schedule(this->heard + this->settings.openTimeout, [opening = connection.shared_from_this()] {
              opening->timer.reset();
              opening->link->close();
              opening->linkFailed(LinkFailure::Rejected, AnswerCode::Busy, "the endpoint does not open the connection");
          });
}

void EndpointPool::connectionOpened(PooledConnection& connection)
{
    const Instant now = this->timers.now();
    this->meanOpenTime += (now - connection.since - this->meanOpenTime) / openTimeSmoothing;
    connection.state = PooledConnection::State::Idle;
    connection.since = now;
    this->heard = now;
    this->fullPause = {};
    this->setReachable(true);
    this->dispatch();
}

void EndpointPool::connectionFailed(
    PooledConnection& connection, LinkFailure failure, AnswerCode code, const std::string& message, bool whileOpening)
{
    this->remove(connection);
    if (whileOpening && failure == LinkFailure::Rejected && (code == AnswerCode::TooMany || code == AnswerCode::Busy)) {
        this->heard = this->timers.now();
        this->fullPause = std::clamp(2 * this->fullPause, this->settings.fullPause, this->settings.longestFullPause);
        this->fullUntil = this->heard + this->fullPause;
        this->timers.schedule(this->fullUntil, [weak = this->weak_from_this()] {
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
            this->failConnections();
    }
    if (!this->retired)
        this->scheduleRetry();
}

void EndpointPool::remove(const PooledConnection& connection)
{
    std::erase_if(this->connections, [&connection](const auto& entry) { return entry.get() == &connection; });
    if (!this->retired && !this->waiters.empty() && !this->dispatching)
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

// What waits for an answer of an endpoint that accepts no connection in time would wait for nothing.
void EndpointPool::failConnections()
{
    const auto all = this->connections;
    for (const auto& connection : all) {
        if (connection->state == PooledConnection::State::Waiting && connection->since > this->heard)
            connection->abandon();
        else if (connection->state == PooledConnection::State::Idle)
            connection->close();
    }
}

// After a connection has ended without being asked to, a new one tells whether the endpoint is still there.
void EndpointPool::scheduleRetry()
{
    if (this->retryTimer)
        return;
    const Duration pause = this->reachable ? std::chrono::milliseconds(1) : this->settings.retryInterval;
    this->retryTimer = this->timers.schedule(this->timers.now() + pause, [this] {
        this->retryTimer.reset();
        if (!this->retired && !this->openingCount() && this->connections.size() < this->limit)
            this->startOpening(this->lastOrganisation);
    });
}

size_t EndpointPool::openingFor(const OrganisationId& organisation) const
{
    return static_cast<size_t>(
        std::count_if(this->connections.begin(), this->connections.end(), [&organisation](const auto& connection) {
            return connection->state == PooledConnection::State::Opening && connection->organisation() == organisation;
        }));
}

size_t EndpointPool::openingCount() const
{
    return static_cast<size_t>(std::count_if(this->connections.begin(), this->connections.end(),
        [](const auto& connection) { return connection->state == PooledConnection::State::Opening; }));
}

} // namespace Lavendervane
