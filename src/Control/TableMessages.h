#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane {

/// Row of the platform's table. Revision 0 means that the row is absent.
struct TableRow {
    std::string key;
    uint64_t revision = 0;
    std::string value;

    friend bool operator==(const TableRow&, const TableRow&) = default;
};

/// Condition of a transaction: the row has this revision.
struct RowCondition {
    std::string key;
    uint64_t revision = 0;

    friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

/// Write of a transaction: the row gets this value.
struct RowWrite {
    std::string key;
    std::string value;

    friend bool operator==(const RowWrite&, const RowWrite&) = default;
};

/// Transaction on the platform's table. Writes all rows if all conditions hold, otherwise none.
struct TableTransaction {
    std::string changeId;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    /// Generation of the table in which the revisions of the conditions were read; 0 if there is none.
    uint64_t generation = 0;

    friend bool operator==(const TableTransaction&, const TableTransaction&) = default;
};

/// Outcome of a call to the platform's table.
enum class TableStatus {
    Done, ///< the rows were read, or the transaction was committed
    Conflict, ///< a condition did not hold; nothing was written
    NotSent, ///< the platform could not be reached; nothing was written
    Unknown, ///< no answer arrived; a transaction may have been committed
};

/// Answer to a read or a transaction.
struct TableResult {
    TableStatus status = TableStatus::Unknown;
    /// The rows that were read, or after a conflict the current rows of the conditions.
    std::vector<TableRow> rows;

    friend bool operator==(const TableResult&, const TableResult&) = default;
};

} // namespace Lavendervane
