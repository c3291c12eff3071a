#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// Shares of limits held by VMs, as stored in one row of the platform's table. Times are in ms of the table's clock.
/// In every state, the shares of an organisation add up to `wholeShare` at most.
class ShareLedger {
public:
    using Shares = std::map<OrganisationId, uint32_t>;

    /// One run of a VM's process.
    struct Holder {
        VmId vm;
        std::string run;

        friend auto operator<=>(const Holder&, const Holder&) = default;
    };

    struct Settings {
        uint64_t lifetimeMs = 60'000; ///< of shares, from their last renewal
        uint64_t windowMs = 5'000; ///< requests admitted with a share count this long after it has ended
        uint64_t slackMs = 500; ///< rounding of clocks and windows
        uint32_t newcomerDivisor = 16; ///< a new run gets at most this part of what is free
    };

    ShareLedger() = default;

    /// Throws Error (step "parse share ledger").
    static ShareLedger parse(std::string_view json);
    std::string serialise() const;

    /// Renews the holder's shares and brings them as near to `wanted` as the free parts allow. An earlier run of the
    /// same VM has ended; its shares, and those given back, become free after one window. Returns the shares held.
    Shares renew(const Holder&, const Shares& wanted, uint64_t nowMs, const Settings&);

    /// Gives all shares of the holder back.
    void leave(const Holder&, uint64_t nowMs, const Settings&);

    /// Number of VMs whose shares have not expired.
    size_t holderCount() const { return this->entries.size(); }

    /// Sum of all parts of the organisation that are held or not yet free again.
    uint64_t taken(const OrganisationId&) const;

    friend bool operator==(const ShareLedger&, const ShareLedger&) = default;

private:
    struct Entry {
        std::string run;
        uint64_t untilMs = 0;
        Shares shares;

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    /// Shares that nobody may use before `untilMs`.
    struct Cooling {
        uint64_t untilMs = 0;
        Shares shares;

        friend bool operator==(const Cooling&, const Cooling&) = default;
    };

    void expire(uint64_t nowMs, const Settings&);
    void cool(Shares, uint64_t untilMs);

    std::map<VmId, Entry> entries;
    std::vector<Cooling> cooling;
};

} // namespace Lavendervane
