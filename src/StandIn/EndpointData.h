#pragma once

#include "StandIn/EndpointLog.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavendervane::StandIn {

/// Current value of one key.
struct Cell {
    Json value;
    uint64_t position = 0; ///< log position of the last write
};

/// Results of a committed write, returned again when the same idempotency key is repeated.
struct IdempotencyRecord {
    std::string digest; ///< digest of the request; another digest with the same key is a conflict
    Json results;
    uint64_t position = 0; ///< log position of the write
};

/// Contents of the database: keys and idempotency records, separated by organisation.
class EndpointData {
public:
    /// Applies the committed log entry at `position`.
    void apply(const LogEntry&, uint64_t position);

    /// Returns null if the key was never written.
    const Cell* find(const std::string& organisation, const std::string& key) const;

    /// Returns null if no write with this key is recorded.
    const IdempotencyRecord* findRecord(const std::string& organisation, const std::string& idempotencyKey) const;

    Json dumpData() const;
    Json dumpRecords() const;

private:
    template <typename Value>
    using PerOrganisation = std::unordered_map<std::string, std::unordered_map<std::string, Value>>;

    PerOrganisation<Cell> cells;
    PerOrganisation<IdempotencyRecord> records;
};

/// An uncommitted transaction, whose writes are visible only to itself. It fails with a conflict if a cell that it uses
/// has been written since its start, so that it never sees part of another transaction.
class Transaction {
public:
    Transaction(std::string organisation, Term, uint64_t startPosition, bool mayWrite);

    /// Runs the statements and returns their results in order. Throws Error (step "run statement"); the transaction
    /// must then be discarded.
    Json run(const std::vector<Statement>&, const EndpointData&);

    /// Returns true if a cell that this transaction used has been written since this transaction started.
    bool hasConflict(const EndpointData&) const;

    const std::string& organisation() const { return this->owner; }
    const Term& term() const { return this->startTerm; }
    bool mayWrite() const { return this->writable; }
    const std::vector<Statement>& writes() const { return this->pendingWrites; }

private:
    Json& load(const std::string& key, const EndpointData&);

    std::string owner;
    Term startTerm;
    uint64_t startPosition;
    bool writable;
    std::unordered_map<std::string, Json> values; ///< values as this transaction sees them, for all keys used so far
    std::vector<Statement> pendingWrites;
};

} // namespace Lavendervane::StandIn
