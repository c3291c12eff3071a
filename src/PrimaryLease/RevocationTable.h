#pragma once

#include "Core/Instant.h"
#include "Fleet/Directory.h"
#include "PrimaryLease/PrimaryRevocation.h"

#include <map>
#include <vector>

namespace Lavendervane {

/// Newest known revocation of each group.
class RevocationTable {
public:
    /// Returns false if a revocation of the group with the same or a higher number is known.
    bool adopt(const PrimaryRevocation&, Instant now);

    bool isRevoked(const RegisteredEndpoint&) const;

    /// Revocations that were adopted less than `maxAge` ago, the most recent first, at most `limit`.
    std::vector<PrimaryRevocation> recent(Instant now, Duration maxAge, size_t limit) const;

private:
    struct Entry {
        PrimaryRevocation revocation;
        Instant adoptedAt;
    };

    std::map<GroupId, Entry> entries;
};

} // namespace Lavendervane
