#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace Lavendervane::StandIn {

/// Requests that wait until the log satisfies a condition.
class PositionWaiters {
public:
    explicit PositionWaiters(boost::asio::io_context&);

    /// Calls back once: with true when the condition holds, at once if it does already, or with false at the timeout.
    void wait(std::function<bool()> condition, std::chrono::milliseconds timeout, std::function<void(bool)>);

    /// Tests the conditions again; to be called after each change of the log.
    void recheckConditions();

private:
    struct Waiter {
        std::function<bool()> condition;
        std::function<void(bool)> callback;
        boost::asio::steady_timer timer;
    };

    boost::asio::io_context& context;
    std::list<std::shared_ptr<Waiter>> waiters;
};

} // namespace Lavendervane::StandIn
