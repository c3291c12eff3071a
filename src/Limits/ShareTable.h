#pragma once

#include "Limits/CapacityPool.h"
#include "Limits/LimitRows.h"

#include <deque>
#include <optional>
#include <vector>

namespace Lavendervane {

/// The rows `share/<organisation>` and the pools of one data centre, for the allocator that holds its lease.
class ShareTable {
public:
    struct Entry {
        RateLimit limit;
        bool configured = false; ///< false for a removed organisation whose grants are outstanding
        CapacityPool pool;
        std::optional<ShareRow> row; ///< as last read or committed
        uint64_t revision = 0;
        std::deque<uint64_t> recentNeeds; ///< 1/1000 requests per second, at the last readings
        Instant lastRecall {};
        bool unaccountedLocked = false; ///< capacity that was unaccounted for at the claim has been taken out of use

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    explicit ShareTable(DataCentre);

    void configure(const LimitsConfigured&);
    std::map<OrganisationId, Entry>& entries() { return this->organisations; }
    const std::map<OrganisationId, Entry>& entries() const { return this->organisations; }
    Entry* find(const OrganisationId&);

    /// Forgets grants, tokens and rows; the configuration stays.
    void reset();

    std::vector<std::string> keys() const;

    /// Takes over rows that were read; sets the shares of the pools. `leaseRevision` is that of the same reading.
    void applyRows(const std::vector<TableRow>&, uint64_t leaseRevision, Instant now);

    /// True once the rows of all organisations have been read or created.
    bool isLoaded() const;

    /// Next change of shares, with the lease row as a condition. Capacity that is given away is out of use when this
    /// returns. Repeats a change whose outcome is unknown.
    std::optional<TableTransaction> planTransaction(
        const std::string& changeId, const RowCondition& lease, Instant now);
    void completeTransaction(TableStatus, Instant now);

    friend bool operator==(const ShareTable&, const ShareTable&) = default;

private:
    struct Write {
        TableTransaction transaction;
        std::map<OrganisationId, ShareRow> rows;
        bool mayHaveCommitted = false;

        friend bool operator==(const Write&, const Write&) = default;
    };

    bool canStillCommit(const Write&, uint64_t leaseRevision) const;
    void updateShare(const OrganisationId&, Entry&, Instant now);
    ShareRow makeDesiredRow(Entry&) const;
    void transferSurplus(Entry&, ShareRow&) const;
    void updateWantedRate(const Entry&, ShareRow&) const;

    DataCentre dataCentre;
    uint64_t configurationVersion = 0;
    std::vector<DataCentre> dataCentres;
    std::map<OrganisationId, Entry> organisations;
    std::optional<Write> pendingWrite;
    OrganisationId lastPlanned; ///< last organisation that was planned, so that all take turns
};

} // namespace Lavendervane
