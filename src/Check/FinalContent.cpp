#include "Check/FinalContent.h"

#include "Core/Error.h"
#include "History/HistoryEvent.h"

#include <algorithm>

namespace Lavendervane {

using Json = nlohmann::json;

void FinalContent::add(const std::string& group, const Json& dump)
{
    try {
        const Json& term = dump.at("term");
        const std::tuple rank(
            term.at("counter").get<uint64_t>(), term.at("vm").get<std::string>(), dump.at("log").size());
        const auto known = this->newestDumps.find(group);
        if (known == this->newestDumps.end() || known->second.rank < rank)
            this->newestDumps[group] = { rank, dump };
    } catch (const Json::exception& error) {
        throw Error("read dump", group, error.what());
    }
}

void FinalContent::buildIndex()
{
    for (const auto& [group, member] : this->newestDumps) {
        try {
            for (const Json& entry : member.dump.at("log"))
                this->indexEntry(group, entry);
        } catch (const Json::exception& error) {
            throw Error("read dump", group, error.what());
        }
    }
}

void FinalContent::indexEntry(const std::string& group, const Json& entry)
{
    const auto position = entry.at("position").get<uint64_t>();
    for (const Json& statement : entry.at("statements")) {
        if (!statement.contains("value") || !statement["value"].is_string())
            continue;
        auto value = statement["value"].get<std::string>();
        if (statement.at("op") == "append" && value.ends_with(';'))
            value.pop_back();
        const Cell cell { group, entry.at("organisation").get<std::string>(), statement.at("key").get<std::string>() };
        this->writes[cell].emplace(value, position);
        auto& values = this->entries[{ group, position }];
        if (std::find(values.begin(), values.end(), value) == values.end())
            values.push_back(value);
    }
}

std::vector<uint64_t> FinalContent::positions(const Cell& cell, const std::string& value) const
{
    std::vector<uint64_t> found;
    if (const auto values = this->writes.find(cell); values != this->writes.end()) {
        const auto [begin, end] = values->second.equal_range(value);
        for (auto write = begin; write != end; ++write)
            found.push_back(write->second);
    }
    return found;
}

Json FinalContent::value(const Cell& cell) const
{
    const auto member = this->newestDumps.find(cell.group);
    if (member == this->newestDumps.end())
        return {};
    const Json& data = member->second.dump.at("data");
    const auto organisationData = data.find(cell.organisation);
    if (organisationData == data.end() || !organisationData->contains(cell.key))
        return {};
    return (*organisationData)[cell.key];
}

std::vector<std::string> FinalContent::valuesAt(const std::string& group, uint64_t position) const
{
    const auto found = this->entries.find({ group, position });
    return found == this->entries.end() ? std::vector<std::string> {} : found->second;
}

} // namespace Lavendervane
