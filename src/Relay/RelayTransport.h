#pragma once

#include "Relay/RelayMessages.h"

#include <cstdint>
#include <string>

namespace Lavendervane {

/// Number of a connection between this VM and another one, unique in this process.
using RelayChannel = uint64_t;

/// Receives messages and events of connections to other VMs. The transport never calls it from within its own methods.
class RelayTransportListener {
public:
    virtual ~RelayTransportListener() = default;

    virtual void onRelayMessage(RelayChannel, RelayMessage) = 0;

    /// A connection that this VM opened has been established.
    virtual void onRelayChannelConnected(RelayChannel) { }

    /// The connection ended without a call to `close`. Messages in flight are lost.
    virtual void onRelayChannelClosed(RelayChannel) = 0;
};

/// Carries relay messages between VMs over connections that preserve their order.
class RelayTransport {
public:
    virtual ~RelayTransport() = default;

    /// Connects to a VM ("IP:port"). Messages can be sent immediately and are queued until the connection is
    /// established.
    virtual RelayChannel open(const std::string& address) = 0;

    /// Sends a message. Does nothing if the connection has ended.
    virtual void send(RelayChannel, const RelayMessage&) = 0;

    /// Closes a connection without a call to the listener.
    virtual void close(RelayChannel) = 0;

    /// Returns the address of the VM at the other end ("IP:port"); empty if the connection has ended.
    virtual std::string peerAddress(RelayChannel) const = 0;

    /// Sets the receiver of messages and events; null removes it.
    virtual void setListener(RelayTransportListener*) = 0;
};

} // namespace Lavendervane
