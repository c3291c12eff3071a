#include "Fleet/Directory.h"

#include "Core/Rendezvous.h"
#include "Security/Digest.h"
#include "Statements/ColdStartLimiter.h"

#include <algorithm>

namespace Lavendervane {

template <typename Map, typename Key> static auto findIn(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

Directory::Directory(uint64_t number, std::shared_ptr<const SessionConfiguration> configuration,
    std::vector<RegisteredEndpoint> endpoints, FleetPosition position, std::string digestKey)
    : directoryNumber(number)
    , sessionConfiguration(std::move(configuration))
    , registeredEndpoints(std::move(endpoints))
    , position(position)
    , digestKey(std::move(digestKey))
{
    for (const SessionRoute& route : this->sessionConfiguration->routes)
        this->routes.emplace(route.database, &route);
    for (const SessionOrganisation& organisation : this->sessionConfiguration->organisations) {
        for (const std::string& key : organisation.keys)
            this->organisations.emplace(this->keyDigest(key), &organisation);
    }
    for (const GroupDeclaration& group : this->sessionConfiguration->groups)
        this->groups.emplace(group.name, &group);
}

const SessionRoute* Directory::findRoute(const std::string& database) const { return findIn(this->routes, database); }

std::string Directory::keyDigest(const std::string& key) const { return keyedDigest(this->digestKey, key); }

const SessionOrganisation* Directory::findOrganisation(const std::string& digest) const
{
    return findIn(this->organisations, digest);
}

// VMs take turns: which of them comes first differs between endpoints.
static uint64_t rankFor(const RegisteredEndpoint& endpoint, const FleetPosition& position)
{
    return (position.index + stableHash(endpoint.id.str())) % std::max(1U, position.count);
}

uint32_t Directory::connectionQuota(const RegisteredEndpoint& endpoint) const
{
    const GroupDeclaration* group = this->findGroup(endpoint.group);
    if (!group)
        return 1;
    const uint32_t vms = std::max(1U, this->position.count);
    const uint64_t offset = rankFor(endpoint, this->position);
    const uint32_t extra = offset < group->connectionsPerEndpoint % vms ? 1 : 0;
    return std::max(1U, group->connectionsPerEndpoint / vms + extra);
}

std::optional<uint32_t> Directory::coldShare(const RegisteredEndpoint& endpoint) const
{
    const GroupDeclaration* group = this->findGroup(endpoint.group);
    if (!group || !group->coldRate)
        return std::nullopt;
    return ColdStartLimiter::share(
        group->coldRate, rankFor(endpoint, this->position), std::max(1U, this->position.count));
}

// Minimum number of connections per VM for direct use of an endpoint. A connection serves one organisation. A VM with
// fewer connections than active organisations opens a new connection for most statements, which occupies a slot of the
// endpoint for as long as the statement itself. Deployments have at least 8 organisations.
static constexpr uint32_t minDirectConnectionsPerVm = 8;

bool Directory::isRelayed(const RegisteredEndpoint& endpoint) const
{
    const GroupDeclaration* group = this->findGroup(endpoint.group);
    return group && this->position.count > 1
        && group->connectionsPerEndpoint < minDirectConnectionsPerVm * this->position.count;
}

const GroupDeclaration* Directory::findGroup(const GroupId& name) const { return findIn(this->groups, name); }

} // namespace Lavendervane
