#pragma once

#include "Fleet/DirectoryFeed.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Lavendervane {

/// Keeps what this VM knows of the endpoints when the registry is restored from an older copy. Entries of the copy are
/// not used until their endpoints have renewed them: an entry may belong to an endpoint that has left, or show the role
/// or state that an endpoint had before.
class RegistryFilter {
public:
    /// Returns the endpoints to use after a read of the registry.
    std::vector<RegisteredEndpoint> update(const RegistryRead&);

    /// Number of entries that wait for their endpoints to renew them. A renewal that changes nothing else is seen only
    /// when the registry is read again.
    size_t unconfirmedCount() const { return this->unconfirmed.size(); }

private:
    bool isConfirmed(const RegistryEntry&, bool isRestored);

    uint64_t generation = 0;
    std::map<EndpointId, RegistryEntry> known; ///< entries in use
    std::map<EndpointId, RegistryEntry> unconfirmed; ///< entries that were restored from a copy
};

} // namespace Lavendervane
