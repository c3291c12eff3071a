#pragma once

#include "Http/HttpConnection.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane {

/// Pool of HTTP connections, keyed by peer address, for calls of the control thread. A connection that has been idle
/// for 10 s is replaced. A failed exchange closes all idle connections to that peer, because they may have gone silent
/// too. All calls must be made on the thread that runs the io_context; callbacks run there, none after destruction.
class HttpPool {
public:
    explicit HttpPool(boost::asio::io_context&);
    ~HttpPool();

    HttpPool(const HttpPool&) = delete;
    HttpPool& operator=(const HttpPool&) = delete;

    /// Sends one request and receives its answer on an idle or a new connection, always on a new one if
    /// `freshConnection` is true.
    void exchange(const std::string& address, const std::string& method, const std::string& target, std::string body,
        std::chrono::milliseconds timeout, bool freshConnection, HttpExchangeCallback);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
