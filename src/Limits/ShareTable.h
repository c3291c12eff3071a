#pragma once

#include "Limits/CapacityPool.h"
#include "Limits/LimitRows.h"

#include <deque>
#include <optional>
#include <vector>

namespace Lavendervane {

/// The rows `share/<organisation>` and the capacity pools of one data centre. Used by the allocator that holds the
/// lease of the data centre.
class ShareTable {
public:
    /// State of one organisation.
    struct Entry {
        RateLimit limit; ///< configured limit
        bool configured = false; ///< false for a removed organisation with outstanding grants
        CapacityPool pool;
        std::optional<ShareRow> row; ///< content last read or committed; empty if the row does not exist
        uint64_t revision = 0; ///< revision of the row when last read
        std::deque<uint64_t> recentNeeds; ///< needed rate at each of the last reads, 1/1000 requests per second
        Instant lastRecall {};
        bool unaccountedLocked = false; ///< capacity not accounted for when the lease was taken has been locked

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    explicit ShareTable(DataCentre);

    /// Applies the limits and data centres of a configuration.
    void configure(const LimitsConfigured&);
    std::map<OrganisationId, Entry>& entries() { return this->organisations; }
    const std::map<OrganisationId, Entry>& entries() const { return this->organisations; }
    /// Returns the entry of the organisation, or null.
    Entry* find(const OrganisationId&);

    /// Drops all grants, tokens and rows, but keeps the configuration.
    void reset();

    /// Keys of the share rows of all configured organisations.
    std::vector<std::string> keys() const;

    /// Applies rows that were read and updates the shares of the pools. `leaseRevision` is the revision of the lease
    /// row in the same read.
    void applyRows(const std::vector<TableRow>&, uint64_t leaseRevision, Instant now);

    /// True once the rows of all organisations have been read or created.
    bool isLoaded() const;

    /// Returns the next change of share rows, conditional on the lease row; empty if nothing has to change. Capacity
    /// transferred to another data centre is out of use when this returns. Repeats a change whose outcome is unknown.
    std::optional<TableTransaction> planTransaction(
        const std::string& changeId, const RowCondition& lease, Instant now);
    /// Records the result of the planned transaction.
    void completeTransaction(TableStatus, Instant now);

    friend bool operator==(const ShareTable&, const ShareTable&) = default;

private:
    struct Write {
        TableTransaction transaction;
        std::map<OrganisationId, ShareRow> rows;
        bool mayHaveCommitted = false; ///< true after an attempt with unknown outcome

        friend bool operator==(const Write&, const Write&) = default;
    };

    /// False if a condition of the write no longer holds.
    bool canStillCommit(const Write&, uint64_t leaseRevision) const;
    /// Sets the share of the pool to what this data centre may use under every possible outcome.
    void updateShare(const OrganisationId&, Entry&, Instant now);
    /// Returns the row that should be written next, which may equal the current one.
    ShareRow makeDesiredRow(Entry&) const;
    /// Moves capacity in `row` to the data centre that lacks most, or reserves it in the pool until it is free.
    void transferSurplus(Entry&, ShareRow&) const;
    /// Updates the wanted rate of this data centre in `row`.
    void updateWantedRate(const Entry&, ShareRow&) const;

    DataCentre dataCentre;
    uint64_t configurationVersion = 0;
    std::vector<DataCentre> dataCentres;
    std::map<OrganisationId, Entry> organisations;
    std::optional<Write> pendingWrite;
    OrganisationId lastPlanned; ///< last organisation considered by `planTransaction`, which continues after it
};

} // namespace Lavendervane
