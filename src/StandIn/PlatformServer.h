#pragma once

#include "Http/HttpServer.h"
#include "StandIn/PlatformState.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Switches set by `POST /control`.
struct PlatformSwitches {
    bool outage = false; ///< requests take no effect and their connections are closed without a response
    bool loseAnswers = false; ///< requests take effect, but their connections are closed without a response
    std::chrono::milliseconds delay { 0 }; ///< delay before a request takes effect
    std::chrono::milliseconds vmListLag { 0 }; ///< age of the VM list that requests receive
};

/// Simulates the platform (docs/design.md, 6.3). All its work runs on the given io_context.
class PlatformServer {
public:
    /// `address` is "IP:port". Throws Error (step "listen").
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
