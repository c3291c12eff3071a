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

/// One statement: {"op":"put","key","value"}, {"op":"get","key"}, {"op":"append","key","value"} or
/// {"op":"add","key","amount"}.
struct Statement {
    Operation operation = Operation::Get;
    std::string key;
    Json value; ///< operand: any JSON for put, a string for append, an integer for add

    bool writes() const { return this->operation != Operation::Get; }
};

/// Parses a list of statements. Throws Error (step "parse statement") that names the invalid part.
std::vector<Statement> parseStatements(const Json&);

Json toJson(const Statement&);

/// Returns the value of a key after the statement. Throws Error (step "run statement") if the operand does not fit the
/// value.
Json applyStatement(const Statement&, const Json& current);

} // namespace Lavendervane::StandIn
