#include "Promotion/CommitEvidence.h"

#include <algorithm>

namespace Lavendervane {

// VMs that have ended stay on the list of VMs for several minutes, and their evidence is missing then. Those that are
// not listed any more acknowledged nothing after a query that is younger than this.
static constexpr uint64_t maxCoverageAgeMs = 120'000;

std::optional<LogPosition> lastAcknowledgedPosition(const std::vector<CommitEvidence>& evidence, Duration window)
{
    const auto windowMs = static_cast<uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(window).count());
    std::optional<uint64_t> youngest;
    LogPosition last;
    for (const CommitEvidence& vm : evidence) {
        last = std::max(last, vm.atMost);
        if (vm.coverage) {
            last = std::max(last, vm.coverage->position);
            youngest = std::min(youngest.value_or(vm.coverage->ageMs), vm.coverage->ageMs);
        }
    }
    if (!youngest || *youngest > maxCoverageAgeMs)
        return std::nullopt;
    // The earlier run of a VM had ended before any query that was sent after the VM started.
    const bool coversEarlierRuns = std::all_of(evidence.begin(), evidence.end(), [&](const CommitEvidence& vm) {
        return vm.observedMs && (vm.coverage || *youngest + windowMs < vm.observedMs);
    });
    return coversEarlierRuns ? std::optional(last) : std::nullopt;
}

} // namespace Lavendervane
