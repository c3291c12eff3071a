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

/// Executes statements of other VMs on the endpoints whose connections this VM owns.
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

    /// Rejects new links and closes those without a batch or transaction in progress; the others close when they
    /// finish.
    void beginStop();

    /// Returns the number of links with a batch or transaction in progress.
    size_t busyLinkCount() const;

private:
    class RemoteLink;
    using LinkId = std::pair<RelayChannel, uint64_t>; ///< channel and the link number that the peer chose

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
