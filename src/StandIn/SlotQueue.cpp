#include "StandIn/SlotQueue.h"

#include <cassert>
#include <utility>

namespace Lavendervane::StandIn {

SlotQueue::SlotQueue(boost::asio::io_context& context, uint32_t slots, std::chrono::milliseconds waitLimit)
    : slots(slots)
    , waitLimit(waitLimit)
    , timer(context)
{
}

void SlotQueue::acquire(std::function<void(bool)> callback)
{
    if (this->taken < this->slots && this->queue.empty()) {
        ++this->taken;
        callback(true);
        return;
    }
    this->queue.push_back({ std::move(callback), std::chrono::steady_clock::now() + this->waitLimit });
    if (this->queue.size() == 1)
        this->armTimer();
}

void SlotQueue::release()
{
    assert(this->taken > 0);
    --this->taken;
    if (this->queue.empty())
        return;
    auto callback = std::move(this->queue.front().callback);
    this->queue.pop_front();
    ++this->taken;
    callback(true);
}

// All waiters have the same wait limit, so the first waiter in the queue always expires first.
void SlotQueue::armTimer()
{
    this->timer.expires_at(this->queue.front().deadline);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        const auto now = std::chrono::steady_clock::now();
        while (!this->queue.empty() && this->queue.front().deadline <= now) {
            auto callback = std::move(this->queue.front().callback);
            this->queue.pop_front();
            callback(false);
        }
        if (!this->queue.empty())
            this->armTimer();
    });
}

} // namespace Lavendervane::StandIn
