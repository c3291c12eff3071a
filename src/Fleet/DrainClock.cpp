#include "Fleet/DrainClock.h"

namespace Lavendervane {

// Time for which a draining endpoint that has vanished from the registry is remembered. Its entry may lapse and be
// written again, while the store is away for example, and its drain time goes on meanwhile.
static constexpr Duration retention = std::chrono::minutes(2);

DrainClock::DrainClock(Duration workTime)
    : workTime(workTime)
{
}

std::vector<EndpointId> DrainClock::update(
    const std::vector<RegisteredEndpoint>& endpoints, const std::map<EndpointId, Instant>& earliestChanges, Instant now)
{
    std::vector<EndpointId> added;
    for (const RegisteredEndpoint& endpoint : endpoints) {
        if (!endpoint.draining) {
            if (this->findRecord(endpoint))
                this->records.erase(endpoint.id);
            continue;
        }
        if (!this->findRecord(endpoint)) {
            Record record { endpoint.startedAt, std::nullopt, now };
            if (const auto change = earliestChanges.find(endpoint.id); change != earliestChanges.end())
                record.earliestStart = change->second;
            this->records.insert_or_assign(endpoint.id, record);
            added.push_back(endpoint.id);
        }
        this->records.at(endpoint.id).lastSeen = now;
    }
    std::erase_if(this->records, [now](const auto& entry) { return now - entry.second.lastSeen > retention; });
    return added;
}

const DrainClock::Record* DrainClock::findRecord(const RegisteredEndpoint& endpoint) const
{
    const auto found = this->records.find(endpoint.id);
    return found != this->records.end() && found->second.startedAt == endpoint.startedAt ? &found->second : nullptr;
}

std::optional<Instant> DrainClock::earliestStart(const RegisteredEndpoint& endpoint) const
{
    const Record* record = endpoint.draining ? this->findRecord(endpoint) : nullptr;
    return record ? record->earliestStart : std::nullopt;
}

std::optional<Instant> DrainClock::workEnd(const RegisteredEndpoint& endpoint) const
{
    if (!endpoint.draining)
        return std::nullopt;
    const auto start = this->earliestStart(endpoint);
    return start ? *start + this->workTime : Instant::min();
}

} // namespace Lavendervane
