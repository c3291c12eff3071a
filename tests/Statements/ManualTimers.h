#pragma once

#include "Runtime/Timers.h"

namespace Lavendervane {

/// Timers whose clock the test moves.
class ManualTimers : public Timers {
public:
    Instant now() const override { return this->clock; }

    /// Moves the clock step by step, so that timers see the time at which they are due.
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
    void earliestChanged() override { }

    Instant clock { std::chrono::seconds(1000) };
};

} // namespace Lavendervane
