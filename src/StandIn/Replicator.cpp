#include "StandIn/Replicator.h"

#include "Runtime/BootTime.h"

#include <algorithm>
#include <utility>

namespace Lavendervane::StandIn {

using namespace std::chrono_literals;

namespace {

constexpr auto heartbeatInterval = 100ms;
constexpr auto exchangeTimeout = 500ms;
constexpr auto retryDelay = 50ms;
constexpr uint64_t batchLimit = 512; // entries; keeps a request well below the body limit of the replica

} // namespace

Replicator::Replicator(boost::asio::io_context& context, const EndpointState& state, ReplicationObserver& observer,
    const std::chrono::milliseconds& ownLag, std::string ownAddress, std::string replica)
    : context(context)
    , state(state)
    , observer(observer)
    , ownLag(ownLag)
    , ownAddress(std::move(ownAddress))
    , replica(std::move(replica))
    , term(state.term())
    , sentPosition(state.position())
    , timer(context)
{
}

void Replicator::start() { this->send(); }

void Replicator::stop()
{
    this->isStopped = true;
    this->timer.cancel();
    this->connection.reset();
}

void Replicator::handleLogChange()
{
    if (!this->isSending && !this->isStopped)
        this->sendWhenDue();
}

Instant Replicator::dueTime(uint64_t position) const
{
    return this->state.entry(position).created + std::max(this->ownLag, this->replicaLag);
}

void Replicator::sendWhenDue()
{
    if (this->sentPosition >= this->state.position()) {
        this->sendAfter(heartbeatInterval);
        return;
    }
    const auto wait = this->dueTime(this->sentPosition + 1) - bootTimeNow();
    if (wait <= Duration::zero())
        this->send();
    else
        this->sendAfter(std::min<Duration>(wait, heartbeatInterval));
}

void Replicator::sendAfter(std::chrono::nanoseconds delay)
{
    this->timer.expires_after(delay);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->isSending && !self->isStopped)
            self->send();
    });
}

std::string Replicator::makeRequestBody()
{
    const Instant now = bootTimeNow();
    Json entries = Json::array();
    this->batchEnd = this->sentPosition;
    while (this->batchEnd < this->state.position() && this->batchEnd < this->sentPosition + batchLimit
        && this->dueTime(this->batchEnd + 1) <= now)
        entries.push_back(toJson(this->state.entry(++this->batchEnd)));

    const Term previousTerm = this->sentPosition ? this->state.entry(this->sentPosition).term : Term {};
    Duration oldestUnsentAge {};
    if (this->batchEnd < this->state.position())
        oldestUnsentAge = now - this->state.entry(this->batchEnd + 1).created;
    const Json body { { "term", toJson(this->term) }, { "primary", this->ownAddress },
        { "previous", { { "term", toJson(previousTerm) }, { "position", this->sentPosition } } },
        { "entries", std::move(entries) }, { "behind_ns", oldestUnsentAge.count() } };
    return body.dump();
}

void Replicator::send()
{
    this->isSending = true;
    this->timer.cancel();
    if (!this->connection || !this->connection->isReusable())
        this->connection = std::make_unique<HttpConnection>(this->context, this->replica);
    this->connection->exchange("POST", "/replicate", this->makeRequestBody(), exchangeTimeout,
        [self = this->shared_from_this()](const HttpExchange& exchange) { self->handleExchange(exchange); });
}

void Replicator::handleExchange(const HttpExchange& exchange)
{
    this->isSending = false;
    if (this->isStopped)
        return;
    if (exchange.status != ExchangeStatus::Answered || exchange.httpStatus != 200) {
        this->sendAfter(retryDelay);
        return;
    }
    try {
        this->handleResponse(exchange);
    } catch (const std::exception&) {
        this->sendAfter(retryDelay);
    }
}

void Replicator::handleResponse(const HttpExchange& exchange)
{
    const Json response = Json::parse(exchange.body);
    this->replicaLag = std::chrono::milliseconds(response.at("lag_ms").get<int64_t>());
    const Term promised = parseTerm(response.at("promised"));
    if (promised > this->term) {
        this->observer.handleHigherTerm(promised);
        return;
    }
    if (response.at("accepted").get<bool>()) {
        this->sentPosition = this->batchEnd;
        this->sendWhenDue();
        return;
    }
    // The logs differ at the previous entry: retry one entry earlier, or from the end of the replica's log if shorter.
    this->sentPosition = std::min(response.at("position").get<uint64_t>(), this->sentPosition);
    this->send();
}

} // namespace Lavendervane::StandIn
