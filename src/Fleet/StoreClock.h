#pragma once

#include "Fleet/TableStore.h"

#include <cstdint>
#include <optional>

namespace Lavendervane {

/// Converts readings of the store's clock to times of this VM's clock. Assumes that the clocks' rates differ by less
/// than 0.1%; clocks that are disciplined by NTP deviate by at most 0.05% each.
class StoreClock {
public:
    /// Takes account of a reading.
    void observe(const TableClock&);

    /// Returns a time of this VM's clock at or before the moment at which the store's clock was read, as late as is
    /// certain. Not earlier than `reading.sent` and not later than `reading.received`.
    Instant earliestTimeOf(const TableClock& reading) const;

    /// The same for a reading that another VM has taken. Returns nothing if this VM has taken none.
    std::optional<Instant> earliestTimeOf(uint64_t milliseconds) const;

private:
    std::optional<TableClock> reference; ///< reading that gives the latest certain time
};

} // namespace Lavendervane
