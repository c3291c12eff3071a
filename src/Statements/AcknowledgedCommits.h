#pragma once

#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "Promotion/CommitEvidence.h"
#include "Statements/FreshnessLog.h"

#include <cstdint>
#include <deque>

namespace Lavendervane {

/// Bounds of the position of the newest commit of a group that this VM has acknowledged.
class AcknowledgedCommits {
public:
    explicit AcknowledgedCommits(Instant start)
        : observedSince(start)
    {
    }

    /// The primary has answered with this end of its log.
    void recordAnswer(Instant received, const LogPosition&);

    /// A commit has been acknowledged. `sent` is the time at which it was sent, and `end` the end of the log in its
    /// answer; nothing if the answer does not tell it.
    void recordCommit(Instant sent, const std::optional<LogPosition>& end);

    CommitEvidence evidence(const FreshnessLog&, Instant now) const;

private:
    struct Answer {
        Instant received;
        uint64_t position;
    };

    Term term;
    std::deque<Answer> answers; ///< recent ones in `term`, in the order in which they were received
    LogPosition atLeast;
    LogPosition atMost;
    bool hasGap = false; ///< a commit was acknowledged at an unknown position
    Instant observedSince;
};

} // namespace Lavendervane
