#pragma once

#include <cstddef>
#include <cstdint>

namespace Lavendervane {

/// Connections of a pool that are held by transactions whose caller is idle, or that are about to begin.
struct HeldConnections {
    size_t total = 0;
    size_t ofOrganisation = 0; ///< those of the organisation that asks for another one
    size_t organisations = 1; ///< organisations that hold any, with the one that asks

    friend bool operator==(const HeldConnections&, const HeldConnections&) = default;
};

/// Decides whether a transaction may begin on a pool of `connectionLimit` connections. Half of the connections can be
/// held by any organisations. Beyond that, an organisation may begin one only while it holds less than its even share
/// of that half. Designed for callers that pause for seconds inside transactions while the statements of others need
/// the connections.
bool mayBeginTransaction(const HeldConnections&, uint32_t connectionLimit);

} // namespace Lavendervane
