#include "Check/WriteIndex.h"

#include "Core/Error.h"

#include <algorithm>

namespace Lavendervane {

const HistoryEvent* IndexedWrite::acknowledgedAttempt() const
{
    const auto found = std::find_if(this->attempts.begin(), this->attempts.end(),
        [](const HistoryEvent* attempt) { return attempt->outcome == Outcome::Done; });
    return found == this->attempts.end() ? nullptr : *found;
}

bool IndexedWrite::neverRun() const
{
    return std::all_of(this->attempts.begin(), this->attempts.end(),
        [](const HistoryEvent* attempt) { return attempt->outcome == Outcome::NotRun; });
}

std::vector<size_t> IndexedWrite::lines() const
{
    std::vector<size_t> lines;
    for (const HistoryEvent* attempt : this->attempts)
        lines.push_back(attempt->line);
    return lines;
}

std::vector<Cell> touchedCells(const HistoryEvent& event)
{
    std::vector<Cell> cells;
    for (std::string& key : touchedKeys(event.operation, event.key))
        cells.push_back({ event.group, event.organisation, std::move(key) });
    return cells;
}

WriteIndex::WriteIndex(const History& history)
{
    for (const HistoryEvent& event : history.events) {
        if (!isWrite(event.operation))
            continue;
        const auto cells = touchedCells(event);
        const auto [position, added] = this->byCell[cells.front()].try_emplace(event.value, this->allWrites.size());
        if (added) {
            this->allWrites.push_back({ { &event }, cells });
            for (const Cell& cell : cells)
                this->byCell[cell][event.value] = position->second;
            continue;
        }
        IndexedWrite& known = this->allWrites[position->second];
        if (known.first().idempotencyKey != event.idempotencyKey)
            throw Error("read history", "",
                "lines " + std::to_string(known.first().line) + " and " + std::to_string(event.line)
                    + " write the same value with different idempotency keys");
        known.attempts.push_back(&event);
    }
}

const IndexedWrite* WriteIndex::find(const Cell& cell, const std::string& value) const
{
    const auto values = this->byCell.find(cell);
    if (values == this->byCell.end())
        return nullptr;
    const auto found = values->second.find(value);
    return found == values->second.end() ? nullptr : &this->allWrites[found->second];
}

} // namespace Lavendervane
