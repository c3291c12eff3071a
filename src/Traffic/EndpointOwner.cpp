#include "Traffic/EndpointOwner.h"

#include "Control/TrafficObservation.h"
#include "Http/HttpConnection.h"
#include "Runtime/BootTime.h"
#include "Security/Digest.h"
#include "Traffic/EndpointProtocol.h"
#include "Traffic/TrafficServer.h"

#include <prometheus/gauge.h>

#include <algorithm>

namespace Lavendervane {

using namespace std::chrono_literals;

// A connection is treated as silent if no answer arrives within this time plus the coverage wait of the request.
static constexpr auto inactivityTimeout = 2000ms;

EndpointOwner::EndpointOwner(boost::asio::io_context& context, const TrafficSettings& settings,
    TrafficObserver& observer, TrafficMetrics& metrics, const EndpointId& name)
    : context(context)
    , settings(settings)
    , observer(observer)
    , metrics(metrics)
    , gauges(metrics.addEndpoint(name))
    , name(name)
    , pool(context)
    , queue(settings.queueLimit)
    , confirmations(std::make_shared<ConfirmationStream>(context))
    , expiryTimer(context)
    , exchangePrefix(toHex(randomBytes(8)) + "-")
{
}

EndpointOwner::~EndpointOwner() { this->metrics.removeEndpoint(this->gauges); }

void EndpointOwner::update(const TrafficSnapshot& snapshot, const EndpointRouting& routing)
{
    this->endpoint = routing.endpoint;
    // VMs may choose owners from two inconsistent views with two owners each. All four together must stay within the
    // endpoint's limit.
    this->connectionLimit = std::max(1U, this->endpoint.connections / 4);
    this->pool.configure(this->endpoint.address, this->connectionLimit);
    this->pool.closeExpired(bootTimeNow());
    const auto group = snapshot.groups.find(routing.group);
    if (group != snapshot.groups.end()) {
        std::vector<std::string> replicas;
        for (const EndpointId& member : group->second.endpoints) {
            const auto found = snapshot.endpoints.find(member);
            if (member != this->name && found != snapshot.endpoints.end())
                replicas.push_back(found->second.endpoint.address);
        }
        this->confirmations->setReplicas(replicas);
        this->confirmations->observeTerm(group->second.term);
    }
    this->startQueuedWork();
    this->updateGauges();
}

void EndpointOwner::updateGauges()
{
    this->gauges.queued->Set(static_cast<double>(this->queue.size()));
    this->gauges.connections->Set(static_cast<double>(this->pool.size()));
}

void EndpointOwner::submit(EndpointTask task, EndpointCallback callback)
{
    this->enqueue({ std::move(task), std::move(callback), nullptr });
}

void EndpointOwner::begin(EndpointTask task, BeginCallback callback)
{
    this->enqueue({ std::move(task), nullptr, std::move(callback) });
}

void EndpointOwner::finishWork(Work& work, EndpointResult result)
{
    if (work.beginCallback)
        work.beginCallback(std::move(result), nullptr);
    else
        work.callback(std::move(result));
}

static EndpointResult makeQueueFullResult(const EndpointId& endpoint, Duration wait)
{
    const auto retryAfter = std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
    return makeNotRun(
        "queue_full", "queue for the endpoint", endpoint.str(), "too many requests are queued", retryAfter);
}

void EndpointOwner::enqueue(Work work)
{
    const Instant now = bootTimeNow();
    if (this->endpoint.isLeaving()) {
        this->finishWork(work,
            makeNotRun("endpoint_leaving", "queue for the endpoint", this->name.str(), "the endpoint is leaving"));
        return;
    }
    const OrganisationId organisation = work.task.organisation;
    const uint32_t weight = work.task.weight;
    const Duration wait = this->queue.empty() ? Duration {} : this->queue.estimatedWait(organisation, weight);
    if (now + wait > work.task.deadline) {
        this->finishWork(work, makeQueueFullResult(this->name, wait));
        return;
    }
    const Instant deadline = work.task.deadline;
    if (this->queue.push(organisation, weight, deadline, std::move(work)) != PushResult::Accepted) {
        this->finishWork(work, makeQueueFullResult(this->name, wait));
        return;
    }
    this->startQueuedWork();
    this->armExpiry();
    this->gauges.queued->Set(static_cast<double>(this->queue.size()));
}

void EndpointOwner::startQueuedWork()
{
    // A callback that runs inside the loop may queue more work. The loop takes it; a nested call returns here.
    if (this->startingWork || this->stopped)
        return;
    this->startingWork = true;
    while (!this->queue.empty() && this->busyConnections.size() < std::max(1U, this->endpoint.slots)
        && this->pool.canTake()) {
        auto item = this->queue.pop(bootTimeNow());
        if (!item)
            break;
        this->startWork(std::move(item->entry));
    }
    this->startingWork = false;
}

void EndpointOwner::startWork(Work work)
{
    const auto shared = std::make_shared<Work>(std::move(work));
    const uint64_t number = ++this->lastExchangeNumber;
    auto& connection = this->busyConnections[number];
    connection = this->pool.take(bootTimeNow());
    this->runExchange(*connection, shared->task,
        [self = this->shared_from_this(), shared, number](
            EndpointResult result, bool close) { self->handleWorkEnd(shared, number, std::move(result), close); });
}

void EndpointOwner::runExchange(HttpConnection& connection, const EndpointTask& task, ExchangeCallback callback)
{
    const std::string exchangeId = this->exchangePrefix + std::to_string(++this->lastExchangeNumber);
    const bool fresh = !connection.isConnected();
    connection.exchange("POST", task.path, addExchangeId(exchangeId, task.body),
        inactivityTimeout + this->settings.coverageWait,
        [self = this->shared_from_this(), exchangeId, fresh, callback = std::move(callback)](HttpExchange exchange) {
            const bool silent = exchange.status == ExchangeStatus::TimedOut;
            bool close = false;
            EndpointResult result = interpretExchange(std::move(exchange), exchangeId, self->name, close);
            // If one connection is silent, for example because a firewall dropped its state, the idle ones may be
            // affected too. Only a failure on a fresh connection shows that the endpoint itself is unreachable.
            if (silent)
                self->pool.closeIdle();
            result.endpointFailed = result.endpointFailed && fresh;
            if (result.endpointFailed)
                self->observer.observe(EndpointUnreachableObserved { self->name });
            callback(std::move(result), close);
        });
}

void EndpointOwner::releaseConnection(std::unique_ptr<HttpConnection> connection, bool close)
{
    if (close)
        connection->close();
    this->pool.release(std::move(connection), bootTimeNow());
    this->startQueuedWork();
    this->updateGauges();
}

void EndpointOwner::handleWorkEnd(
    const std::shared_ptr<Work>& work, uint64_t exchange, EndpointResult result, bool closeConnection)
{
    auto node = this->busyConnections.extract(exchange);
    if (node.empty())
        return;
    if (work->beginCallback && result.outcome == Outcome::Done) {
        auto transaction = std::make_shared<EndpointTransaction>(this->shared_from_this(), std::move(node.mapped()));
        this->startQueuedWork();
        work->beginCallback(std::move(result), std::move(transaction));
        return;
    }
    this->releaseConnection(std::move(node.mapped()), closeConnection);
    if (work->beginCallback)
        work->beginCallback(std::move(result), nullptr);
    else
        this->confirm(work->task, std::move(result), work->callback);
}

void EndpointOwner::confirm(const EndpointTask& task, EndpointResult result, const EndpointCallback& callback)
{
    if (!task.confirm || result.outcome != Outcome::Done || !result.answer->primaryRole) {
        callback(std::move(result));
        return;
    }
    const AppliedPosition& applied = result.answer->applied;
    // The recorded answer to a repeated request may carry a position of an older term. That position is safe once a
    // majority holds the first entry of the current term.
    const uint64_t position = std::max(applied.position, applied.firstPosition);
    const Term term = applied.term;
    auto shared = std::make_shared<EndpointResult>(std::move(result));
    this->confirmations->wait(
        term, position, task.deadline, [self = this->shared_from_this(), shared, callback](bool confirmed) {
            self->metrics.countConfirmation(confirmed);
            if (confirmed) {
                callback(std::move(*shared));
                return;
            }
            callback(makeUnknown(
                "unconfirmed", "wait for a majority", self->name.str(), "no majority held the position in time"));
        });
}

void EndpointOwner::armExpiry()
{
    const auto next = this->queue.nextDeadline();
    if (this->expiryArmed || !next || this->stopped)
        return;
    this->expiryArmed = true;
    this->expiryTimer.expires_after(std::max(Duration(1ms), *next - bootTimeNow()));
    this->expiryTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        self->expiryArmed = false;
        if (!error)
            self->expireQueuedWork();
    });
}

void EndpointOwner::expireQueuedWork()
{
    for (auto& item : this->queue.expire(bootTimeNow()))
        this->finishWork(item.entry,
            makeNotRun("deadline", "queue for the endpoint", this->name.str(), "no slot became free in time", 100ms));
    this->updateGauges();
    this->armExpiry();
}

void EndpointOwner::stop()
{
    this->stopped = true;
    this->expiryTimer.cancel();
    this->confirmations->stop();
    this->busyConnections.clear();
    this->pool.closeIdle();
}

} // namespace Lavendervane
