#include "Fleet/RegistryFilter.h"

#include <tuple>
#include <utility>

namespace Lavendervane {

static auto age(const RegistryEntry& entry) { return std::make_tuple(entry.endpoint.startedAt, entry.sequence); }

// An entry that is newer than the known one was written after it, so only entries that are older, or of endpoints that
// this VM does not know, may describe the past.
bool RegistryFilter::isConfirmed(const RegistryEntry& entry, bool isRestored)
{
    const EndpointId& id = entry.endpoint.id;
    if (isRestored) {
        const auto earlier = this->known.find(id);
        if (earlier != this->known.end()
            && (earlier->second.endpoint == entry.endpoint || age(earlier->second) < age(entry)))
            return true;
        this->unconfirmed.insert_or_assign(id, entry);
        return false;
    }
    const auto restored = this->unconfirmed.find(id);
    if (restored == this->unconfirmed.end())
        return true;
    if (restored->second == entry)
        return false;
    this->unconfirmed.erase(restored);
    return true;
}

std::vector<RegisteredEndpoint> RegistryFilter::update(const RegistryRead& read)
{
    const uint64_t earlierGeneration = std::exchange(this->generation, read.generation);
    const bool isRestored = earlierGeneration && read.generation > earlierGeneration;
    if (isRestored)
        this->unconfirmed.clear();
    std::map<EndpointId, RegistryEntry> used;
    std::map<EndpointId, RegistryEntry> stillUnconfirmed;
    for (const RegistryEntry& entry : read.entries) {
        const EndpointId& id = entry.endpoint.id;
        const auto earlier = this->known.find(id);
        if (this->isConfirmed(entry, isRestored)) {
            used.insert_or_assign(id, entry);
            continue;
        }
        stillUnconfirmed.emplace(id, entry);
        if (earlier != this->known.end())
            used.insert(*earlier);
    }
    this->known = std::move(used);
    this->unconfirmed = std::move(stillUnconfirmed);
    std::vector<RegisteredEndpoint> endpoints;
    endpoints.reserve(this->known.size());
    for (const auto& [id, entry] : this->known)
        endpoints.push_back(entry.endpoint);
    return endpoints;
}

} // namespace Lavendervane
