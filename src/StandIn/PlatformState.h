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
    uint64_t revision = 0; ///< 0: absent
    Json value;
};

/// Table, objects and VM list of the platform (docs/design.md, 6.3). The request functions throw
/// nlohmann::json::exception for a request of the wrong form.
class PlatformState {
public:
    /// Absent keys are answered with revision 0.
    Json readRows(const Json& request) const;

    Json scanRows(const Json& request) const;

    /// Commits all or nothing. Answers with the written rows, or on a conflict with the current rows of the compared
    /// keys.
    Json transact(const Json& request);

    void putObject(const std::string& name, std::string content);

    /// Returns null if the object is absent.
    const std::string* findObject(const std::string& name) const;

    void setVms(Json list, Instant now);

    /// The VM list as it was `lag` ago.
    Json laggedVmList(Instant now, Duration lag) const;

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
