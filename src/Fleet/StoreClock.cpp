#include "Fleet/StoreClock.h"

#include <algorithm>

namespace Lavendervane {

// Largest difference between the rates of the two clocks, in 1/1000.
static constexpr int64_t rateTolerance = 1;

// Readings that are further apart, in milliseconds, are not of one clock. The limit prevents an overflow.
static constexpr int64_t longestElapsedMs = 1'000'000'000'000;

// The store's clock reads whole milliseconds.
static constexpr Duration resolution = std::chrono::milliseconds(1);

// Returns the latest time of this VM's clock at which the store's clock has certainly not passed `reading` yet, as far
// as the reference tells.
static Instant extrapolate(const TableClock& reference, uint64_t milliseconds)
{
    const auto elapsedMs = static_cast<int64_t>(milliseconds - reference.milliseconds);
    const Duration elapsed = std::chrono::milliseconds(std::clamp(elapsedMs, -longestElapsedMs, longestElapsedMs));
    const Duration error = std::chrono::abs(elapsed) * rateTolerance / 1000 + resolution;
    return reference.sent + elapsed - error;
}

Instant StoreClock::earliestTimeOf(const TableClock& reading) const
{
    if (!this->reference)
        return reading.sent;
    return std::clamp(extrapolate(*this->reference, reading.milliseconds), reading.sent, reading.received);
}

std::optional<Instant> StoreClock::earliestTimeOf(uint64_t milliseconds) const
{
    if (!this->reference)
        return std::nullopt;
    return extrapolate(*this->reference, milliseconds);
}

void StoreClock::observe(const TableClock& reading)
{
    if (!reading.milliseconds)
        return;
    if (this->reference) {
        const Instant extrapolated = extrapolate(*this->reference, reading.milliseconds);
        // A time after the answer arrived shows that the store's clock has been set forward. Its readings before that
        // tell nothing about those after it.
        if (extrapolated > reading.sent && extrapolated <= reading.received)
            return;
    }
    this->reference = reading;
}

} // namespace Lavendervane
