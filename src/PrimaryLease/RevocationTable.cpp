#include "PrimaryLease/RevocationTable.h"

#include <algorithm>

namespace Lavendervane {

bool RevocationTable::adopt(const PrimaryRevocation& revocation, Instant now)
{
    const auto known = this->entries.find(revocation.group);
    if (known != this->entries.end() && known->second.revocation.number >= revocation.number)
        return false;
    this->entries.insert_or_assign(revocation.group, Entry { revocation, now });
    return true;
}

bool RevocationTable::isRevoked(const RegisteredEndpoint& endpoint) const
{
    const auto known = this->entries.find(endpoint.group);
    return known != this->entries.end() && known->second.revocation.applies(endpoint.id, endpoint.address);
}

std::vector<PrimaryRevocation> RevocationTable::recent(Instant now, Duration maxAge, size_t limit) const
{
    std::vector<const Entry*> young;
    for (const auto& [group, entry] : this->entries) {
        if (now - entry.adoptedAt < maxAge)
            young.push_back(&entry);
    }
    std::sort(young.begin(), young.end(),
        [](const Entry* left, const Entry* right) { return left->adoptedAt > right->adoptedAt; });
    young.resize(std::min(young.size(), limit));
    std::vector<PrimaryRevocation> revocations;
    revocations.reserve(young.size());
    for (const Entry* entry : young)
        revocations.push_back(entry->revocation);
    return revocations;
}

} // namespace Lavendervane
