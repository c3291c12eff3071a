#include "Runtime/AsioTimers.h"

#include "Runtime/BootTime.h"

#include <algorithm>

namespace Lavendervane {

// Least time between two wake-ups; timeouts may fire this much late.
static constexpr auto coarseness = std::chrono::milliseconds(2);

AsioTimers::AsioTimers(boost::asio::io_context& context)
    : timer(context)
{
}

Instant AsioTimers::now() const { return bootTimeNow(); }

void AsioTimers::handleEarliestChanged()
{
    if (this->empty() || (this->armed && this->armedFor <= this->earliest()))
        return;
    this->armed = true;
    this->armedFor = this->earliest();
    this->timer.expires_after(std::max<Duration>(this->armedFor - this->now(), coarseness));
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->handleTimerExpired();
    });
}

void AsioTimers::handleTimerExpired()
{
    this->armed = false;
    this->runDue(this->now());
    this->handleEarliestChanged();
}

} // namespace Lavendervane
