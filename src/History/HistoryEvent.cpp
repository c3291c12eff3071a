#include "History/HistoryEvent.h"

#include "Core/Error.h"

namespace Lavendervane {

using Json = nlohmann::json;

static constexpr HistoryOperation operations[] = { HistoryOperation::Put, HistoryOperation::Append,
    HistoryOperation::Get, HistoryOperation::PutPair, HistoryOperation::GetPair };

std::string_view toString(HistoryOperation operation)
{
    switch (operation) {
    case HistoryOperation::Put:
        return "put";
    case HistoryOperation::Append:
        return "append";
    case HistoryOperation::Get:
        return "get";
    case HistoryOperation::PutPair:
        return "put_pair";
    case HistoryOperation::GetPair:
        break;
    }
    return "get_pair";
}

HistoryOperation parseOperation(std::string_view text)
{
    for (const HistoryOperation operation : operations) {
        if (text == toString(operation))
            return operation;
    }
    throw Error("parse operation", "", "unknown operation \"" + std::string(text) + "\"");
}

bool isWrite(HistoryOperation operation)
{
    return operation != HistoryOperation::Get && operation != HistoryOperation::GetPair;
}

std::vector<std::string> touchedKeys(HistoryOperation operation, const std::string& key)
{
    if (operation == HistoryOperation::PutPair || operation == HistoryOperation::GetPair)
        return { key + "/a", key + "/b" };
    return { key };
}

Json toJson(const HistoryEvent& event)
{
    return { { "kind", "request" }, { "start", event.start }, { "end", event.end }, { "session", event.session },
        { "organisation", event.organisation }, { "vm", event.vm }, { "group", event.group },
        { "operation", toString(event.operation) }, { "key", event.key }, { "value", event.value },
        { "idempotency_key", event.idempotencyKey }, { "attempt", event.attempt }, { "interactive", event.interactive },
        { "outcome", toString(event.outcome) }, { "code", event.code }, { "endpoint", event.endpoint },
        { "role", event.role }, { "position", event.position }, { "token", event.token },
        { "request_id", event.requestId }, { "results", event.results } };
}

HistoryEvent parseHistoryEvent(const Json& object)
{
    HistoryEvent event;
    event.start = object.at("start").get<int64_t>();
    event.end = object.at("end").get<int64_t>();
    event.session = object.at("session").get<std::string>();
    event.organisation = object.at("organisation").get<std::string>();
    event.vm = object.at("vm").get<std::string>();
    event.group = object.at("group").get<std::string>();
    event.operation = parseOperation(object.at("operation").get<std::string>());
    event.key = object.at("key").get<std::string>();
    event.value = object.value("value", "");
    event.idempotencyKey = object.value("idempotency_key", "");
    event.attempt = object.value("attempt", 1U);
    event.interactive = object.value("interactive", false);
    event.outcome = parseOutcome(object.at("outcome").get<std::string>());
    event.code = object.value("code", "");
    event.endpoint = object.value("endpoint", "");
    event.role = object.value("role", "");
    event.position = object.value("position", uint64_t { 0 });
    event.token = object.value("token", "");
    event.requestId = object.value("request_id", "");
    event.results = object.value("results", Json());
    if (event.end < event.start)
        throw Error("parse history", "", "a request ends before its start");
    return event;
}

std::string encodeListItem(const std::string& value) { return value + ";"; }

std::vector<std::string> splitList(const std::string& list)
{
    std::vector<std::string> items;
    size_t start = 0;
    for (size_t end = list.find(';'); end != std::string::npos; end = list.find(';', start)) {
        items.push_back(list.substr(start, end - start));
        start = end + 1;
    }
    if (start < list.size())
        items.push_back(list.substr(start));
    return items;
}

} // namespace Lavendervane
