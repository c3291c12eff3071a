#pragma once

#include "Core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lavendervane {

enum class StatementKind {
    Begin, ///< begins a transaction that may write
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Reset, ///< discards the session values and prepared statements of an endpoint connection; never sent by callers
    Status, ///< asks an endpoint for its role and positions; never sent by callers
    StepDown, ///< tells a primary of a lower term to become a replica; never sent by callers
    Pause, ///< tells a replica to stop receiving commits; never sent by callers
    Resume, ///< ends a pause; never sent by callers
    Malformed,
};

/// Whether executing a prepared statement reads or writes.
enum class PreparedEffect {
    Read,
    Write,
};

/// A statement of a caller, or one that the proxy itself sends to an endpoint.
struct Statement {
    StatementKind kind = StatementKind::Malformed;
    /// Identifier assigned by the caller; empty for a statement of the proxy itself.
    std::string id;
    /// Read, Write: statement text as sent by the caller. SetValue: value. Prepare: statement text. Execute: item and
    /// data.
    std::string text;
    /// SetValue: name of the value. Prepare, Execute, Deallocate: name of the prepared statement.
    std::string name;
    PreparedEffect effect = PreparedEffect::Read; ///< used by Prepare only
    /// Used by statements of a guard: an answer of an endpoint that repeats answers ends the connection if it may be a
    /// repetition, so that no statement runs outside the transaction or without its session values.
    bool needsUniqueAnswer = false;
    /// StepDown: a primary of a lower term steps down. Pause: must be newer than any term known to the replica.
    uint64_t term = 0;
    /// If set, the endpoint refuses a read or the begin of a transaction unless its log holds this position.
    std::optional<LogPosition> requiredPosition;

    friend bool operator==(const Statement&, const Statement&) = default;
};

/// Returns true for the queries and commands of the proxy itself that endpoints answer with their status.
constexpr bool returnsStatus(StatementKind kind)
{
    return kind == StatementKind::Status || kind == StatementKind::StepDown || kind == StatementKind::Pause
        || kind == StatementKind::Resume;
}

/// Makes a statement of the proxy itself, without identifier and text.
inline Statement makeProxyStatement(StatementKind kind, uint64_t term = 0)
{
    Statement statement;
    statement.kind = kind;
    statement.term = term;
    return statement;
}

} // namespace Lavendervane
