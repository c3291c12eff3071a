#include "StandIn/Statement.h"

#include "Core/Error.h"

namespace Lavendervane::StandIn {

static Operation parseOperation(const std::string& text)
{
    if (text == "put")
        return Operation::Put;
    if (text == "get")
        return Operation::Get;
    if (text == "append")
        return Operation::Append;
    if (text == "add")
        return Operation::Add;
    throw Error("parse statement", "", "unknown op \"" + text + "\"");
}

static const char* toString(Operation operation)
{
    switch (operation) {
    case Operation::Put:
        return "put";
    case Operation::Get:
        return "get";
    case Operation::Append:
        return "append";
    case Operation::Add:
        break;
    }
    return "add";
}

static std::string parseText(const Json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        throw Error("parse statement", "", std::string("\"") + name + "\" must be a string");
    return found->get<std::string>();
}

static Json parseOperand(const Json& object, Operation operation)
{
    if (operation == Operation::Get)
        return {};
    const char* name = operation == Operation::Add ? "amount" : "value";
    const auto found = object.find(name);
    if (found == object.end())
        throw Error("parse statement", "", std::string("\"") + name + "\" is missing");
    if (operation == Operation::Append && !found->is_string())
        throw Error("parse statement", "", "\"value\" of an append must be a string");
    if (operation == Operation::Add && !found->is_number_integer())
        throw Error("parse statement", "", "\"amount\" must be an integer");
    return *found;
}

std::vector<Statement> parseStatements(const Json& list)
{
    if (!list.is_array())
        throw Error("parse statement", "", "\"statements\" must be a list");
    std::vector<Statement> statements;
    statements.reserve(list.size());
    for (const Json& object : list) {
        if (!object.is_object())
            throw Error("parse statement", "", "a statement must be an object");
        const Operation operation = parseOperation(parseText(object, "op"));
        statements.push_back({ operation, parseText(object, "key"), parseOperand(object, operation) });
    }
    return statements;
}

Json toJson(const Statement& statement)
{
    Json object { { "op", toString(statement.operation) }, { "key", statement.key } };
    if (statement.isWrite())
        object[statement.operation == Operation::Add ? "amount" : "value"] = statement.value;
    return object;
}

Json valueAfter(const Statement& statement, const Json& current)
{
    switch (statement.operation) {
    case Operation::Get:
        return current;
    case Operation::Put:
        return statement.value;
    case Operation::Append:
        if (!current.is_null() && !current.is_string())
            throw Error("run statement", "", "append to \"" + statement.key + "\", which is not a string");
        return (current.is_null() ? "" : current.get_ref<const std::string&>())
            + statement.value.get_ref<const std::string&>();
    case Operation::Add:
        break;
    }
    if (!current.is_null() && !current.is_number_integer())
        throw Error("run statement", "", "add to \"" + statement.key + "\", which is not an integer");
    return (current.is_null() ? 0 : current.get<int64_t>()) + statement.value.get<int64_t>();
}

} // namespace Lavendervane::StandIn
