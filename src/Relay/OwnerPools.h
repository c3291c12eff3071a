#pragma once

#include "Fleet/Directory.h"
#include "Statements/EndpointPool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Lavendervane {

/// Connections that this VM holds for all VMs, to the endpoints that it owns. A pool is made when it is first asked
/// for.
class OwnerPools {
public:
    OwnerPools(Timers&, EndpointConnector&, EndpointObserver&);

    /// Takes over the endpoints. `connectionLimit`: connections that an owner may have, by the connections of the
    /// endpoint. Pools of endpoints that left or started again are retired.
    void setDirectory(std::shared_ptr<const Directory>, std::function<uint32_t(uint32_t connections)> connectionLimit);

    /// Null if the directory has no such endpoint.
    std::shared_ptr<EndpointPool> find(const EndpointId&);

    void retireAll();

private:
    uint32_t connectionLimitOf(const RegisteredEndpoint&) const;

    Timers& timers;
    EndpointConnector& connector;
    EndpointObserver& observer;
    std::shared_ptr<const Directory> directory;
    std::function<uint32_t(uint32_t)> connectionLimit;
    std::map<EndpointId, std::shared_ptr<EndpointPool>> pools;
};

} // namespace Lavendervane
