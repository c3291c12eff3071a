#include "Statements/IdleTransactionBound.h"

#include <algorithm>

namespace Lavendervane {

// Half of fewer connections would leave a VM with a single transaction at a time.
static constexpr uint32_t minBoundedLimit = 4;

bool mayBeginTransaction(const HeldConnections& held, uint32_t connectionLimit)
{
    const size_t bound = connectionLimit / 2;
    if (connectionLimit < minBoundedLimit || held.total < bound)
        return true;
    const size_t share = std::max<size_t>(1, bound / std::max<size_t>(1, held.organisations));
    return held.ofOrganisation < share;
}

} // namespace Lavendervane
