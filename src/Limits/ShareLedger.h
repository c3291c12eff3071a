#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// A VM as the others know it.
struct FleetMember {
    VmId vm;
    DataCentre dataCentre;
    std::string address; ///< "IP:port" for messages between VMs
    uint32_t cpuMillicores = 1000; ///< part of one core, in 1/1000
    bool holdsShare = true; ///< has a share of limits, from which it may lend

    friend auto operator<=>(const FleetMember&, const FleetMember&) = default;
};

/// Shares of limits held by VMs, as stored in one row of the platform's table. A VM holds the same share of every
/// organisation's limit, so that the row grows with the VMs only (about 110 bytes each). In a large fleet only some VMs
/// of each data centre hold shares and the others borrow from them, because an even share would be less than one
/// request. Times are in ms of the table's clock. In every state, the shares add up to `fullShare` at most.
class ShareLedger {
public:
    /// One run of a VM's process.
    struct Holder {
        FleetMember member;
        std::string runId;

        friend auto operator<=>(const Holder&, const Holder&) = default;
    };

    struct Settings {
        /// Lifetime of shares in ms from their last renewal. VMs go on through an outage of the platform that is
        /// shorter; the shares of a VM that is gone for good stay unused as long.
        uint64_t lifetimeMs = 600'000;
        uint64_t clockErrorMs = 1'000; ///< error of clock readings
        /// VMs for which the first ones leave room before they know of each other. In a fleet of at most this size
        /// every VM holds a share.
        uint32_t smallFleetSize = 24;
        /// VMs that hold shares in a larger fleet, over all data centres. An organisation with a burst of 4 requests
        /// then has a third of one at each, so that a few loans make up a request.
        uint32_t largeFleetHolders = 12;
    };

    ShareLedger() = default;

    /// Throws Error (step "parse share ledger").
    static ShareLedger parse(std::string_view json);
    std::string serialise() const;

    /// Renews the holder's share and brings it as near to an even part as the free part allows. An earlier run of the
    /// same VM has ended, and its share passes to this run. Returns the share held.
    uint32_t renew(const Holder&, uint64_t nowMs, const Settings&);

    /// Gives the share of the holder back.
    void remove(const Holder&);

    /// Share of the VM and the time until which it is valid, whatever run holds it; nothing if it has none.
    struct Lease {
        uint32_t share = 0;
        uint64_t expiresAtMs = 0;
    };
    std::optional<Lease> findLease(const VmId&) const;

    /// VMs whose entry has not expired.
    std::vector<FleetMember> members() const;

    /// Sum of all shares.
    uint64_t totalShare() const;

    friend bool operator==(const ShareLedger&, const ShareLedger&) = default;

private:
    struct Entry {
        std::string runId;
        DataCentre dataCentre;
        std::string address;
        uint32_t cpuMillicores = 1000;
        uint64_t expiresAtMs = 0;
        uint32_t share = 0;

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    uint32_t targetShare(const VmId&, const Settings&) const;

    std::map<VmId, Entry> entries;
};

} // namespace Lavendervane
