#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// How other VMs reach a VM.
struct PeerAddress {
    VmId vm;
    DataCentre dataCentre;
    std::string address; ///< "IP:port"

    friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

/// Shares of limits held by VMs, as stored in one row of the platform's table. A VM holds the same share of every
/// organisation's limit, so that the row grows with the VMs only (about 100 bytes each). Times are in ms of the table's
/// clock. In every state, the shares add up to `wholeShare` at most.
class ShareLedger {
public:
    /// One run of a VM's process.
    struct Holder {
        PeerAddress peer;
        std::string run;

        friend auto operator<=>(const Holder&, const Holder&) = default;
    };

    struct Settings {
        /// Lifetime of shares in ms from their last renewal. VMs go on through an outage of the platform that is
        /// shorter; the shares of a VM that is gone for good stay unused as long.
        uint64_t lifetimeMs = 600'000;
        uint64_t slackMs = 1'000; ///< error of clock readings
        /// VMs for which the first ones leave room before they know of each other.
        uint32_t assumedVms = 24;
    };

    ShareLedger() = default;

    /// Throws Error (step "parse share ledger").
    static ShareLedger parse(std::string_view json);
    std::string serialise() const;

    /// Renews the holder's share and brings it as near to an even part as the free part allows. An earlier run of the
    /// same VM has ended, and its share passes to this run. Returns the share held.
    uint32_t renew(const Holder&, uint64_t nowMs, const Settings&);

    /// Gives the share of the holder back.
    void leave(const Holder&);

    /// Share of the VM and the time until which it is valid, whatever run holds it; nothing if it has none.
    struct Lease {
        uint32_t share = 0;
        uint64_t untilMs = 0;
    };
    std::optional<Lease> leaseOf(const VmId&) const;

    /// VMs whose share has not expired.
    std::vector<PeerAddress> peers() const;

    /// Sum of all shares.
    uint64_t taken() const;

    friend bool operator==(const ShareLedger&, const ShareLedger&) = default;

private:
    struct Entry {
        std::string run;
        DataCentre dataCentre;
        std::string address;
        uint64_t untilMs = 0;
        uint32_t share = 0;

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    std::map<VmId, Entry> entries;
};

} // namespace Lavendervane
