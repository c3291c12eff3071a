#pragma once

#include "Configuration/Resources.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

/// All declared resources at one version of the configuration chain. Passed on as `shared_ptr<const Configuration>`.
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

    /// True if some route lets the organisation use the group in this way.
    bool allows(const OrganisationId&, const GroupId&, Access) const;

    /// Organisation as which requests without a key run at the group; empty if no open route allows it.
    std::optional<OrganisationId> anonymousOrganisation(const GroupId&, Access) const;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace Lavendervane
