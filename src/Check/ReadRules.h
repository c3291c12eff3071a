#pragma once

#include "Check/FinalContent.h"
#include "Check/Violation.h"
#include "Check/WriteIndex.h"
#include "History/History.h"

#include <vector>

namespace Lavendervane {

/// Checks the results of the requests with outcome done:
/// - "crossed_answer": a response belongs to another request, or holds a value that was not written to the key.
/// - "mixed_transaction": a read of a pair returns different values for its two keys.
/// - "stale_read": a session does not read its own acknowledged write or a newer one.
/// - "vanished_read": a value that was read is missing from the final log; only checked for groups with final content.
std::vector<Violation> checkReads(const History&, const WriteIndex&, const FinalContent&);

} // namespace Lavendervane
