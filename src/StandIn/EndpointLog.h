#pragma once

#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "StandIn/Statement.h"

#include <string>
#include <vector>

namespace Lavendervane::StandIn {

/// One committed transaction. The first entry of a term, written at the promotion of its primary, has no statements.
struct LogEntry {
    Term term;
    std::string organisation;
    std::vector<Statement> writes;
    std::string idempotencyKey; ///< empty if the request had no idempotency key
    std::string digest; ///< request digest; detects reuse of the idempotency key by another request
    Json results; ///< results returned to the caller; returned again if the request is retried
    Instant created; ///< local time of creation at the primary or of receipt at a replica; not replicated
};

Json toJson(const Term&);

/// Parses a term. Throws Error (step "parse term").
Term parseTerm(const Json&);

Json toJson(const LogEntry&);

/// Parses a log entry. Throws Error or nlohmann::json::exception if the form is invalid.
LogEntry parseLogEntry(const Json&);

} // namespace Lavendervane::StandIn
