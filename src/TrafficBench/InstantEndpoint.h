#pragma once

#include "Http/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <thread>

namespace Lavendervane {

/// HTTP endpoint for benchmarks: responds to every request immediately with a fixed result, on its own thread.
class InstantEndpoint {
public:
    /// Starts to listen on a free loopback port. `isPrimary` selects the role in the responses.
    explicit InstantEndpoint(bool isPrimary);
    ~InstantEndpoint();

    InstantEndpoint(const InstantEndpoint&) = delete;
    InstantEndpoint& operator=(const InstantEndpoint&) = delete;

    std::string address() const;

private:
    boost::asio::io_context context;
    std::unique_ptr<HttpServer> server;
    std::thread thread;
};

} // namespace Lavendervane
