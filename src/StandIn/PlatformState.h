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

/// One row of the table.
struct PlatformRow {
    uint64_t revision = 0; ///< 0 if the row is absent
    Json value;
};

/// Table, objects and VM list of the platform (docs/design.md, 6.3). The request functions throw
/// nlohmann::json::exception for a request of the wrong form.
class PlatformState {
public:
    /// Returns the rows of the requested keys. An absent key has revision 0.
    Json read(const Json& request) const;

    /// Returns the rows whose keys start with the requested prefix, at most as many as the requested limit.
    Json scan(const Json& request) const;

    /// Commits all writes or none. Returns the written rows, or on a conflict the current rows of the compared keys.
    Json transact(const Json& request);

    void putObject(const std::string& name, std::string content);

    /// Returns null if the object is absent.
    const std::string* findObject(const std::string& name) const;

    void setVms(Json list, Instant now);

    /// Returns the VM list as it was `lag` ago.
    Json vms(Instant now, Duration lag) const;

private:
    Json rowJson(const std::string& key) const;

    struct VmList {
        Instant since;
        Json list;
    };

    std::map<std::string, PlatformRow> rows;
    uint64_t lastRevision = 0;
    std::map<std::string, std::string> objects;
    std::vector<VmList> vmLists;
};

} // namespace Lavendervane::StandIn
