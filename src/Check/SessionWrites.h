#pragma once

#include "Check/WriteIndex.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane {

/// Acknowledged writes, indexed by session and cell. Refers to the history, which must outlive the index.
class SessionWrites {
public:
    explicit SessionWrites(const WriteIndex&);

    /// Returns the writes to the cell by the session of the read that were acknowledged before the read started.
    std::vector<const HistoryEvent*> acknowledgedBefore(const HistoryEvent& read, const Cell&) const;

private:
    std::map<std::pair<std::string, Cell>, std::vector<const HistoryEvent*>> writes;
};

} // namespace Lavendervane
