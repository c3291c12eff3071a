#include "StandIn/EndpointLog.h"

#include "Core/Error.h"

namespace Lavendervane::StandIn {

Json toJson(const Term& term) { return { { "counter", term.counter }, { "vm", term.vm.str() } }; }

Term parseTerm(const Json& object)
{
    if (!object.is_object() || !object.contains("counter") || !object["counter"].is_number_unsigned()
        || !object.contains("vm") || !object["vm"].is_string())
        throw Error("parse term", "", "a term must be {\"counter\": number, \"vm\": string}");
    return { object["counter"].get<uint64_t>(), VmId(object["vm"].get<std::string>()) };
}

Json toJson(const LogEntry& entry)
{
    Json statements = Json::array();
    for (const Statement& statement : entry.writes)
        statements.push_back(toJson(statement));
    return { { "term", toJson(entry.term) }, { "organisation", entry.organisation },
        { "statements", std::move(statements) }, { "idempotency_key", entry.idempotencyKey },
        { "digest", entry.digest }, { "results", entry.results } };
}

LogEntry parseLogEntry(const Json& object)
{
    return { parseTerm(object.at("term")), object.at("organisation").get<std::string>(),
        parseStatements(object.at("statements")), object.at("idempotency_key").get<std::string>(),
        object.at("digest").get<std::string>(), object.at("results"), {} };
}

} // namespace Lavendervane::StandIn
