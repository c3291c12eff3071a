#pragma once

#include "Configuration/Resources.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// All declared resources at one version of the configuration chain. Shared as `shared_ptr<const Configuration>`.
struct Configuration {
    uint64_t version = 0;
    std::vector<DataCentre> dataCentres;
    std::map<OrganisationId, Organisation> organisations;
    std::map<KeyId, ApiKey> keys;
    std::map<GroupId, DatabaseGroup> groups;
    std::map<std::string, Route> routes;

    const Organisation* findOrganisation(const OrganisationId&) const;
    const ApiKey* findKey(const KeyId&) const;
    const DatabaseGroup* findGroup(const GroupId&) const;

    /// True if a route allows the organisation this access to the group.
    bool allows(const OrganisationId&, const GroupId&, Access) const;

    /// Returns the organisation as which requests without a key use the group; empty if no route with `openAs` allows
    /// this access.
    std::optional<OrganisationId> anonymousOrganisation(const GroupId&, Access) const;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace Lavendervane
