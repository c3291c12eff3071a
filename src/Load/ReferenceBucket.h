#pragma once

#include "History/History.h"

#include <algorithm>
#include <cstdint>

namespace Lavendervane {

/// Token bucket of an ideal rate limiter that sees the requests of all VMs. The bucket starts full.
class ReferenceBucket {
public:
    explicit ReferenceBucket(const HistoryLimit& limit)
        : limit(limit)
        , tokens(limit.burst)
    {
    }

    /// Refills the bucket up to `time` (ns) and returns its tokens. Times must not decrease.
    double available(int64_t time)
    {
        if (this->started)
            this->tokens = std::min(
                this->limit.burst, this->tokens + static_cast<double>(time - this->lastTime) / 1e9 * this->limit.rate);
        this->started = true;
        this->lastTime = time;
        return this->tokens;
    }

    /// Takes a token. The balance may become negative, down to minus the burst.
    void take() { this->tokens = std::max(this->tokens - 1, -this->limit.burst); }

private:
    HistoryLimit limit;
    double tokens;
    int64_t lastTime = 0;
    bool started = false;
};

} // namespace Lavendervane
