#include "Statements/ColdStartLimiter.h"

namespace Lavendervane {

static constexpr Duration window = std::chrono::seconds(1);

uint32_t ColdStartLimiter::share(uint32_t rate, uint64_t rank, uint64_t senders)
{
    if (!senders || rank >= senders)
        return 0;
    return static_cast<uint32_t>(rate / senders + (rank < rate % senders ? 1 : 0));
}

bool ColdStartLimiter::mayTake(Instant coldUntil, Instant now)
{
    if (!this->limit || now >= coldUntil) {
        this->sent.clear();
        return true;
    }
    while (!this->sent.empty() && this->sent.front() + window <= now)
        this->sent.pop_front();
    return this->sent.size() < *this->limit;
}

bool ColdStartLimiter::take(Instant coldUntil, Instant now)
{
    if (!this->mayTake(coldUntil, now))
        return false;
    this->record(coldUntil, now);
    return true;
}

void ColdStartLimiter::record(Instant coldUntil, Instant now)
{
    if (this->limit && now < coldUntil)
        this->sent.push_back(now);
}

} // namespace Lavendervane
