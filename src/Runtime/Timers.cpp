#include "Runtime/Timers.h"

namespace Lavendervane {

Timers::Handle Timers::schedule(Instant when, std::function<void()> action)
{
    const Handle handle { when, ++this->lastNumber };
    this->actions.emplace(handle, std::move(action));
    if (this->actions.begin()->first == handle)
        this->handleEarliestChanged();
    return handle;
}

void Timers::cancel(const Handle& handle) { this->actions.erase(handle); }

void Timers::runDue(Instant now)
{
    while (!this->actions.empty() && this->earliest() <= now) {
        auto node = this->actions.extract(this->actions.begin());
        node.mapped()();
    }
}

} // namespace Lavendervane
