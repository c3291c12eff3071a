#pragma once

#include "Control/TableMessages.h"
#include "Core/Instant.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Lavendervane {

/// Reading of the table's clock. The table read it between `sent` and `received` of this VM's clock.
struct TableClock {
    uint64_t milliseconds = 0;
    Instant sent {};
    Instant received {};

    /// Latest value that the table's clock is certain to have reached.
    uint64_t lowerBound(Instant now) const
    {
        return this->milliseconds
            + static_cast<uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - this->received).count());
    }

    /// How far the table's clock may be ahead of `lowerBound`.
    Duration uncertainty() const { return this->received - this->sent; }

    friend bool operator==(const TableClock&, const TableClock&) = default;
};

/// Answer of the table to one call.
struct TableReply {
    TableResult result;
    uint64_t revision = 0; ///< newest revision of the table when it answered
    TableClock clock; ///< valid unless the status is NotSent or Unknown
    std::string reason; ///< of a failure
};

using TableReplyCallback = std::function<void(TableReply)>;

/// Rows of the platform's table that belong to the system. All calls and callbacks are on the control thread.
class TableStore {
public:
    virtual ~TableStore() = default;

    /// Reads one row; an absent row comes back with revision 0.
    virtual void readRow(const std::string& key, TableReplyCallback) = 0;

    /// Reads all rows whose keys start with the prefix.
    virtual void readRows(const std::string& prefix, TableReplyCallback) = 0;

    virtual void transact(const TableTransaction&, TableReplyCallback) = 0;
};

} // namespace Lavendervane
