#pragma once

#include "Peers/PeerMessages.h"

#include <string>

namespace Lavendervane {

/// Receives messages of other VMs.
class PeerListener {
public:
    virtual ~PeerListener() = default;

    /// `sender`: "IP:port", for the reply.
    virtual void onPeerMessage(const std::string& sender, const PeerMessage&) = 0;
};

/// Sends messages to other VMs. A message may be lost.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    virtual void send(const std::string& address, const PeerMessage&) = 0;

    /// Sets who receives messages; null for nobody.
    virtual void setListener(PeerListener*) = 0;
};

} // namespace Lavendervane
