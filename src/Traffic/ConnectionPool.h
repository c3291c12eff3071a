#pragma once

#include "Core/Instant.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

class HttpConnection;

/// Connections of this VM to one endpoint, at most a given number. Used on one thread.
class ConnectionPool {
public:
    explicit ConnectionPool(boost::asio::io_context&);
    ~ConnectionPool();

    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /// Connections to another address are closed when they are given back.
    void configure(const std::string& address, size_t limit);

    /// True if take() may be called.
    bool canTake() const;

    /// Takes an idle connection, or a new one that has not been connected yet.
    std::unique_ptr<HttpConnection> take(Instant now);

    /// Gives back a taken connection; closes it unless it can carry another exchange.
    void release(std::unique_ptr<HttpConnection>, Instant now);

    /// Closes all idle connections.
    void closeIdle();

    /// Closes the connections that have been idle for too long.
    void closeExpired(Instant now);

    /// Open connections, taken ones included.
    size_t size() const { return this->taken + this->idle.size(); }

private:
    struct Idle {
        std::unique_ptr<HttpConnection> connection;
        Instant since;
    };

    boost::asio::io_context& context;
    std::string address;
    size_t limit = 1;
    size_t taken = 0;
    std::vector<Idle> idle; ///< most recently used last
};

} // namespace Lavendervane
