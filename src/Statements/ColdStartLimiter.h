#pragma once

#include "Core/Instant.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace Lavendervane {

/// Limits the requests that this VM sends to an endpoint while the endpoint is slow after its start. Each VM that may
/// send has a whole number of requests for any second, and these numbers add up to the endpoint's rate, so that the VMs
/// need not talk to each other. Designed for rates of 1 to some hundred requests a second and up to some hundred VMs.
class ColdStartLimiter {
public:
    /// Returns the requests a second of the VM with the given rank among `senders` VMs that share `rate`. If there are
    /// more VMs than requests, the first ones get one each.
    static uint32_t share(uint32_t rate, uint64_t rank, uint64_t senders);

    /// Sets this VM's share. Nothing: no limit.
    void setShare(std::optional<uint32_t> perSecond) { this->limit = perSecond; }

    /// Returns true if a request may be sent now. The endpoint is slow until `coldUntil`.
    bool mayTake(Instant coldUntil, Instant now);

    /// Returns true and counts a request if it may be sent now.
    bool take(Instant coldUntil, Instant now);

    /// Counts a request that is sent in any case, because it belongs to an open transaction.
    void record(Instant coldUntil, Instant now);

private:
    std::optional<uint32_t> limit;
    std::deque<Instant> sent; ///< times of the requests in the last second, oldest first
};

} // namespace Lavendervane
