#pragma once

#include "Http/HttpMessages.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio::ssl {
class context;
}

namespace Lavendervane {

/// Address, limits and TLS context of an HTTP server.
struct HttpServerSettings {
    std::string address; ///< "IP:port"; port 0 selects a free port
    /// Lets several servers, one per thread, listen on the same address (SO_REUSEPORT).
    bool sharePort = false;
    uint32_t headerLimit = 16 * 1024; ///< largest request header, in bytes
    uint64_t bodyLimit = 1024 * 1024; ///< largest request body, in bytes
    /// Longest time from the first byte of a request to its last. A slower client is disconnected.
    std::chrono::milliseconds requestTimeout { 10000 };
    /// Longest time for which a connection may be idle between requests; 0 means no limit.
    std::chrono::milliseconds idleTimeout { 0 };
    /// TLS context; null for plain TCP. Must outlive the server.
    boost::asio::ssl::context* tls = nullptr;
};

/// HTTP/1.1 server with keep-alive. All its work runs on the given io_context, which must be run by one thread.
class HttpServer {
public:
    /// Starts listening. Throws Error (step "listen") if the address cannot be used.
    HttpServer(boost::asio::io_context&, const HttpServerSettings&, HttpHandlerFactory);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    uint16_t port() const;
    size_t connectionCount() const;

    /// Answers further requests with "Connection: close" and closes idle connections after their next request.
    void beginDraining();

    /// Stops accepting connections and closes idle ones. Requests in progress are completed.
    void stopAccepting();

    /// Closes all connections immediately.
    void closeAll();

    class Implementation;

private:
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
