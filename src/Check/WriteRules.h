#pragma once

#include "Check/FinalContent.h"
#include "Check/Violation.h"
#include "Check/WriteIndex.h"

#include <vector>

namespace Lavendervane {

/// Checks the writes against the final content; writes to groups without final content are skipped:
/// - "lost_write": an acknowledged write is missing.
/// - "double_write": a write was applied more than once.
/// - "false_not_run": a write was applied although every attempt had the outcome not_run.
/// - "mixed_transaction": a transaction is split over log entries, or an entry holds writes of several requests.
std::vector<Violation> checkWrites(const WriteIndex&, const FinalContent&);

} // namespace Lavendervane
