#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>

namespace Lavendervane::StandIn {

/// Limits the number of requests that run at the same time. Further requests queue in order, for a bounded time.
class SlotQueue {
public:
    SlotQueue(boost::asio::io_context&, uint32_t slots, std::chrono::milliseconds waitLimit);

    /// Calls back with true once a slot is acquired, possibly from within this call, or with false at the wait limit.
    void acquire(std::function<void(bool)>);

    /// Releases a slot and passes it to the first waiting request.
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
