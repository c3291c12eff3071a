#pragma once

#include "Runtime/Timers.h"

namespace Lavendervane {

/// Timers with a clock that the test advances.
class ManualTimers : public Timers {
public:
    Instant now() const override { return this->clock; }

    /// Advances the clock and runs due timers in order, each at the time at which it is due.
    void advance(Duration duration)
    {
        const Instant end = this->clock + duration;
        while (!this->empty() && this->earliest() <= end) {
            this->clock = std::max(this->clock, this->earliest());
            this->runDue(this->clock);
        }
        this->clock = end;
    }

private:
    void handleEarliestChanged() override { }

    Instant clock { std::chrono::seconds(1000) };
};

} // namespace Lavendervane
