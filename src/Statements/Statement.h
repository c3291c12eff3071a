#pragma once

#include "Core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lavendervane {

enum class StatementKind {
    Begin, ///< transaction that may write
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Reset, ///< drops values and prepared statements of an endpoint connection; never sent by callers
    Status, ///< asks an endpoint for its role and positions; never sent by callers
    StepDown, ///< makes a primary of a lower term a replica; never sent by callers
    Malformed,
};

/// What a prepared statement does when it is executed.
enum class PreparedEffect {
    Read,
    Write,
};

/// One statement of a caller, or one that the proxy sends to an endpoint.
struct Statement {
    StatementKind kind = StatementKind::Malformed;
    /// Identifier that the caller gave; empty for a statement of the proxy itself.
    std::string id;
    /// Read, Write: the text as the caller wrote it. SetValue: the value. Prepare: the shape. Execute: item and data.
    std::string text;
    /// SetValue: name of the value. Prepare, Execute, Deallocate: name of the prepared statement.
    std::string name;
    PreparedEffect effect = PreparedEffect::Read; ///< of Prepare
    uint64_t term = 0; ///< of StepDown
    /// The endpoint refuses a Read or a begin unless its log holds this position.
    std::optional<LogPosition> requiredPosition;

    friend bool operator==(const Statement&, const Statement&) = default;
};

/// Statement of the proxy itself without any text.
inline Statement makeProxyStatement(StatementKind kind)
{
    Statement statement;
    statement.kind = kind;
    return statement;
}

} // namespace Lavendervane
