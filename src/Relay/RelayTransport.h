#pragma once

#include "Relay/RelayMessages.h"

#include <cstdint>
#include <string>

namespace Lavendervane {

/// Number of a connection to another VM, unique in this process.
using RelayChannel = uint64_t;

/// Receives what happens on connections to other VMs. No call comes from within a call to the transport.
class RelayTransportListener {
public:
    virtual ~RelayTransportListener() = default;

    virtual void onRelayMessage(RelayChannel, RelayMessage) = 0;

    /// The connection ended other than by `close`; messages on their way are lost.
    virtual void onRelayChannelClosed(RelayChannel) = 0;
};

/// Connections that carry relay messages in order.
class RelayTransport {
public:
    virtual ~RelayTransport() = default;

    /// Connects to a VM ("IP:port"). Messages may be sent at once; they wait until the connection is there.
    virtual RelayChannel open(const std::string& address) = 0;

    /// Does nothing if the connection has ended.
    virtual void send(RelayChannel, const RelayMessage&) = 0;
    virtual void close(RelayChannel) = 0;

    /// Sets who is told; null for nobody.
    virtual void setListener(RelayTransportListener*) = 0;
};

} // namespace Lavendervane
