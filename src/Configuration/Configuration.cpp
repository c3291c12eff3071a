#include "Configuration/Configuration.h"

#include "Core/Error.h"

namespace Lavendervane {

bool Endpoint::isLeaving() const
{
    const auto found = this->labels.find("leaving");
    return found != this->labels.end() && found->second == "true";
}

std::string_view toString(Access access) { return access == Access::Read ? "read" : "write"; }

Access parseAccess(std::string_view text)
{
    if (text == "read")
        return Access::Read;
    if (text == "write")
        return Access::Write;
    throw Error("parse access", "", "expected \"read\" or \"write\", found \"" + std::string(text) + "\"");
}

template <typename Map, typename Key> static const typename Map::mapped_type* find(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

const Organisation* Configuration::findOrganisation(const OrganisationId& name) const
{
    return find(this->organisations, name);
}

const ApiKey* Configuration::findKey(const KeyId& id) const { return find(this->keys, id); }

const DatabaseGroup* Configuration::findGroup(const GroupId& name) const { return find(this->groups, name); }

static bool permits(const Route& route, const DatabaseGroup& group, Access access)
{
    return (access == Access::Read || route.access == Access::Write) && route.groups.matches(group.labels);
}

bool Configuration::allows(const OrganisationId& organisationName, const GroupId& groupName, Access access) const
{
    const Organisation* organisation = this->findOrganisation(organisationName);
    const DatabaseGroup* group = this->findGroup(groupName);
    if (!organisation || !group)
        return false;
    for (const auto& [name, route] : this->routes) {
        if (permits(route, *group, access) && route.organisations.matches(organisation->labels))
            return true;
    }
    return false;
}

std::optional<OrganisationId> Configuration::anonymousOrganisation(const GroupId& groupName, Access access) const
{
    const DatabaseGroup* group = this->findGroup(groupName);
    if (!group)
        return std::nullopt;
    for (const auto& [name, route] : this->routes) {
        if (!route.openAs.empty() && permits(route, *group, access))
            return route.openAs;
    }
    return std::nullopt;
}

} // namespace Lavendervane
