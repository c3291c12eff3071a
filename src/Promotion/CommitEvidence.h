#pragma once

#include "Core/Instant.h"
#include "Core/LogPosition.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Lavendervane {

/// Every commit of a group that any VM acknowledged before a query was sent to the primary is at or below `position`.
struct CommitCoverage {
    LogPosition position;
    uint64_t ageMs = 0; ///< time since the query was sent

    friend bool operator==(const CommitCoverage&, const CommitCoverage&) = default;
};

/// What a VM knows of the acknowledged commits of a group with synchronous replication. An endpoint's answer to a
/// commit tells the end of its log, which may lie behind the commit itself. Positions are zero if nothing is known.
struct CommitEvidence {
    LogPosition atLeast; ///< a commit at this position or behind it has been acknowledged
    LogPosition atMost; ///< no commit behind it has been acknowledged by this VM
    std::optional<CommitCoverage> coverage; ///< the oldest one that the VM remembers
    uint64_t observedMs = 0; ///< time for which the VM has kept this knowledge; 0 if it has gaps

    friend bool operator==(const CommitEvidence&, const CommitEvidence&) = default;
};

/// Returns a position behind which no commit has been acknowledged, given the evidence of all VMs that may use the
/// primary, or nothing if an earlier run of one of them may have acknowledged more. `window` bounds the differences
/// between the times at which the evidence was given.
std::optional<LogPosition> lastAcknowledgedPosition(const std::vector<CommitEvidence>&, Duration window);

} // namespace Lavendervane
