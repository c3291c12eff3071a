#include "Traffic/ConfirmationStream.h"

#include "Core/Error.h"
#include "Runtime/BootTime.h"
#include "Traffic/EndpointProtocol.h"

#include <algorithm>
#include <limits>

namespace Lavendervane {

using namespace std::chrono_literals;

// Polling continues for this time after the last wait, so that a steady writer finds a poll already pending at the
// replicas.
static constexpr Duration pollingTimeAfterLastWait = 10s;

// The replica answers a long poll after at most pollTimeout. A silent connection is detected after pollTimeout plus
// pollSlack.
static constexpr auto pollTimeout = 500ms;
static constexpr auto pollSlack = 1000ms;

static constexpr auto pauseAfterFailure = 50ms;
static constexpr auto sweepInterval = 10ms;

ConfirmationStream::ConfirmationStream(boost::asio::io_context& context)
    : context(context)
    , sweepTimer(context)
{
}

void ConfirmationStream::setReplicas(const std::vector<std::string>& addresses)
{
    std::vector<std::shared_ptr<Replica>> next;
    for (const std::string& address : addresses) {
        const auto found = std::find_if(this->replicas.begin(), this->replicas.end(),
            [&address](const auto& replica) { return replica && replica->address == address; });
        next.push_back(
            found == this->replicas.end() ? std::make_shared<Replica>(address, this->context) : std::move(*found));
    }
    this->replicas.erase(std::remove(this->replicas.begin(), this->replicas.end(), nullptr), this->replicas.end());
    for (const auto& replica : this->replicas) {
        replica->removed = true;
        if (replica->connection)
            replica->connection->close();
    }
    this->replicas = std::move(next);
    this->notifyConfirmed();
    this->pollAll();
}

bool ConfirmationStream::isActive() const
{
    return !this->stopped && (!this->waiters.empty() || bootTimeNow() - this->lastWait < pollingTimeAfterLastWait);
}

uint64_t ConfirmationStream::confirmedPosition() const
{
    const size_t needed = (this->replicas.size() + 1) / 2; // replicas that form a majority with the primary
    if (!needed)
        return std::numeric_limits<uint64_t>::max();
    std::vector<uint64_t> positions;
    for (const auto& replica : this->replicas) {
        if (replica->term == this->term)
            positions.push_back(replica->position);
    }
    if (positions.size() < needed)
        return 0;
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return positions[needed - 1];
}

void ConfirmationStream::observeTerm(const Term& seen)
{
    if (seen <= this->term)
        return;
    this->term = seen;
    this->failAllWaiters();
    // A pending poll for the old term would only return at its timeout.
    for (const auto& replica : this->replicas) {
        if (replica->polling && replica->connection && replica->polledTerm != this->term)
            replica->connection->close();
    }
}

void ConfirmationStream::failAllWaiters()
{
    auto failed = std::move(this->waiters);
    this->waiters.clear();
    for (auto& [position, waiter] : failed)
        waiter.callback(false);
}

void ConfirmationStream::wait(const Term& required, uint64_t position, Instant deadline, Callback callback)
{
    this->observeTerm(required);
    if (required < this->term) {
        callback(false);
        return;
    }
    this->lastWait = bootTimeNow();
    if (this->confirmedPosition() >= position) {
        callback(true);
        this->pollAll();
        return;
    }
    this->waiters.emplace(position, Waiter { deadline, std::move(callback) });
    this->armSweepTimer();
    this->pollAll();
}

void ConfirmationStream::notifyConfirmed()
{
    const uint64_t limit = this->confirmedPosition();
    std::vector<Callback> released;
    while (!this->waiters.empty() && this->waiters.begin()->first <= limit) {
        released.push_back(std::move(this->waiters.begin()->second.callback));
        this->waiters.erase(this->waiters.begin());
    }
    for (const Callback& callback : released)
        callback(true);
}

void ConfirmationStream::armSweepTimer()
{
    if (this->sweepArmed || this->waiters.empty() || this->stopped)
        return;
    this->sweepArmed = true;
    this->sweepTimer.expires_after(sweepInterval);
    this->sweepTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        self->sweepArmed = false;
        if (error)
            return;
        const Instant now = bootTimeNow();
        std::vector<Callback> expired;
        for (auto next = self->waiters.begin(); next != self->waiters.end();) {
            const auto waiter = next++;
            if (waiter->second.deadline <= now) {
                expired.push_back(std::move(waiter->second.callback));
                self->waiters.erase(waiter);
            }
        }
        for (const Callback& callback : expired)
            callback(false);
        self->armSweepTimer();
    });
}

void ConfirmationStream::pollAll()
{
    const auto current = this->replicas;
    for (const auto& replica : current)
        this->poll(replica);
}

void ConfirmationStream::poll(const std::shared_ptr<Replica>& replica)
{
    if (replica->polling || replica->removed || !this->isActive() || this->term == Term {}
        || bootTimeNow() < replica->pausedUntil)
        return;
    replica->polling = true;
    replica->polledAt = bootTimeNow();
    replica->polledTerm = this->term;
    if (!replica->connection || !replica->connection->isReusable())
        replica->connection = std::make_unique<HttpConnection>(this->context, replica->address);
    const uint64_t position = replica->term == this->term ? replica->position + 1 : 0;
    std::string exchangeId = "await-" + std::to_string(++this->lastExchangeNumber);
    const std::string body = "{\"exchange_id\":\"" + exchangeId + "\",\"term\":" + termToJson(this->term)
        + ",\"position\":" + std::to_string(position) + ",\"timeout_ms\":" + std::to_string(pollTimeout.count()) + "}";
    replica->connection->exchange("POST", "/await", body, pollTimeout + pollSlack,
        [self = this->shared_from_this(), replica, exchangeId](
            const HttpExchange& exchange) { self->handlePollEnd(replica, exchange, exchangeId); });
}

void ConfirmationStream::handlePollEnd(
    const std::shared_ptr<Replica>& replica, const HttpExchange& exchange, const std::string& exchangeId)
{
    replica->polling = false;
    bool progress = replica->polledTerm != this->term;
    try {
        if (exchange.status == ExchangeStatus::Answered) {
            const AppliedPosition applied = parseAwaitAnswer(exchange.body, exchangeId);
            progress = progress || applied.term != replica->term || applied.position != replica->position
                || bootTimeNow() - replica->polledAt >= pauseAfterFailure;
            replica->term = applied.term;
            replica->position = applied.position;
        }
    } catch (const Error&) {
        replica->connection->close();
    }
    this->notifyConfirmed();
    if (progress) {
        replica->pausedUntil = {};
        this->poll(replica);
        return;
    }
    // A replica that fails, or answers at once with an unchanged position, must not be polled in a tight loop.
    replica->pausedUntil = bootTimeNow() + pauseAfterFailure;
    replica->pauseTimer.expires_after(pauseAfterFailure);
    replica->pauseTimer.async_wait([self = this->shared_from_this(), replica](boost::system::error_code error) {
        if (error)
            return;
        replica->pausedUntil = {};
        self->poll(replica);
    });
}

void ConfirmationStream::stop()
{
    this->stopped = true;
    this->waiters.clear();
    this->sweepTimer.cancel();
    for (const auto& replica : this->replicas) {
        replica->pauseTimer.cancel();
        replica->connection.reset();
    }
}

} // namespace Lavendervane
