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
    const auto members = json.find("members");
    if (members != json.end() && members->is_object()) {
        for (const auto& [id, address] : members->items()) {
            if (address.is_string())
                record.members.emplace(id, address.get<std::string>());
        }
    }
    record.primary = EndpointId(textField(json, "primary").value_or(""));
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
        for (const auto& [id, address] : this->members)
            json["members"][id.str()] = address;
        json["primary"] = this->primary.str();
    }
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
