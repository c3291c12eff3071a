#pragma once

#include "Core/Instant.h"
#include "Core/LogPosition.h"

#include <deque>
#include <optional>

namespace Lavendervane {

/// Lower bounds of the end of a group's log over time, as known to one VM. Each entry states that every commit
/// acknowledged before `queryTime` is at or below `position`, because the primary reported this position in answer to a
/// query sent at `queryTime`.
class FreshnessLog {
public:
    struct Entry {
        Instant queryTime;
        LogPosition position;
    };

    /// Records the log position in a primary's answer. `queryTime` is the time at which the query was sent.
    void record(Instant queryTime, const LogPosition&);

    /// Lowest known position that covers all commits acknowledged before `since`. Returns nullopt if no query was sent
    /// at or after `since`.
    std::optional<LogPosition> positionCovering(Instant since) const;

    /// Position in the answer to the most recent query.
    std::optional<LogPosition> newestPosition() const;

    /// The oldest entry that is kept.
    std::optional<Entry> oldest() const;

    /// Position that an endpoint must hold to serve a read that must see all commits acknowledged before `since` and
    /// the session's last commit `sessionCommit`. A session commit of an earlier term is ignored: it either is covered
    /// by any answer of the later term or was rolled back.
    std::optional<LogPosition> requiredPosition(Instant since, const std::optional<LogPosition>& sessionCommit) const;

private:
    std::deque<Entry> entries; ///< in order of `queryTime`, all of the same term
};

} // namespace Lavendervane
