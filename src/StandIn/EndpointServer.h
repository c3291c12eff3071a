#pragma once

#include "Http/HttpServer.h"
#include "StandIn/EndpointState.h"
#include "StandIn/PositionWaiters.h"
#include "StandIn/Replicator.h"
#include "StandIn/SeenTraffic.h"
#include "StandIn/SlotQueue.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

/// Command-line settings of an endpoint.
struct EndpointSettings {
    std::string address; ///< "IP:port"; port 0 selects a free port
    std::string advertisedAddress; ///< address at which other processes reach this endpoint, if not `address`
    bool firstPrimary = false; ///< starts as primary in term {1, ""}
    std::vector<std::string> replicas; ///< addresses of the other members; used by the first primary
    uint32_t slots = 1000; ///< requests that run concurrently
    std::chrono::milliseconds slotWait { 1000 }; ///< maximum wait for a slot
    uint32_t connections = 10000; ///< maximum number of connections with traffic
    std::chrono::milliseconds connectionCost { 0 }; ///< delay of the first traffic request of a connection
    std::chrono::microseconds serviceTime { 0 }; ///< time that a request holds a slot
    std::chrono::milliseconds lag { 0 }; ///< initial replication lag
};

/// Switches set by `POST /control`.
struct EndpointSwitches {
    std::chrono::milliseconds lag { 0 }; ///< replication lag
    std::chrono::milliseconds slow { 0 }; ///< added to the service time
    uint64_t dropAnswers = 0; ///< number of next traffic responses to drop; their connections are closed
    bool crossNext = false; ///< the next traffic response is the previous one, or has a wrong exchange id
};

/// HTTP server of one simulated database of a group (docs/design.md, 6.2). All its work runs on the given io_context.
class EndpointServer : public ReplicationObserver {
public:
    /// Throws Error (step "listen").
    EndpointServer(boost::asio::io_context&, const EndpointSettings&);
    ~EndpointServer() override;

    EndpointServer(const EndpointServer&) = delete;
    EndpointServer& operator=(const EndpointServer&) = delete;

    const std::string& address() const { return this->ownAddress; }
    const EndpointState& state() const { return *this->endpoint; }

    void onHigherTermSeen(const Term&) override;

private:
    friend class EndpointConnection;

    void startReplication(const std::vector<std::string>& members);
    void stopReplication();

    /// Must be called after each operation that may have changed the log or the role.
    void onStateChanged();

    Json fence(const Json&);
    Json promote(const Json&);
    Json follow(const Json&);
    Json replicate(const Json&);
    Json status() const;
    Json control(const Json&);
    Json dump() const;

    std::string uniqueAddress(const EndpointSettings&) const;

    boost::asio::io_context& context;
    EndpointSettings settings;
    EndpointSwitches switches;
    SlotQueue slots;
    PositionWaiters waiters;
    SeenTraffic seen;
    uint32_t trafficConnections = 0;
    std::string lastAnswer;
    std::vector<std::shared_ptr<Replicator>> replicators;
    HttpServer server;
    std::string ownAddress;
    std::unique_ptr<EndpointState> endpoint;
    /// Expires with the server. Connections may outlive the server in the io_context and check it.
    std::shared_ptr<const bool> lifetime = std::make_shared<const bool>(true);
};

} // namespace Lavendervane::StandIn
