#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Lavendervane::StandIn {

using Json = nlohmann::json;

enum class Operation {
    Put,
    Get,
    Append,
    Add,
};

/// One statement. JSON forms: {"op":"put","key","value"}, {"op":"get","key"}, {"op":"append","key","value"} or
/// {"op":"add","key","amount"}.
struct Statement {
    Operation operation = Operation::Get;
    std::string key;
    Json value; ///< operand: any JSON for put, a string for append, an integer for add

    bool isWrite() const { return this->operation != Operation::Get; }
};

/// Throws Error (step "parse statement") with a message that names the invalid field.
std::vector<Statement> parseStatements(const Json&);

Json toJson(const Statement&);

/// Returns the value of a key after the statement. Throws Error (step "run statement") if the current value has the
/// wrong type for the operation.
Json valueAfter(const Statement&, const Json& current);

} // namespace Lavendervane::StandIn
