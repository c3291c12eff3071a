#pragma once

#include "Http/HttpConnection.h"
#include "StandIn/EndpointState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Receives replication events that concern the whole endpoint.
class ReplicationObserver {
public:
    virtual ~ReplicationObserver() = default;

    /// Called when a replica has promised a higher term than that of this primary.
    virtual void handleHigherTerm(const Term&) = 0;
};

/// Sends the log of a primary to one replica during one term. To simulate replication lag, an entry is sent only when
/// its age reaches the larger of the primary's and the replica's lag setting. Sends a heartbeat if no entry is due.
class Replicator : public std::enable_shared_from_this<Replicator> {
public:
    /// State, observer and `ownLag` must outlive the replicator.
    Replicator(boost::asio::io_context&, const EndpointState&, ReplicationObserver&,
        const std::chrono::milliseconds& ownLag, std::string ownAddress, std::string replica);

    void start();

    /// Stops replication. Must be called when the endpoint ceases to be the primary of this term.
    void stop();

    /// Sends new entries that are due, unless a request is already in progress.
    void handleLogChange();

private:
    void sendWhenDue();
    void send();
    void handleExchange(const HttpExchange&);
    void handleResponse(const HttpExchange&);
    void sendAfter(std::chrono::nanoseconds);
    std::string makeRequestBody();
    Instant dueTime(uint64_t position) const;

    boost::asio::io_context& context;
    const EndpointState& state;
    ReplicationObserver& observer;
    const std::chrono::milliseconds& ownLag;
    std::string ownAddress;
    std::string replica;
    Term term;
    uint64_t sentPosition = 0; ///< last position that the replica is known or assumed to hold
    uint64_t batchEnd = 0; ///< last position in the current request
    std::chrono::milliseconds replicaLag { 0 };
    std::unique_ptr<HttpConnection> connection;
    boost::asio::steady_timer timer;
    bool isSending = false;
    bool isStopped = false;
};

} // namespace Lavendervane::StandIn
