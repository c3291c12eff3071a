#include "Statements/FreshnessLog.h"

#include <algorithm>

namespace Lavendervane {

// Entries closer together than this are merged, so a read may require a position that is up to this much newer than
// necessary.
static constexpr auto minEntrySpacing = std::chrono::milliseconds(20);
// Entries are kept for this long. No route in use allows a greater staleness.
static constexpr auto maxEntryAge = std::chrono::seconds(10);

void FreshnessLog::record(Instant queryTime, const LogPosition& position)
{
    if (!this->entries.empty()) {
        const Entry& last = this->entries.back();
        if (position.term < last.position.term)
            return; // answer of a previous primary that arrived after the change
        if (last.position.term < position.term)
            this->entries.clear();
        else if (queryTime <= last.queryTime)
            return;
    }
    while (!this->entries.empty() && this->entries.front().queryTime + maxEntryAge < queryTime)
        this->entries.pop_front();
    // Merges by replacing the last entry. The second to last entry is kept, so that the distance between neighbouring
    // entries stays bounded.
    if (this->entries.size() >= 2 && queryTime - this->entries[this->entries.size() - 2].queryTime < minEntrySpacing)
        this->entries.pop_back();
    this->entries.push_back({ queryTime, position });
}

std::optional<LogPosition> FreshnessLog::positionCovering(Instant since) const
{
    const auto found = std::lower_bound(this->entries.begin(), this->entries.end(), since,
        [](const Entry& entry, Instant instant) { return entry.queryTime < instant; });
    if (found == this->entries.end())
        return std::nullopt;
    return found->position;
}

std::optional<LogPosition> FreshnessLog::newestPosition() const
{
    if (this->entries.empty())
        return std::nullopt;
    return this->entries.back().position;
}

std::optional<FreshnessLog::Entry> FreshnessLog::oldest() const
{
    if (this->entries.empty())
        return std::nullopt;
    return this->entries.front();
}

std::optional<LogPosition> FreshnessLog::requiredPosition(
    Instant since, const std::optional<LogPosition>& sessionCommit) const
{
    auto position = this->positionCovering(since);
    if (position && sessionCommit && sessionCommit->term >= position->term)
        position = std::max(*position, *sessionCommit);
    return position;
}

} // namespace Lavendervane
