#include "Check/HistoryChecker.h"

#include "Check/RateRule.h"
#include "Check/ReadRules.h"
#include "Check/WriteRules.h"

namespace Lavendervane {

std::vector<Violation> checkHistory(const History& history, const FinalContent& content)
{
    const WriteIndex index(history);
    std::vector<Violation> violations = checkWrites(index, content);
    for (const auto& found : { checkReads(history, index, content), checkRates(history) })
        violations.insert(violations.end(), found.begin(), found.end());
    return violations;
}

} // namespace Lavendervane
