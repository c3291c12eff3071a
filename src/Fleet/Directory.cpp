#include "Fleet/Directory.h"

#include "Security/Digest.h"

#include <algorithm>

namespace Lavendervane {

template <typename Map, typename Key> static auto findIn(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

Directory::Directory(uint64_t number, std::shared_ptr<const SessionConfiguration> configuration,
    std::vector<RegisteredEndpoint> endpoints, uint32_t vmCount, std::string digestKey)
    : serial(number)
    , declared(std::move(configuration))
    , registered(std::move(endpoints))
    , vms(std::max(1U, vmCount))
    , digestKey(std::move(digestKey))
{
    for (const SessionRoute& route : this->declared->routes)
        this->routes.emplace(route.database, &route);
    for (const SessionOrganisation& organisation : this->declared->organisations) {
        for (const std::string& key : organisation.keys)
            this->organisations.emplace(this->keyDigest(key), &organisation);
    }
    for (const GroupDeclaration& group : this->declared->groups)
        this->groups.emplace(group.name, &group);
}

const SessionRoute* Directory::findRoute(const std::string& database) const { return findIn(this->routes, database); }

std::string Directory::keyDigest(const std::string& key) const { return keyedDigest(this->digestKey, key); }

const SessionOrganisation* Directory::findOrganisation(const std::string& digest) const
{
    return findIn(this->organisations, digest);
}

const GroupDeclaration* Directory::findGroup(const GroupId& name) const { return findIn(this->groups, name); }

} // namespace Lavendervane
