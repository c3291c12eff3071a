#pragma once

#include "Core/Identifiers.h"
#include "Relay/OwnerPlacement.h"
#include "Relay/OwnerPools.h"
#include "Relay/RelayServer.h"
#include "Relay/RelayTransport.h"
#include "Statements/EndpointLink.h"
#include "Statements/SessionValues.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavendervane {

struct RelaySettings {
    /// Wait for the owner's answer to an opening, which it gives without asking the endpoint. Slow VMs take some 20 ms.
    Duration ownerTimeout = std::chrono::milliseconds(250);
    /// Owners that may be silent before the endpoint counts as unreachable.
    uint32_t maxSilentOwners = 2;
    /// Time for which an owner that was silent is tried last; it doubles with each time in a row up to the longest.
    Duration silentOwnerBackoff = std::chrono::milliseconds(1000);
    Duration maxSilentOwnerBackoff = std::chrono::seconds(16);
};

/// Carries this VM's statements over the owners of endpoints' connections, and those of other VMs to the endpoints that
/// it owns itself. Used where an endpoint accepts fewer connections than there are VMs.
class Relay : public EndpointConnector, private RelayTransportListener {
public:
    Relay(VmId selfVm, Timers&, EndpointConnector&, RelayTransport&, EndpointObserver&, PreparedStatementIds&,
        TrafficLog&, RelaySettings = {});
    ~Relay() override;

    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    void setDirectory(const std::shared_ptr<const Directory>&);
    void setMembers(std::vector<FleetMember>);

    /// Opens a link over an owner; the next one is tried if an owner cannot serve, and this VM itself at last.
    std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener&) override;

    /// Takes no new work of other VMs.
    void beginStop() { this->server.beginStop(); }

    /// Batches and transactions of other VMs under way.
    size_t busyLinkCount() const { return this->server.busyLinkCount(); }

    void shutDown();

private:
    class Link;

    /// What is known of another VM.
    struct Owner {
        RelayChannel channel = 0; ///< 0 if there is none
        Instant lastMessageAt {};
        Instant deprioritisedUntil {};
        Duration backoff {}; ///< last pause after silence
    };

    void onRelayMessage(RelayChannel, RelayMessage) override;
    void onRelayChannelClosed(RelayChannel) override;

    std::vector<FleetMember> candidates(const LinkTarget&) const;
    RelayChannel channelTo(const std::string& address);
    void closeSilentOwner(const std::string& address);
    std::shared_ptr<Link> findLink(RelayChannel, uint64_t link) const;

    VmId selfVm;
    Timers& timers;
    RelayTransport& transport;
    PreparedStatementIds& numbers;
    RelaySettings settings;
    OwnerPlacement placement;
    OwnerPools pools;
    RelayServer server;
    std::shared_ptr<const Directory> directory;
    std::map<std::string, Owner> owners; ///< by address
    std::map<RelayChannel, std::string> addresses; ///< of the connections that this VM opened
    std::map<uint64_t, std::weak_ptr<Link>> links;
    uint64_t lastLinkNumber = 0;
};

} // namespace Lavendervane
