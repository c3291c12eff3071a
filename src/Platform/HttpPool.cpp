#include "Platform/HttpPool.h"

#include "Runtime/BootTime.h"

#include <map>
#include <utility>
#include <vector>

namespace Lavendervane {

// Idle time after which a connection is closed.
static constexpr auto maxIdleTime = std::chrono::seconds(10);
static constexpr size_t maxIdleConnectionsPerPeer = 4;

class HttpPool::Implementation : public std::enable_shared_from_this<HttpPool::Implementation> {
public:
    explicit Implementation(boost::asio::io_context& context)
        : context(context)
    {
    }

    void exchange(const std::string& address, const std::string& method, const std::string& target, std::string body,
        std::chrono::milliseconds timeout, bool freshConnection, HttpExchangeCallback callback)
    {
        this->closeExpiredConnections();
        auto connection = freshConnection ? nullptr : this->takeIdle(address);
        if (!connection)
            connection = std::make_shared<HttpConnection>(this->context, address);
        // The callback owns the connection while the exchange runs.
        connection->exchange(method, target, std::move(body), timeout,
            [weak = this->weak_from_this(), connection, address, callback = std::move(callback)](HttpExchange result) {
                const auto self = weak.lock();
                if (!self)
                    return;
                self->release(address, connection, result.status);
                callback(std::move(result));
            });
    }

private:
    struct IdleConnection {
        std::shared_ptr<HttpConnection> connection;
        Instant since;
    };

    std::shared_ptr<HttpConnection> takeIdle(const std::string& address)
    {
        const auto found = this->idleConnections.find(address);
        if (found == this->idleConnections.end())
            return nullptr;
        auto& connections = found->second;
        while (!connections.empty()) {
            auto connection = std::move(connections.back().connection);
            connections.pop_back();
            if (connection->isReusable())
                return connection;
        }
        this->idleConnections.erase(found);
        return nullptr;
    }

    void release(const std::string& address, const std::shared_ptr<HttpConnection>& connection, ExchangeStatus status)
    {
        if (status != ExchangeStatus::Answered) {
            this->idleConnections.erase(address);
            return;
        }
        auto& connections = this->idleConnections[address];
        if (connection->isReusable() && connections.size() < maxIdleConnectionsPerPeer)
            connections.push_back({ connection, bootTimeNow() });
    }

    void closeExpiredConnections()
    {
        const Instant now = bootTimeNow();
        if (now - this->lastExpiryCheck < std::chrono::seconds(1))
            return;
        this->lastExpiryCheck = now;
        for (auto entry = this->idleConnections.begin(); entry != this->idleConnections.end();) {
            std::erase_if(entry->second, [now](const IdleConnection& idle) { return now - idle.since >= maxIdleTime; });
            entry = entry->second.empty() ? this->idleConnections.erase(entry) : std::next(entry);
        }
    }

    boost::asio::io_context& context;
    std::map<std::string, std::vector<IdleConnection>> idleConnections;
    Instant lastExpiryCheck;
};

HttpPool::HttpPool(boost::asio::io_context& context)
    : implementation(std::make_shared<Implementation>(context))
{
}

HttpPool::~HttpPool() = default;

void HttpPool::exchange(const std::string& address, const std::string& method, const std::string& target,
    std::string body, std::chrono::milliseconds timeout, bool freshConnection, HttpExchangeCallback callback)
{
    this->implementation->exchange(
        address, method, target, std::move(body), timeout, freshConnection, std::move(callback));
}

} // namespace Lavendervane
