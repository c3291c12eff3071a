#include "Promotion/GroupRecord.h"

#include <nlohmann/json.hpp>

namespace Lavendervane {

using Json = nlohmann::json;

static uint64_t unsignedField(const Json& record, const char* name)
{
    const auto field = record.find(name);
    return field != record.end() && field->is_number_unsigned() ? field->get<uint64_t>() : 0;
}

static std::optional<std::string> textField(const Json& record, const char* name)
{
    const auto field = record.find(name);
    if (field == record.end() || !field->is_string())
        return std::nullopt;
    return field->get<std::string>();
}

std::string describe(const EndpointRun& run)
{
    return run.endpoint.str() + " (started at " + std::to_string(run.startedAt) + ")";
}

static std::map<EndpointRun, std::string> parseRuns(const Json& json)
{
    std::map<EndpointRun, std::string> runs;
    for (const Json& run : json) {
        if (run.is_array() && run.size() == 3 && run[0].is_string() && run[1].is_number_unsigned()
            && run[2].is_string())
            runs.emplace(EndpointRun { EndpointId(run[0].get<std::string>()), run[1].get<uint64_t>() },
                run[2].get<std::string>());
    }
    return runs;
}

static Json encodeRuns(const std::map<EndpointRun, std::string>& runs)
{
    Json json = Json::array();
    for (const auto& [run, address] : runs)
        json.push_back(Json::array({ run.endpoint.str(), run.startedAt, address }));
    return json;
}

// Older versions of the program write the addresses by endpoint only, and remove `runs` when they replace the row.
static std::map<EndpointRun, std::string> parseMembers(const Json& json)
{
    std::map<EndpointRun, std::string> members;
    if (const auto runs = json.find("runs"); runs != json.end() && runs->is_array())
        return parseRuns(*runs);
    if (const auto addresses = json.find("members"); addresses != json.end() && addresses->is_object()) {
        for (const auto& [id, address] : addresses->items()) {
            if (address.is_string())
                members.emplace(EndpointRun { EndpointId(id), 0 }, address.get<std::string>());
        }
    }
    return members;
}

GroupRecord GroupRecord::parse(const TableRow& row)
{
    GroupRecord record;
    const Json json = row.revision ? Json::parse(row.value, nullptr, false) : Json();
    if (!json.is_object())
        return record;
    record.holder = textField(json, "holder").value_or("");
    record.run = textField(json, "run").value_or("");
    record.until = unsignedField(json, "until");
    record.generation = unsignedField(json, "generation");
    if (const auto revoked = textField(json, "revoked"))
        record.revoked = EndpointId(*revoked);
    record.revokedAddress = textField(json, "revoked_address").value_or("");
    record.leadership = { unsignedField(json, "term"), EndpointId(textField(json, "promoted").value_or("")),
        unsignedField(json, "promoted_start") };
    record.members = parseMembers(json);
    record.primary = EndpointId(textField(json, "primary").value_or(""));
    if (const auto ended = json.find("ended"); ended != json.end() && ended->is_array())
        record.ended = parseRuns(*ended);
    return record;
}

std::string GroupRecord::encode() const
{
    Json json { { "holder", this->holder }, { "run", this->run }, { "until", this->until },
        { "generation", this->generation } };
    if (this->revoked) {
        json["revoked"] = this->revoked->str();
        json["revoked_address"] = this->revokedAddress;
    }
    if (this->leadership.term) {
        json["term"] = this->leadership.term;
        json["promoted"] = this->leadership.endpoint.str();
        json["promoted_start"] = this->leadership.startedAt;
    }
    if (!this->members.empty()) {
        json["members"] = Json::object();
        for (const auto& [run, address] : this->members)
            json["members"][run.endpoint.str()] = address;
        json["runs"] = encodeRuns(this->members);
        json["primary"] = this->primary.str();
    }
    if (!this->ended.empty())
        json["ended"] = encodeRuns(this->ended);
    return json.dump();
}

TableTransaction GroupRecord::replaceRow(const std::string& key, uint64_t revision, uint64_t tableGeneration) const
{
    TableTransaction transaction;
    transaction.generation = tableGeneration;
    transaction.conditions.push_back({ key, revision });
    transaction.writes.push_back({ key, this->encode() });
    return transaction;
}

} // namespace Lavendervane
