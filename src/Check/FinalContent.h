#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Lavendervane {

/// Key of an organisation in a group.
struct Cell {
    std::string group;
    std::string organisation;
    std::string key;

    friend auto operator<=>(const Cell&, const Cell&) = default;
};

/// One write of a value in the log of a group.
struct LoggedWrite {
    uint64_t position = 0;
    std::string value;
};

/// What the groups hold at the end of a run, taken from `GET /control/dump` of their endpoints.
class FinalContent {
public:
    /// Adds the dump of one member of a group. Of several members the one with the newest log counts. Throws Error
    /// (step "read dump").
    void add(const std::string& group, const nlohmann::json& dump);

    /// Builds the index; to be called once, after the last add.
    void buildIndex();

    bool hasGroup(const std::string& group) const { return this->newest.contains(group); }

    /// Positions at which the value was written to the cell, in order.
    std::vector<uint64_t> positions(const Cell&, const std::string& value) const;

    /// Current value; null if absent.
    nlohmann::json value(const Cell&) const;

    /// Distinct values written by the log entry at a position.
    std::vector<std::string> valuesAt(const std::string& group, uint64_t position) const;

private:
    struct Newest {
        std::tuple<uint64_t, std::string, size_t> rank; ///< last term, then length of the log
        nlohmann::json dump;
    };

    void index(const std::string& group, const nlohmann::json& entry);

    std::map<std::string, Newest> newest;
    std::map<Cell, std::multimap<std::string, uint64_t>> writes;
    std::map<std::pair<std::string, uint64_t>, std::vector<std::string>> entries;
};

} // namespace Lavendervane
