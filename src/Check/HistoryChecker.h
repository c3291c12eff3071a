#pragma once

#include "Check/FinalContent.h"
#include "Check/Violation.h"
#include "History/History.h"

#include <vector>

namespace Lavendervane {

/// Checks the history against all rules and returns the violations. Throws Error (step "read history") if two writes
/// to one cell cannot be told apart, see WriteIndex.
std::vector<Violation> checkHistory(const History&, const FinalContent&);

} // namespace Lavendervane
