#pragma once

#include "Fleet/Directory.h"
#include "Statements/EndpointPool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Lavendervane {

/// Connection pools of the endpoints that this VM owns; they serve the statements of all VMs. A pool is created when it
/// is first used.
class OwnerPools {
public:
    OwnerPools(Timers&, EndpointConnector&, EndpointObserver&);

    /// Returns the maximum number of connections of this VM to the endpoint, which accepts `connections` in all.
    /// Also used for the requests a second that this VM may send to a slow endpoint.
    using ConnectionLimit = std::function<uint32_t(const RegisteredEndpoint&, uint32_t connections)>;

    /// Applies a new directory. Pools of endpoints that were removed or restarted are retired.
    void setDirectory(std::shared_ptr<const Directory>, ConnectionLimit, ConnectionLimit coldShare);

    /// Applies the limits again, after the owners of endpoints may have changed.
    void updateLimits();

    /// Returns the pool of the endpoint and creates it if necessary, or null if the directory has no such endpoint.
    std::shared_ptr<EndpointPool> find(const EndpointId&);

    /// Retires all pools and discards the directory, so that no new pools are created.
    void retireAll();

private:
    uint32_t connectionLimitOf(const RegisteredEndpoint&) const;
    void updateLimitsOf(EndpointPool&) const;

    Timers& timers;
    EndpointConnector& connector;
    EndpointObserver& observer;
    std::shared_ptr<const Directory> directory;
    ConnectionLimit connectionLimit;
    ConnectionLimit coldShare;
    std::map<EndpointId, std::shared_ptr<EndpointPool>> pools;
};

} // namespace Lavendervane
