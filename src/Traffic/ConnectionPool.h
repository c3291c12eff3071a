#pragma once

#include "Core/Instant.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

class HttpConnection;

/// Limited number of connections from this VM to one endpoint. Used on one thread.
class ConnectionPool {
public:
    explicit ConnectionPool(boost::asio::io_context&);
    ~ConnectionPool();

    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /// Sets the address and the connection limit. A new address closes the idle connections; connections in use are
    /// closed when they are released.
    void configure(const std::string& address, size_t limit);

    /// Returns true if there is an idle connection or the limit allows a new one. Precondition of take().
    bool canTake() const;

    /// Returns an idle connection, or a new one that has not been connected yet.
    std::unique_ptr<HttpConnection> take(Instant now);

    /// Returns a taken connection to the pool, or closes it if it cannot carry another exchange.
    void release(std::unique_ptr<HttpConnection>, Instant now);

    /// Closes all idle connections.
    void closeIdle();

    /// Closes the connections whose idle time has reached the limit.
    void closeExpired(Instant now);

    /// Number of idle connections and connections in use.
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
    std::vector<Idle> idle; ///< ordered by last use, most recent last
};

} // namespace Lavendervane
