#include "Relay/ChannelSchedule.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

ChannelSchedule::ChannelSchedule(uint64_t seed, ChannelScheduleSettings settings)
    : random(seed)
    , settings(settings)
{
}

void ChannelSchedule::setOwners(const std::vector<std::vector<std::string>>& ownersByEndpoint, Instant now)
{
    size_t mostOwners = 0;
    for (const auto& owners : ownersByEndpoint)
        mostOwners = std::max(mostOwners, owners.size());
    std::map<std::string, Entry> next;
    for (size_t rank = 0; rank < mostOwners; ++rank) {
        for (const auto& owners : ownersByEndpoint) {
            if (rank >= owners.size() || next.size() >= this->settings.maxChannels || next.count(owners[rank]))
                continue;
            const auto known = this->entries.find(owners[rank]);
            next[owners[rank]] = known != this->entries.end()
                ? known->second
                : Entry { now + this->random.below(this->settings.spread), {} };
        }
    }
    this->entries = std::move(next);
}

void ChannelSchedule::recordConnected(const std::string& address)
{
    if (const auto entry = this->entries.find(address); entry != this->entries.end())
        entry->second.backoff = {};
}

// All VMs lose an owner at the same time, so the delay is drawn from an interval that is as long as itself.
void ChannelSchedule::recordClosed(const std::string& address, Instant now)
{
    const auto entry = this->entries.find(address);
    if (entry == this->entries.end())
        return;
    Duration& backoff = entry->second.backoff;
    backoff = std::clamp(2 * backoff, this->settings.minBackoff, this->settings.maxBackoff);
    entry->second.dueAt = now + backoff / 2 + this->random.below(backoff);
}

std::vector<std::string> ChannelSchedule::takeDue(Instant now)
{
    std::vector<std::string> due;
    for (auto& [address, entry] : this->entries) {
        if (!entry.dueAt || *entry.dueAt > now)
            continue;
        entry.dueAt.reset();
        due.push_back(address);
    }
    return due;
}

std::optional<Instant> ChannelSchedule::nextDue() const
{
    std::optional<Instant> next;
    for (const auto& [address, entry] : this->entries) {
        if (entry.dueAt && (!next || *entry.dueAt < *next))
            next = entry.dueAt;
    }
    return next;
}

} // namespace Lavendervane
