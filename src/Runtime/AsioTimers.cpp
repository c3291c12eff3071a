#include "Runtime/AsioTimers.h"

#include "Runtime/BootTime.h"

#include <algorithm>

namespace Lavendervane {

// Minimum time between two wake-ups. Timeouts may fire this much too late.
static constexpr auto minimumWakeInterval = std::chrono::milliseconds(2);

AsioTimers::AsioTimers(boost::asio::io_context& context)
    : timer(context)
{
}

Instant AsioTimers::now() const { return bootTimeNow(); }

void AsioTimers::handleEarliestChanged()
{
    if (this->empty() || (this->isArmed && this->armedFor <= this->earliest()))
        return;
    this->isArmed = true;
    this->armedFor = this->earliest();
    this->timer.expires_after(std::max<Duration>(this->armedFor - this->now(), minimumWakeInterval));
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            this->handleTimerExpired();
    });
}

void AsioTimers::handleTimerExpired()
{
    this->isArmed = false;
    this->runDue(this->now());
    this->handleEarliestChanged();
}

} // namespace Lavendervane
