#pragma once

#include "Control/TableMessages.h"
#include "Core/Instant.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Lavendervane {

/// A reading of the table's clock. The table took it between the times `sent` and `received` of this VM's clock.
struct TableClock {
    uint64_t milliseconds = 0;
    Instant sent {};
    Instant received {};

    /// Returns the latest time that the table's clock has certainly reached, in milliseconds.
    uint64_t lowerBound(Instant now) const
    {
        return this->milliseconds
            + static_cast<uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - this->received).count());
    }

    /// Returns by how much the table's clock may be ahead of `lowerBound`.
    Duration uncertainty() const { return this->received - this->sent; }

    friend bool operator==(const TableClock&, const TableClock&) = default;
};

/// Answer to a call of TableStore.
struct TableReply {
    TableResult result;
    uint64_t revision = 0; ///< newest revision in the table when it answered
    /// Generation of the table's content, which rises when the store is restored from an older copy. Revisions are
    /// comparable within one generation only. Zero if the store does not report generations.
    uint64_t generation = 0;
    TableClock clock; ///< valid unless the status is NotSent or Unknown
    std::string reason; ///< reason for a failure
};

using TableReplyCallback = std::function<void(TableReply)>;

/// Event: the table has been restored from an older copy, which may lack rows that were written since.
struct TableRestored { };

/// Called when the table is found to have been restored from an older copy, with its new generation.
using TableRestoredCallback = std::function<void(uint64_t generation)>;

/// Access to the rows of the platform's table that belong to this system. All calls and callbacks are on the control
/// thread.
///
/// A table that is restored from an older copy loses what it has acknowledged since and assigns the same revisions
/// again. An answer of an earlier generation than the newest one known counts as missing.
class TableStore {
public:
    virtual ~TableStore() = default;

    /// Reads one row. A row that does not exist is returned with revision 0.
    virtual void readRow(const std::string& key, TableReplyCallback) = 0;

    /// Reads all rows whose keys start with the prefix.
    virtual void readRows(const std::string& prefix, TableReplyCallback) = 0;

    /// Writes rows atomically if all conditions of the transaction hold. The outcome is Unknown if the table was
    /// restored after the generation of the transaction, because its conditions may hold for other rows.
    virtual void transact(const TableTransaction&, TableReplyCallback) = 0;

    /// Calls back for each restore, before the answer that shows it is passed on.
    virtual void onRestored(TableRestoredCallback) = 0;
};

} // namespace Lavendervane
