#include "Relay/OwnerPools.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

OwnerPools::OwnerPools(Timers& timers, EndpointConnector& connector, EndpointObserver& observer)
    : timers(timers)
    , connector(connector)
    , observer(observer)
{
}

static const RegisteredEndpoint* findEndpoint(const Directory& directory, const EndpointId& id)
{
    const auto found = std::find_if(directory.endpoints().begin(), directory.endpoints().end(),
        [&id](const RegisteredEndpoint& endpoint) { return endpoint.id == id; });
    return found == directory.endpoints().end() ? nullptr : &*found;
}

uint32_t OwnerPools::connectionLimitOf(const RegisteredEndpoint& endpoint) const
{
    const GroupDeclaration* group = this->directory->findGroup(endpoint.group);
    return group ? this->connectionLimit(endpoint, group->connectionsPerEndpoint) : 1;
}

void OwnerPools::setDirectory(std::shared_ptr<const Directory> next, ConnectionLimit limit, ConnectionLimit share)
{
    this->directory = std::move(next);
    this->connectionLimit = std::move(limit);
    this->coldShare = std::move(share);
    for (auto entry = this->pools.begin(); entry != this->pools.end();) {
        EndpointPool& pool = *entry->second;
        const RegisteredEndpoint* present = findEndpoint(*this->directory, entry->first);
        if (present && present->isSameRun(pool.endpoint())) {
            pool.update(*present);
            this->updateLimitsOf(pool);
            ++entry;
        } else {
            pool.retire();
            entry = this->pools.erase(entry);
        }
    }
}

void OwnerPools::updateLimits()
{
    for (const auto& [id, pool] : this->pools)
        this->updateLimitsOf(*pool);
}

void OwnerPools::updateLimitsOf(EndpointPool& pool) const
{
    const RegisteredEndpoint& endpoint = pool.endpoint();
    pool.setConnectionLimit(this->connectionLimitOf(endpoint));
    const GroupDeclaration* group = this->directory->findGroup(endpoint.group);
    pool.setColdShare(
        group && group->coldRate ? std::optional(this->coldShare(endpoint, group->coldRate)) : std::nullopt);
}

std::shared_ptr<EndpointPool> OwnerPools::find(const EndpointId& id)
{
    if (const auto known = this->pools.find(id); known != this->pools.end())
        return known->second;
    const RegisteredEndpoint* endpoint = this->directory ? findEndpoint(*this->directory, id) : nullptr;
    if (!endpoint)
        return nullptr;
    EndpointPoolSettings settings;
    settings.boundsIdleTransactions = true;
    auto pool = std::make_shared<EndpointPool>(*endpoint, this->timers, this->connector, this->observer, settings);
    this->updateLimitsOf(*pool);
    this->pools.emplace(id, pool);
    return pool;
}

void OwnerPools::retireAll()
{
    for (const auto& [id, pool] : std::exchange(this->pools, {}))
        pool->retire();
    this->directory.reset();
}

} // namespace Lavendervane
