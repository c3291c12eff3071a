#pragma once

#include "Check/Violation.h"
#include "History/History.h"

#include <vector>

namespace Lavendervane {

/// Checks the rule "rate_exceeded": in any window of w seconds, at most burst + rate * w requests of an organisation
/// are admitted. The time of admission is only known to lie between the start and the end of a request, so a window
/// counts the requests that lie entirely within it. Only requests with the outcome done are known to have been
/// admitted. Takes O(n log n) time in the number of requests.
std::vector<Violation> checkRates(const History&);

} // namespace Lavendervane
