#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>

namespace Lavendervane::StandIn {

/// Limits the number of statements that run concurrently. Further statements wait in FIFO order for a bounded time.
class SlotQueue {
public:
    SlotQueue(boost::asio::io_context&, uint32_t slots, std::chrono::milliseconds waitLimit);

    /// Invokes the callback with true when a slot is acquired, possibly from within this call, or with false when the
    /// wait limit expires.
    void acquire(std::function<void(bool)>);

    /// Releases a slot obtained from acquire.
    void release();

    uint32_t busy() const { return this->taken; }
    size_t waiting() const { return this->queue.size(); }

private:
    struct Waiter {
        std::function<void(bool)> callback;
        std::chrono::steady_clock::time_point deadline;
    };

    void armTimer();

    uint32_t slots;
    std::chrono::milliseconds waitLimit;
    uint32_t taken = 0;
    std::list<Waiter> queue;
    boost::asio::steady_timer timer;
};

} // namespace Lavendervane::StandIn
