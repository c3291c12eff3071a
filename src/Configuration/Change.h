#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// Entry of the configuration chain that leads from version `previousVersion` to `version`.
struct Change {
    uint64_t version = 0;
    uint64_t previousVersion = 0;
    std::string id; ///< unique, so that a commit whose answer was lost can be recognised in the chain
    std::string author;
    std::string time; ///< RFC 3339, UTC

    std::vector<DataCentre> dataCentres; ///< replaces the list unless empty
    std::vector<Organisation> organisations; ///< added or replaced
    std::vector<ApiKey> keys; ///< added or replaced
    std::vector<DatabaseGroup> groups; ///< added or replaced
    std::vector<Route> routes; ///< added or replaced

    std::vector<OrganisationId> removedOrganisations;
    std::vector<KeyId> removedKeys;
    std::vector<GroupId> removedGroups;
    std::vector<std::string> removedRoutes;

    friend bool operator==(const Change&, const Change&) = default;
};

/// Returns the configuration after the change. Throws Error if the change is not based on the given version.
Configuration applyChange(const Configuration&, const Change&);

/// Returns the change that leads from `from` to `to`, without id, author and time. Keys are not compared.
Change makeChange(const Configuration& from, const Configuration& to);

/// Returns one line per added, replaced or removed resource, such as "organisation desk: replaced".
std::vector<std::string> summarise(const Change&, const Configuration& before);

/// Returns one line per resource in the change. Without the previous configuration, added and replaced resources are
/// both reported as "set".
std::vector<std::string> summarise(const Change&);

std::string toJson(const Change&);

/// Parses the JSON form of a change. Throws Error with the name of the invalid field.
Change parseChange(std::string_view json);

std::string toJson(const Configuration&);

/// Parses the JSON form of a configuration. Throws Error with the name of the invalid field.
Configuration parseConfiguration(std::string_view json);

} // namespace Lavendervane
