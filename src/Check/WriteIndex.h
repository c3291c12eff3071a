#pragma once

#include "Check/FinalContent.h"
#include "History/History.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// A write request with all its attempts, which share the value and the idempotency key.
struct IndexedWrite {
    std::vector<const HistoryEvent*> attempts;
    std::vector<Cell> cells;

    const HistoryEvent& first() const { return *this->attempts.front(); }

    /// First attempt with the outcome done; null if there is none.
    const HistoryEvent* acknowledgedAttempt() const;

    /// True if every attempt had the outcome not_run.
    bool neverRun() const;

    /// Line numbers of the attempts in the history file.
    std::vector<size_t> lines() const;
};

/// Index of the writes in a history by cell and value. The history must outlive the index.
class WriteIndex {
public:
    /// Throws Error (step "read history") if two writes to a cell have the same value and different idempotency keys,
    /// because a value that is read could not be traced to one request.
    explicit WriteIndex(const History&);

    const std::vector<IndexedWrite>& writes() const { return this->allWrites; }

    /// Returns the write of the value to the cell; null if no request wrote the value to the cell.
    const IndexedWrite* find(const Cell&, const std::string& value) const;

private:
    std::vector<IndexedWrite> allWrites;
    std::map<Cell, std::unordered_map<std::string, size_t>> byCell; ///< indices into allWrites by value
};

/// Cells that the request reads or writes.
std::vector<Cell> touchedCells(const HistoryEvent&);

} // namespace Lavendervane
