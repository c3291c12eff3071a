#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Lavendervane {

/// Identifies one stored value: a key of an organisation in a database group.
struct Cell {
    std::string group;
    std::string organisation;
    std::string key;

    friend auto operator<=>(const Cell&, const Cell&) = default;
};

/// A value that the log of a group writes, with the position of its log entry.
struct LoggedWrite {
    uint64_t position = 0;
    std::string value;
};

/// Log and data of the database groups at the end of a run, taken from `GET /control/dump` of their endpoints.
class FinalContent {
public:
    /// Adds the dump of one member of a group. Of several members only the one with the newest log is kept: the
    /// highest term, then the longest log. Throws Error (step "read dump").
    void add(const std::string& group, const nlohmann::json& dump);

    /// Indexes the kept logs. Call once, after the last add() and before the queries. Throws Error (step "read dump").
    void buildIndex();

    bool hasGroup(const std::string& group) const { return this->newestDumps.contains(group); }

    /// Log positions at which the value was written to the cell, in ascending order.
    std::vector<uint64_t> positions(const Cell&, const std::string& value) const;

    /// Value of the cell in the data of the kept dump; null if absent.
    nlohmann::json value(const Cell&) const;

    /// Distinct values that the log entry at a position writes.
    std::vector<std::string> valuesAt(const std::string& group, uint64_t position) const;

private:
    struct MemberDump {
        std::tuple<uint64_t, std::string, size_t> rank; ///< counter and VM of the term, then length of the log
        nlohmann::json dump;
    };

    void indexEntry(const std::string& group, const nlohmann::json& entry);

    std::map<std::string, MemberDump> newestDumps; ///< by group
    std::map<Cell, std::multimap<std::string, uint64_t>> writes; ///< log positions by value, for each cell
    std::map<std::pair<std::string, uint64_t>, std::vector<std::string>>
        entries; ///< distinct values by group and log position
};

} // namespace Lavendervane
