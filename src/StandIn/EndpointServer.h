#pragma once

#include "Http/HttpServer.h"
#include "StandIn/EndpointState.h"
#include "StandIn/PositionWaiters.h"
#include "StandIn/Replicator.h"
#include "StandIn/RequestRecorder.h"
#include "StandIn/SlotQueue.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

/// Start-up settings of a simulated endpoint.
struct EndpointSettings {
    std::string address; ///< listening address, "IP:port"; port 0 selects a free port
    std::string advertisedAddress; ///< address that other processes use, if it differs from `address`
    bool startsAsPrimary = false; ///< starts as primary in term {1, ""}
    std::vector<std::string> replicas; ///< addresses of the other members; used only with `startsAsPrimary`
    uint32_t slots = 1000; ///< requests that run at the same time
    std::chrono::milliseconds slotWaitLimit { 1000 }; ///< longest wait for a slot; the request then fails with "busy"
    uint32_t maxTrafficConnections = 10000; ///< largest number of connections that carry client requests
    std::chrono::milliseconds connectionCost { 0 }; ///< delay of the first client request on a connection
    std::chrono::microseconds serviceTime { 0 }; ///< time for which a request holds a slot
    std::chrono::milliseconds lag { 0 }; ///< replication delay, see Replicator
};

/// Settings that `POST /control` changes at run time.
struct EndpointSwitches {
    std::chrono::milliseconds lag { 0 }; ///< replication delay, see Replicator
    std::chrono::milliseconds extraServiceTime { 0 }; ///< added to EndpointSettings::serviceTime
    uint64_t answersToDrop = 0; ///< number of coming client responses to drop; their connections are closed
    bool crossNextAnswer = false; ///< answers the next request with the previous response or a wrong exchange id
};

/// Simulated database server, one member of a group (docs/design.md, 6.2). Runs entirely on the given io_context.
class EndpointServer : public ReplicationObserver {
public:
    /// Throws Error (step "listen").
    EndpointServer(boost::asio::io_context&, const EndpointSettings&);
    ~EndpointServer() override;

    EndpointServer(const EndpointServer&) = delete;
    EndpointServer& operator=(const EndpointServer&) = delete;

    const std::string& address() const { return this->ownAddress; }
    const EndpointState& state() const { return *this->endpoint; }

    void handleHigherTerm(const Term&) override;

private:
    friend class EndpointConnection;

    void startReplication(const std::vector<std::string>& members);
    void stopReplication();

    /// Must be called after each operation that may have changed the log or the role.
    void handleStateChange();

    Json handleFence(const Json&);
    Json handlePromote(const Json&);
    Json handleFollow(const Json&);
    Json handleReplicate(const Json&);
    Json status() const;
    Json handleControl(const Json&);
    Json dump() const;

    std::string determineOwnAddress(const EndpointSettings&) const;

    boost::asio::io_context& context;
    EndpointSettings settings;
    EndpointSwitches switches;
    SlotQueue slots;
    PositionWaiters waiters;
    RequestRecorder recorder;
    uint32_t trafficConnections = 0; ///< open connections that have carried a client request
    std::string previousAnswer; ///< body of the last client response, sent again by `crossNextAnswer`
    std::vector<std::shared_ptr<Replicator>> replicators;
    HttpServer server;
    std::string ownAddress;
    std::unique_ptr<EndpointState> endpoint;
    /// Lets connections detect that the server is gone; they may outlive it in the io_context.
    std::shared_ptr<const bool> lifetimeToken = std::make_shared<const bool>(true);
};

} // namespace Lavendervane::StandIn
