#pragma once

#include "Core/Identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// A VM as listed in the ledger for the other VMs.
struct FleetMember {
    VmId vm;
    DataCentre dataCentre;
    std::string address; ///< "IP:port" for messages between VMs
    uint32_t cpuMillicores = 1000; ///< CPU capacity in 1/1000 of a core
    bool holdsShare = true; ///< true if it holds a share of the limits and may lend tokens

    friend auto operator<=>(const FleetMember&, const FleetMember&) = default;
};

/// Shares of the limits held by the VMs, stored in one row of the platform's table. A VM holds the same share of every
/// organisation's limit, so the size of the row depends only on the number of VMs (about 110 bytes each). In a large
/// fleet only some VMs of each data centre hold shares and the others borrow from them, because an even share would be
/// less than one request. Times are in ms on the clock of the table. The sum of the shares never exceeds `fullShare`.
class ShareLedger {
public:
    /// One run of the process of a VM.
    struct Holder {
        FleetMember member;
        std::string runId; ///< differs in each run

        friend auto operator<=>(const Holder&, const Holder&) = default;
    };

    struct Settings {
        /// Lifetime of a share after its last renewal. VMs keep serving through a shorter outage of the platform; the
        /// share of a VM that never returns stays unused for this time.
        uint64_t lifetimeMs = 600'000;
        uint64_t clockErrorMs = 1'000; ///< bound of the error of clock readings
        /// Longest time after a restore of the table in which VMs enter the shares that they hold. Shares are divided
        /// anew only after it.
        uint64_t settleMs = 4'000;
        /// Fleet size up to which every VM holds a share. A new VM takes at most one part in this number, to leave room
        /// for VMs that it does not know yet.
        uint32_t smallFleetSize = 24;
        /// Number of VMs that hold shares in a larger fleet, over all data centres. An organisation with a burst of 4
        /// requests then has a third of a request at each holder, so a few loans make up a request.
        uint32_t largeFleetHolders = 12;
    };

    ShareLedger() = default;

    /// Throws Error (step "parse share ledger").
    static ShareLedger parse(std::string_view json);
    /// Returns the JSON text of the row.
    std::string serialise() const;

    /// Renews the entry of the holder and adjusts its share towards the even share, as far as the free part allows.
    /// Removes expired entries. The share of an earlier run of the same VM passes to this run, because that run has
    /// ended. Returns the new share.
    uint32_t renew(const Holder&, uint64_t nowMs, const Settings&);

    /// Records that the table now has this generation. If it is a later one, the ledger comes from a copy and lacks
    /// what was written since, so a settle time starts. `isStored` is false if the table has no ledger.
    void enterGeneration(uint64_t generation, bool isStored, uint64_t nowMs, const Settings&);

    uint64_t generation() const { return this->tableGeneration; }

    /// Returns true while some VMs may hold shares that the ledger does not show: until all VMs that it lists have made
    /// an entry since the restore, or the settle time is over.
    bool isSettling(uint64_t nowMs) const;

    /// Returns true if the ledger lists the VM and the VM has made no entry since the restore.
    bool isUnconfirmed(const VmId&) const;

    /// End of the settle time; 0 if the table has never been restored.
    uint64_t settlesAt() const { return this->settlesAtMs; }

    /// Enters the share that the holder has, which the ledger may lack. A holder without a share confirms that its
    /// earlier run has ended. Used instead of `renew` while settling.
    void claim(const Holder&, uint32_t heldShare, uint64_t nowMs, const Settings&);

    /// Removes the entry of the holder, unless a later run of the VM owns it.
    void remove(const Holder&);

    /// Share of a VM and the time at which it expires.
    struct Lease {
        uint32_t share = 0;
        uint64_t expiresAtMs = 0;
    };
    /// Returns the lease of the VM regardless of the run that holds it; empty if the VM has no entry. Its share is
    /// limited to what the other VMs leave, which is less than its entry if a VM has claimed a lost share.
    std::optional<Lease> findLease(const VmId&) const;

    /// All VMs that have an entry. Expired entries are included until the next `renew`.
    std::vector<FleetMember> members() const;

    /// Sum of the shares of all VMs.
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
        uint64_t generation = 0; ///< generation of the table in which the VM made the entry

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    uint32_t targetShare(const VmId&, const Settings&) const;

    Entry& updateEntry(const Holder&, uint64_t nowMs, const Settings&);
    uint32_t freeFor(const Entry&) const;

    std::map<VmId, Entry> entries;
    uint64_t tableGeneration = 0; ///< generation of the table when the ledger was last written; 0 if unknown
    uint64_t settlesAtMs = 0;
    bool wasLost = false; ///< the restored table had no ledger, so VMs that it does not list may hold shares
};

/// Sets `holdsShare` of each VM: all hold shares in a small fleet, and the first VMs of each data centre in a large
/// one.
void markShareHolders(std::vector<FleetMember>&, const ShareLedger::Settings&);

} // namespace Lavendervane
