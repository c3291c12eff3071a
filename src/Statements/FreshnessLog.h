#pragma once

#include "Core/Instant.h"
#include "Core/LogPosition.h"

#include <deque>
#include <optional>

namespace Lavendervane {

/// What one VM knows about the end of a group's log. Each entry says: every commit acknowledged before `asked` stands
/// at or below `position`, because a primary answered with this position to a question sent at `asked`.
class FreshnessLog {
public:
    /// Records a primary's answer. `asked`: time at which the question was sent.
    void learn(Instant asked, const LogPosition&);

    /// Lowest known position that covers all commits acknowledged before `since`; empty if nothing is young enough.
    std::optional<LogPosition> covering(Instant since) const;

    /// Position of the newest answer.
    std::optional<LogPosition> newest() const;

    /// Position that a read must find: all commits acknowledged before `since`, and `own`, the session's last commit.
    /// An own commit of an earlier term is covered by any answer of a later one, or was rolled back.
    std::optional<LogPosition> required(Instant since, const std::optional<LogPosition>& own) const;

private:
    struct Entry {
        Instant asked;
        LogPosition position;
    };

    std::deque<Entry> entries; ///< in order of `asked`, all of one term
};

} // namespace Lavendervane
