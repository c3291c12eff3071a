#pragma once

#include "Control/TrafficSnapshot.h"
#include "Traffic/TransactionChannel.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace Lavendervane {

class TrafficMetrics;

/// Client side of forwarding: sends tasks to the VMs that own their endpoints. Thread-safe.
class ForwardClient {
public:
    ForwardClient(std::string secret, TrafficMetrics&);
    ~ForwardClient();

    ForwardClient(const ForwardClient&) = delete;
    ForwardClient& operator=(const ForwardClient&) = delete;

    /// Sends a task to the peer and invokes the callback once, on any thread.
    void forward(const PeerRouting&, const EndpointTask&, EndpointCallback);

    /// Creates a channel for a transaction at an endpoint that the peer owns. Callbacks are posted to the context.
    std::shared_ptr<TransactionChannel> openTransaction(boost::asio::io_context&, const PeerRouting&);

    /// Discards the channels to addresses that no peer in the snapshot has. Running calls keep theirs.
    void retainPeers(const TrafficSnapshot&);

    /// Cancels all calls and waits until their callbacks have returned.
    void stop();

    class Implementation;

private:
    std::shared_ptr<Implementation> implementation;
};

} // namespace Lavendervane
