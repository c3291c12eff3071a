#pragma once

#include "Core/Instant.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

using Json = nlohmann::json;

struct PlatformRow {
    uint64_t revision = 0; ///< revision of the transaction that wrote the row; 0 if the row is absent
    Json value;
};

/// Table, objects and VM list of the platform (docs/design.md, 6.3). Functions that take a request throw
/// nlohmann::json::exception if a field is missing or has the wrong type.
class PlatformState {
public:
    /// Returns the rows of the given keys, with revision 0 and a null value for absent keys.
    Json readRows(const Json& request) const;

    /// Returns up to `limit` rows with the given prefix, in key order and after the key `after`.
    Json scanRows(const Json& request) const;

    /// Applies the puts and deletes if all compared keys have the expected revisions, and otherwise changes nothing.
    /// Returns the written rows, or on a conflict the current rows of the compared keys.
    Json transact(const Json& request);

    void putObject(const std::string& name, std::string content);

    /// Returns null if the object is absent.
    const std::string* findObject(const std::string& name) const;

    void setVms(Json list, Instant now);

    /// Returns the VM list as it was `lag` before `now`.
    Json laggedVmList(Instant now, Duration lag) const;

private:
    Json rowJson(const std::string& key) const;

    struct VmList {
        Instant since; ///< time at which this list became the current one
        Json list;
    };

    std::map<std::string, PlatformRow> rows;
    uint64_t lastRevision = 0;
    std::map<std::string, std::string> objects;
    std::vector<VmList> vmLists;
};

} // namespace Lavendervane::StandIn
