#pragma once

#include "Http/HttpServer.h"
#include "StandIn/PlatformState.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Faults that `POST /control` sets at run time.
struct PlatformSwitches {
    bool isOutage = false; ///< closes the connection of each request, without running the request
    bool closesWithoutAnswer = false; ///< runs each request, then closes its connection without a response
    std::chrono::milliseconds delay { 0 }; ///< delay before a request runs
    std::chrono::milliseconds vmListLag { 0 }; ///< age of the VM list that is returned
};

/// Simulated cloud platform: table, object store and VM list (docs/design.md, 6.3). Runs entirely on the given
/// io_context.
class PlatformServer {
public:
    /// Listens at `address` ("IP:port") and starts with the VM list `vms`. Throws Error (step "listen").
    PlatformServer(boost::asio::io_context&, const std::string& address, Json vms);
    ~PlatformServer();

    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    uint16_t port() const { return this->server.port(); }

private:
    class Connection;

    HttpResponse serve(const HttpRequest&);
    HttpResponse serveObject(const HttpRequest&, const std::string& name);
    Json control(const Json&);

    boost::asio::io_context& context;
    PlatformState state;
    PlatformSwitches switches;
    HttpServer server;
};

} // namespace Lavendervane::StandIn
