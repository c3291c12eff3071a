#include "StandIn/EndpointData.h"

#include "Core/Error.h"

#include <algorithm>
#include <utility>

namespace Lavendervane::StandIn {

template <typename Map>
static const auto* findForOrganisation(const Map& map, const std::string& organisation, const std::string& key)
{
    using Value = typename Map::mapped_type::mapped_type;
    const auto owner = map.find(organisation);
    if (owner == map.end())
        return static_cast<const Value*>(nullptr);
    const auto found = owner->second.find(key);
    return found == owner->second.end() ? nullptr : &found->second;
}

void EndpointData::apply(const LogEntry& entry, uint64_t position)
{
    auto& ownCells = this->cells[entry.organisation];
    for (const Statement& statement : entry.writes) {
        Cell& cell = ownCells[statement.key];
        // Appends in place: copying the string each time would make a series of appends quadratic in its length.
        if (statement.operation == Operation::Append && cell.value.is_string())
            cell.value.get_ref<std::string&>() += statement.value.get_ref<const std::string&>();
        else
            cell.value = valueAfter(statement, cell.value);
        cell.position = position;
    }
    if (!entry.idempotencyKey.empty())
        this->records[entry.organisation][entry.idempotencyKey] = { entry.digest, entry.results, position };
}

const Cell* EndpointData::find(const std::string& organisation, const std::string& key) const
{
    return findForOrganisation(this->cells, organisation, key);
}

const IdempotencyRecord* EndpointData::findRecord(
    const std::string& organisation, const std::string& idempotencyKey) const
{
    return findForOrganisation(this->records, organisation, idempotencyKey);
}

Json EndpointData::dumpData() const
{
    Json dump = Json::object();
    for (const auto& [organisation, ownCells] : this->cells) {
        for (const auto& [key, cell] : ownCells)
            dump[organisation][key] = cell.value;
    }
    return dump;
}

Json EndpointData::dumpRecords() const
{
    Json dump = Json::object();
    for (const auto& [organisation, ownRecords] : this->records) {
        for (const auto& [key, record] : ownRecords)
            dump[organisation][key] = { { "digest", record.digest }, { "position", record.position } };
    }
    return dump;
}

Transaction::Transaction(std::string organisation, Term term, uint64_t startPosition, bool mayWrite)
    : owner(std::move(organisation))
    , startTerm(std::move(term))
    , startPosition(startPosition)
    , writable(mayWrite)
{
}

Json& Transaction::load(const std::string& key, const EndpointData& data)
{
    const auto [entry, added] = this->values.try_emplace(key);
    if (added) {
        if (const Cell* cell = data.find(this->owner, key))
            entry->second = cell->value;
    }
    return entry->second;
}

Json Transaction::run(const std::vector<Statement>& statements, const EndpointData& data)
{
    Json results = Json::array();
    for (const Statement& statement : statements) {
        if (statement.isWrite() && !this->writable)
            throw Error("run statement", "", "write to \"" + statement.key + "\" in a request with access \"read\"");
        Json& value = this->load(statement.key, data);
        if (statement.operation == Operation::Get) {
            results.push_back({ { "value", value } });
            continue;
        }
        value = valueAfter(statement, value);
        this->pendingWrites.push_back(statement);
        if (statement.operation == Operation::Add)
            results.push_back({ { "value", value } });
        else
            results.push_back({ { "ok", true } });
    }
    return results;
}

bool Transaction::hasConflict(const EndpointData& data) const
{
    return std::any_of(this->values.begin(), this->values.end(), [&](const auto& entry) {
        const Cell* cell = data.find(this->owner, entry.first);
        return cell && cell->position > this->startPosition;
    });
}

} // namespace Lavendervane::StandIn
