#include "Statements/FreshnessLog.h"

#include <algorithm>

namespace Lavendervane {

// Entries closer together than this are merged; a read then asks for a position that is at most this much newer.
static constexpr auto spacing = std::chrono::milliseconds(20);
// Longest staleness that entries are kept for; older ones serve no route in use.
static constexpr auto horizon = std::chrono::seconds(10);

void FreshnessLog::learn(Instant asked, const LogPosition& position)
{
    if (!this->entries.empty()) {
        const Entry& last = this->entries.back();
        if (position.term < last.position.term)
            return; // the answer crossed a change of primary
        if (last.position.term < position.term)
            this->entries.clear();
        else if (asked <= last.asked)
            return;
    }
    while (!this->entries.empty() && this->entries.front().asked + horizon < asked)
        this->entries.pop_front();
    // The second to last entry stays, so that the merged one never drifts away from its neighbours.
    if (this->entries.size() >= 2 && asked - this->entries[this->entries.size() - 2].asked < spacing)
        this->entries.pop_back();
    this->entries.push_back({ asked, position });
}

std::optional<LogPosition> FreshnessLog::covering(Instant since) const
{
    const auto found = std::lower_bound(this->entries.begin(), this->entries.end(), since,
        [](const Entry& entry, Instant instant) { return entry.asked < instant; });
    if (found == this->entries.end())
        return std::nullopt;
    return found->position;
}

std::optional<LogPosition> FreshnessLog::newest() const
{
    if (this->entries.empty())
        return std::nullopt;
    return this->entries.back().position;
}

std::optional<LogPosition> FreshnessLog::required(Instant since, const std::optional<LogPosition>& own) const
{
    auto position = this->covering(since);
    if (position && own && own->term >= position->term)
        position = std::max(*position, *own);
    return position;
}

} // namespace Lavendervane
