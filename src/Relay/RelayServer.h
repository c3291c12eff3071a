#pragma once

#include "Relay/OwnerPools.h"
#include "Relay/RelayTransport.h"
#include "Statements/SessionValues.h"
#include "Statements/TrafficLog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

namespace Lavendervane {

/// Carries statements of other VMs' callers to the endpoints that this VM owns.
class RelayServer {
public:
    RelayServer(Timers&, RelayTransport&, OwnerPools&, PreparedStatementIds&, TrafficLog&);
    ~RelayServer();

    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;

    void handleOpen(RelayChannel, const RelayOpen&);
    void handleBatch(RelayChannel, const RelayBatch&);
    void handleClose(RelayChannel, const RelayClose&);
    void handleChannelClosed(RelayChannel);

    /// Takes no new links and ends those without a transaction.
    void beginStop();

    /// Links with a batch or a transaction under way.
    size_t busyLinkCount() const;

private:
    class RemoteLink;
    using LinkId = std::pair<RelayChannel, uint64_t>;

    void removeRemoteLink(const LinkId&);

    Timers& timers;
    RelayTransport& transport;
    OwnerPools& pools;
    PreparedStatementIds& numbers;
    TrafficLog& log;
    std::map<LinkId, std::shared_ptr<RemoteLink>> remoteLinks;
    bool stopping = false;
};

} // namespace Lavendervane
