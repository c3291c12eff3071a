#pragma once

#include "Http/HttpConnection.h"
#include "StandIn/EndpointState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Receives replication events that affect the whole endpoint.
class ReplicationObserver {
public:
    virtual ~ReplicationObserver() = default;

    /// Called when a replica has promised a higher term.
    virtual void onHigherTermSeen(const Term&) = 0;
};

/// Sends the log of a primary to one replica, for one term. An entry is sent when its age reaches the larger of the
/// sender's and the replica's lag setting. A heartbeat is sent if there are no entries.
class Replicator : public std::enable_shared_from_this<Replicator> {
public:
    /// State, observer and `ownLag` must outlive the replicator.
    Replicator(boost::asio::io_context&, const EndpointState&, ReplicationObserver&,
        const std::chrono::milliseconds& ownLag, std::string ownAddress, std::string replica);

    void start();

    /// Ends the replication; must be called when the endpoint is no longer primary in this term.
    void stop();

    /// Called after each change of the log; sends new entries when they are due.
    void onLogChanged();

private:
    void sendWhenDue();
    void send();
    void handleResponse(const HttpExchange&);
    void processResponse(const HttpExchange&);
    void sendAfter(std::chrono::nanoseconds);
    std::string makeBody();
    Instant dueTime(uint64_t position) const;

    boost::asio::io_context& context;
    const EndpointState& state;
    ReplicationObserver& observer;
    const std::chrono::milliseconds& ownLag;
    std::string ownAddress;
    std::string replica;
    Term term;
    uint64_t sentPosition = 0; ///< last position assumed to match the log of the replica
    uint64_t batchEnd = 0;
    std::chrono::milliseconds replicaLag { 0 };
    std::unique_ptr<HttpConnection> connection;
    boost::asio::steady_timer timer;
    bool running = false;
    bool stopped = false;
};

} // namespace Lavendervane::StandIn
