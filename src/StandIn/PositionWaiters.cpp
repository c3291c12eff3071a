#include "StandIn/PositionWaiters.h"

#include <utility>
#include <vector>

namespace Lavendervane::StandIn {

PositionWaiters::PositionWaiters(boost::asio::io_context& context)
    : context(context)
{
}

void PositionWaiters::wait(
    std::function<bool()> condition, std::chrono::milliseconds timeout, std::function<void(bool)> callback)
{
    if (condition()) {
        callback(true);
        return;
    }
    auto waiter = std::make_shared<Waiter>(
        Waiter { std::move(condition), std::move(callback), boost::asio::steady_timer(this->context, timeout) });
    this->waiters.push_back(waiter);
    waiter->timer.async_wait([this, waiter](boost::system::error_code error) {
        if (error || !waiter->callback)
            return;
        this->waiters.remove(waiter);
        std::exchange(waiter->callback, nullptr)(false);
    });
}

void PositionWaiters::recheckConditions()
{
    // Callbacks run after the iteration, because a callback may add a waiter to the list.
    std::vector<std::shared_ptr<Waiter>> satisfied;
    this->waiters.remove_if([&](const auto& waiter) {
        if (!waiter->condition())
            return false;
        satisfied.push_back(waiter);
        return true;
    });
    for (const auto& waiter : satisfied) {
        auto callback = std::exchange(waiter->callback, nullptr);
        waiter->timer.cancel();
        callback(true);
    }
}

} // namespace Lavendervane::StandIn
