#pragma once

#include "Http/HttpConnection.h"
#include "StandIn/EndpointState.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Lavendervane::StandIn {

/// Told about answers that concern the whole endpoint.
class ReplicationObserver {
public:
    virtual ~ReplicationObserver() = default;

    /// A replica has promised a higher term.
    virtual void handleHigherTerm(const Term&) = 0;
};

/// Sends the log of a primary to one replica, for one term. An entry is sent once it is as old as the larger of the
/// sender's and the replica's lag setting. Without entries a heartbeat is sent.
class Replicator : public std::enable_shared_from_this<Replicator> {
public:
    /// State, observer and `ownLag` must outlive the replicator.
    Replicator(boost::asio::io_context&, const EndpointState&, ReplicationObserver&,
        const std::chrono::milliseconds& ownLag, std::string ownAddress, std::string replica);

    void start();

    /// Ends the replication; must be called when the endpoint is no longer primary in this term.
    void stop();

    /// New entries may be sent.
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
    uint64_t sentPosition = 0; ///< last position that the replica holds, as far as known
    uint64_t batchEnd = 0;
    std::chrono::milliseconds replicaLag { 0 };
    std::unique_ptr<HttpConnection> connection;
    boost::asio::steady_timer timer;
    bool isSending = false;
    bool isStopped = false;
};

} // namespace Lavendervane::StandIn
