#pragma once

#include "Core/Instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Lavendervane {

/// Clock and one-shot timers of one thread.
class Timers {
public:
    using Handle = std::pair<Instant, uint64_t>;

    virtual ~Timers() = default;

    virtual Instant now() const = 0;

    /// Calls `action` at or shortly after `when`.
    Handle schedule(Instant when, std::function<void()> action);

    /// Cancels the timer. Has no effect if it has fired.
    void cancel(const Handle&);

protected:
    /// Runs and removes all actions that are due.
    void runDue(Instant now);

    bool empty() const { return this->actions.empty(); }
    Instant earliest() const { return this->actions.begin()->first.first; }

    /// Called when a timer has been added that is due before all others.
    virtual void handleEarliestChanged() = 0;

private:
    std::map<Handle, std::function<void()>> actions;
    uint64_t lastNumber = 0;
};

} // namespace Lavendervane
