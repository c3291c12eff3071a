#pragma once

#include "Core/Identifiers.h"
#include "Relay/ChannelSchedule.h"
#include "Relay/OwnerPlacement.h"
#include "Relay/OwnerPools.h"
#include "Relay/OwnerPreopening.h"
#include "Relay/RelayServer.h"
#include "Relay/RelayTransport.h"
#include "Statements/EndpointLink.h"
#include "Statements/SessionValues.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct RelaySettings {
    /// Time limit for an owner to answer RelayOpen. It answers without a round trip to the endpoint; slow VMs take
    /// about 20 ms.
    Duration ownerTimeout = std::chrono::milliseconds(250);
    /// Number of owners that may fail to answer before the endpoint is considered unreachable.
    uint32_t maxSilentOwners = 2;
    /// Time during which an owner that did not answer is tried last. It doubles with each consecutive failure up to
    /// `maxSilentOwnerBackoff`.
    Duration silentOwnerBackoff = std::chrono::milliseconds(1000);
    /// Upper bound of `silentOwnerBackoff`.
    Duration maxSilentOwnerBackoff = std::chrono::seconds(16);
    ChannelScheduleSettings channels;
    /// Time limit for a channel that is opened ahead of traffic to be connected. A VM that cannot accept it within a
    /// few hundred round trips is tried again later.
    Duration channelConnectTimeout = std::chrono::milliseconds(1000);
    /// Time after the connection or the last message of an owner in which links through it are used without waiting
    /// for a confirmation.
    Duration recentAnswerTime = std::chrono::milliseconds(2000);
};

/// Sends this VM's statements to endpoints through the VMs that own the connections, and executes the statements of
/// other VMs on the endpoints that this VM owns. Used for endpoints that accept too few connections for every VM to
/// have its own.
class Relay : public EndpointConnector, private RelayTransportListener {
public:
    Relay(VmId selfVm, Timers&, EndpointConnector&, RelayTransport&, EndpointObserver&, PreparedStatementIds&,
        TrafficLog&, RelaySettings = {});
    ~Relay() override;

    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    void setDirectory(const std::shared_ptr<const Directory>&);
    void setMembers(std::vector<FleetMember>);

    /// Opens a link through an owner of the endpoint's connections. If an owner fails, the next one is tried, and
    /// finally a direct connection from this VM.
    std::shared_ptr<EndpointLink> connect(const LinkTarget&, LinkListener&) override;

    /// Rejects new links of other VMs and closes those without a batch or transaction in progress.
    void beginStop();

    /// Returns the number of links of other VMs with a batch or transaction in progress.
    size_t busyLinkCount() const { return this->server.busyLinkCount(); }

    /// Closes all connections to endpoints.
    void shutDown();

private:
    class Link;

    /// State of the connection to another VM.
    struct Owner {
        RelayChannel channel = 0; ///< 0 if none is open or being opened
        std::optional<Instant> connectedAt; ///< empty until the channel is connected
        std::optional<Timers::Handle> connectTimer; ///< set while a channel is opened ahead of traffic
        Instant lastMessageAt {};
        Instant deprioritisedUntil {};
        bool guardsBatches = false; ///< announced by the VM on the current channel
        Duration backoff {}; ///< current value of the back-off; 0 after a message from the VM
    };

    void onRelayMessage(RelayChannel, RelayMessage) override;
    void onRelayChannelConnected(RelayChannel) override;
    void onRelayChannelClosed(RelayChannel) override;

    void updateChannels();
    void scheduleChannels();
    void openChannelAhead(const std::string& address);
    void cancelConnectTimer(Owner&);
    void stopOpeningAhead();
    std::vector<FleetMember> candidates(const LinkTarget&) const;
    RelayChannel channelTo(const std::string& address);
    bool hasAnsweredRecently(const std::string& address) const;
    void closeSilentOwner(const std::string& address);
    std::shared_ptr<Link> findLink(RelayChannel, uint64_t link) const;

    VmId selfVm;
    Timers& timers;
    RelayTransport& transport;
    EndpointObserver& observer;
    PreparedStatementIds& numbers;
    TrafficLog& log;
    RelaySettings settings;
    OwnerPlacement placement;
    OwnerPools pools;
    OwnerPreopening preopening;
    RelayServer server;
    std::shared_ptr<const Directory> directory;
    std::map<std::string, Owner> owners; ///< by peer address
    std::map<RelayChannel, std::string> addresses; ///< peer addresses of the channels that this VM opened
    std::map<uint64_t, std::weak_ptr<Link>> links; ///< by link number
    uint64_t lastLinkNumber = 0;
    ChannelSchedule channelSchedule;
    std::optional<Timers::Handle> channelTimer;
    bool opensAhead = true; ///< false once the VM is stopping
};

} // namespace Lavendervane
