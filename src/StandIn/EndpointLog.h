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
    std::string idempotencyKey; ///< empty if the request had none
    std::string digest; ///< digest of the request
    Json results; ///< results returned to the client, recorded for a repeated idempotency key
    Instant created; ///< local time of the append or of the receipt; not replicated
};

Json toJson(const Term&);

/// Throws Error (step "parse term").
Term parseTerm(const Json&);

Json toJson(const LogEntry&);

/// Throws Error or nlohmann::json::exception.
LogEntry parseLogEntry(const Json&);

} // namespace Lavendervane::StandIn
