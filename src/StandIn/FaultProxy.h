#pragma once

#include "Http/HttpServer.h"
#include "StandIn/FaultPair.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

/// Fault-injecting TCP proxy with several pairs and an HTTP control address. `POST /control` takes
/// {"pairs": {NAME: {"delay_ms", "cut_to_target", "cut_to_client", "silent", "freeze", "refuse_new", "heal"}}}; the
/// name "*" selects all pairs. {"heal": true} ends the faults of all pairs; silenced connections remain silent.
class FaultProxy {
public:
    /// Throws Error (step "listen" or "parse address").
    FaultProxy(boost::asio::io_context&, const std::string& controlAddress, const std::vector<FaultPairSettings>&);
    ~FaultProxy();

    uint16_t controlPort() const { return this->server.port(); }

    /// Applies a control request and returns the state of all pairs. Throws Error (step "control") or
    /// nlohmann::json::exception.
    nlohmann::json control(const nlohmann::json&);

    std::string listenAddress(const std::string& pair) const;

private:
    class Connection;

    nlohmann::json state() const;
    std::vector<FaultPair*> select(const std::string& name) const;

    std::vector<std::unique_ptr<FaultPair>> pairs;
    HttpServer server;
};

} // namespace Lavendervane::StandIn
