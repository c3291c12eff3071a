#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>

namespace Lavendervane::StandIn {

/// Holds requests that wait until the log satisfies a condition, for example until it reaches a position.
class PositionWaiters {
public:
    explicit PositionWaiters(boost::asio::io_context&);

    /// Calls back exactly once: with true as soon as the condition holds, possibly from within this call, or with false
    /// at the timeout.
    void wait(std::function<bool()> condition, std::chrono::milliseconds timeout, std::function<void(bool)>);

    /// Evaluates all conditions again. Must be called after each change of the log.
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
