#pragma once

#include "Peers/PeerMessages.h"

#include <string>

namespace Lavendervane {

/// Receives messages from other VMs.
class PeerListener {
public:
    virtual ~PeerListener() = default;

    /// A message has arrived. `sender` is the address ("IP:port") for a reply.
    virtual void onPeerMessage(const std::string& sender, const PeerMessage&) = 0;
};

/// Sends messages to other VMs. Messages can be lost.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    /// Sends a message to `address` ("IP:port").
    virtual void send(const std::string& address, const PeerMessage&) = 0;

    /// Sets the receiver of messages; null removes it.
    virtual void setListener(PeerListener*) = 0;
};

} // namespace Lavendervane
