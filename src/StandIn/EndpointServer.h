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

struct EndpointSettings {
    std::string address; ///< "IP:port"; port 0 takes a free one
    std::string advertisedAddress; ///< address under which others reach it, if not `address`
    bool firstPrimary = false; ///< starts as primary in term {1, ""}
    std::vector<std::string> replicas; ///< addresses of the other members; used by the first primary
    uint32_t slots = 1000;
    std::chrono::milliseconds slotWait { 1000 }; ///< bound on the wait for a slot
    uint32_t connections = 10000; ///< connections with traffic
    std::chrono::milliseconds connectionCost { 0 }; ///< delay of the first traffic request of a connection
    std::chrono::microseconds serviceTime { 0 }; ///< time that a request holds a slot
    std::chrono::milliseconds lag { 0 };
};

/// Switches set by `POST /control`.
struct EndpointSwitches {
    std::chrono::milliseconds lag { 0 };
    std::chrono::milliseconds extraServiceTime { 0 }; ///< added to the service time
    uint64_t answersToDrop = 0; ///< traffic answers still to be dropped; their connections are closed
    bool crossNextAnswer = false; ///< the next traffic answer is the previous one, or has a wrong exchange id
};

/// One database of a group (docs/design.md, 6.2). All its work runs on the given io_context.
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

    /// To be called after each call that may have changed the log or the role.
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
    uint32_t trafficConnections = 0;
    std::string previousAnswer;
    std::vector<std::shared_ptr<Replicator>> replicators;
    HttpServer server;
    std::string ownAddress;
    std::unique_ptr<EndpointState> endpoint;
    /// Expires with the server; its connections may live on in the io_context.
    std::shared_ptr<const bool> lifetime = std::make_shared<const bool>(true);
};

} // namespace Lavendervane::StandIn
