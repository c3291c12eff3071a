#pragma once

#include "Runtime/Timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Lavendervane {

/// Timers of the thread that runs an io_context. A cancelled timer leaves the operating system's timer as it is, so
/// that timeouts which rarely fire cost no system call each.
class AsioTimers : public Timers {
public:
    explicit AsioTimers(boost::asio::io_context&);

    Instant now() const override;

private:
    void handleEarliestChanged() override;
    void handleTimerExpired();

    boost::asio::steady_timer timer;
    bool armed = false;
    Instant armedFor;
};

} // namespace Lavendervane
