#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"

#include <array>
#include <cstdint>
#include <map>

namespace Lavendervane {

/// Whole of an organisation's limit, in the unit of shares.
static constexpr uint32_t wholeShare = 1'000'000;

struct WindowLimitSettings {
    /// Length of the window in which requests are counted.
    Duration window = std::chrono::seconds(5);
    /// Part of the limit, in parts of `wholeShare`, that a VM wants of an organisation that it has not served yet. A
    /// caller's first requests are then admitted without a question to the table.
    uint32_t initialShare = wholeShare / 48;
    /// A share is given back after it has been used by less than half for this long. Callers come back in waves.
    Duration lowUseTime = std::chrono::seconds(15);
    /// While no share is free, requests beyond it are refused at once for this long, and twice as long each time that
    /// there is still none, up to the longest time.
    Duration exhaustedTime = std::chrono::seconds(1);
    Duration longestExhaustedTime = std::chrono::seconds(8);
};

/// Counts the requests of organisations in a sliding window and admits them up to this VM's shares. The shares of all
/// VMs add up to the whole limit at most, so the sum over all VMs stays within it in every window.
class WindowLimits {
public:
    explicit WindowLimits(WindowLimitSettings = {});

    /// Requests that all VMs together may admit in one window; organisations that are missing are removed.
    void setBudgets(const std::map<OrganisationId, uint32_t>& requestsPerWindow);

    /// Shares of this VM, in parts of `wholeShare`, valid until `expiry`. An organisation that got less than it wanted
    /// has no free share left.
    void setShares(const std::map<OrganisationId, uint32_t>&, Instant expiry, Instant now);

    /// True if a request that was not admitted may be admitted after the next exchange with the table.
    bool mayGrow(const OrganisationId&, Instant now) const;

    /// Admits and counts one request, or returns false.
    bool tryTake(const OrganisationId&, Instant now);

    /// Counts a request that runs a second time. It is never refused, because the first run is a fact.
    void countRepeat(const OrganisationId&, Instant now);

    /// Takes back a request that did not run.
    void giveBack(const OrganisationId&, Instant now);

    /// Requests that this VM may admit in one window now.
    uint32_t allowed(const OrganisationId&, Instant now) const;

    /// Requests counted in the window that ends now.
    uint32_t used(const OrganisationId&, Instant now);

    /// Shares that this VM should have, from what it counted and refused. Calling it resets the refused counts.
    std::map<OrganisationId, uint32_t> wantedShares(Instant now);

    /// True if some organisation needs a larger share soon.
    bool needsMore(Instant now);

private:
    // The window is cut into steps; a request counts until the whole step has left the window.
    static constexpr size_t steps = 50;

    struct Counter {
        uint32_t budget = 0;
        uint32_t share = 0;
        std::array<uint32_t, steps + 1> counts {};
        int64_t newestStep = 0;
        uint32_t total = 0;
        uint32_t refused = 0; ///< since the last call of wantedShares
        uint32_t wanted = 0; ///< share that was asked for last
        Instant lowSince {}; ///< start of the present time of low use; unset while use is high
        Instant exhaustedUntil {};
        Duration exhaustedTime {};
    };

    void advance(Counter&, Instant now) const;
    uint32_t allowedOf(const Counter&, Instant now) const;
    uint32_t wantedShare(Counter&, Instant now) const;
    uint32_t projectedRequests(const Counter&) const;

    WindowLimitSettings settings;
    Duration stepLength;
    Instant expiry {};
    std::map<OrganisationId, Counter> counters;
};

} // namespace Lavendervane
