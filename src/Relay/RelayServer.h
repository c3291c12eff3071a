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

    void opened(RelayChannel, const RelayOpen&);
    void batchReceived(RelayChannel, const RelayBatch&);
    void linkClosed(RelayChannel, const RelayClose&);
    void channelClosed(RelayChannel);

    /// Takes no new links and ends those without a transaction.
    void beginStop();

    /// Links with a batch or a transaction under way.
    size_t busyLinks() const;

private:
    class Guest;
    using Key = std::pair<RelayChannel, uint64_t>;

    void guestEnded(const Key&);

    Timers& timers;
    RelayTransport& transport;
    OwnerPools& pools;
    PreparedStatementIds& numbers;
    TrafficLog& log;
    std::map<Key, std::shared_ptr<Guest>> guests;
    bool stopping = false;
};

} // namespace Lavendervane
