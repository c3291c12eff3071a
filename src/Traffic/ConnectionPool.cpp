#include "Traffic/ConnectionPool.h"

#include "Http/HttpConnection.h"

#include <algorithm>
#include <cassert>

namespace Lavendervane {

// A firewall or NAT on the path may drop the state of a long-idle connection. The next request on it would then wait
// until its timeout.
static constexpr Duration idleLimit = std::chrono::seconds(10);

ConnectionPool::ConnectionPool(boost::asio::io_context& context)
    : context(context)
{
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::configure(const std::string& newAddress, size_t newLimit)
{
    this->limit = newLimit;
    if (newAddress == this->address)
        return;
    this->address = newAddress;
    this->closeIdle();
}

bool ConnectionPool::canTake() const { return !this->idle.empty() || this->taken < this->limit; }

std::unique_ptr<HttpConnection> ConnectionPool::take(Instant now)
{
    assert(this->canTake());
    ++this->taken;
    while (!this->idle.empty()) {
        Idle candidate = std::move(this->idle.back());
        this->idle.pop_back();
        if (now - candidate.since < idleLimit && candidate.connection->isReusable())
            return std::move(candidate.connection);
    }
    return std::make_unique<HttpConnection>(this->context, this->address);
}

void ConnectionPool::release(std::unique_ptr<HttpConnection> connection, Instant now)
{
    assert(this->taken);
    --this->taken;
    if (connection->address() == this->address && this->size() < this->limit && connection->isUsable())
        this->idle.push_back({ std::move(connection), now });
}

void ConnectionPool::closeIdle() { this->idle.clear(); }

void ConnectionPool::closeExpired(Instant now)
{
    std::erase_if(this->idle, [now](const Idle& entry) { return now - entry.since >= idleLimit; });
}

} // namespace Lavendervane
