#pragma once

#include "Runtime/Timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Lavendervane {

/// Timers on the thread that runs an io_context. Cancelling one does not change the operating system's timer, so that
/// timeouts which rarely fire do not cost a system call each.
class AsioTimers : public Timers {
public:
    explicit AsioTimers(boost::asio::io_context&);

    Instant now() const override;

private:
    void handleEarliestChanged() override;
    void handleTimerExpired();

    boost::asio::steady_timer timer;
    bool isArmed = false;
    Instant armedFor;
};

} // namespace Lavendervane
