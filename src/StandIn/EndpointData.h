#pragma once

#include "StandIn/EndpointLog.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavendervane::StandIn {

struct Cell {
    Json value;
    uint64_t position = 0; ///< log position of the last write
};

/// Recorded answer of a write.
struct IdempotencyRecord {
    std::string digest;
    Json results;
    uint64_t position = 0;
};

/// Contents of the database: keys and idempotency records, separated by organisation.
class EndpointData {
public:
    /// Applies a committed entry that stands at `position`.
    void apply(const LogEntry&, uint64_t position);

    /// Returns null if the key was never written.
    const Cell* find(const std::string& organisation, const std::string& key) const;

    const IdempotencyRecord* findRecord(const std::string& organisation, const std::string& idempotencyKey) const;

    Json dumpData() const;
    Json dumpRecords() const;

private:
    template <typename Value>
    using PerOrganisation = std::unordered_map<std::string, std::unordered_map<std::string, Value>>;

    PerOrganisation<Cell> cells;
    PerOrganisation<IdempotencyRecord> records;
};

/// A transaction before its commit: its writes are visible to itself only. A transaction that meets a cell written
/// after its start cannot be serialised and fails, so that no reader sees half of another transaction.
class Transaction {
public:
    Transaction(std::string organisation, Term, uint64_t startPosition, bool mayWrite);

    /// Runs the statements and returns their results in order. Throws Error (step "run statement"); the transaction
    /// must then be dropped.
    Json run(const std::vector<Statement>&, const EndpointData&);

    /// True if a cell that the transaction used has been written since it started.
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
    std::unordered_map<std::string, Json> values;
    std::vector<Statement> pendingWrites;
};

} // namespace Lavendervane::StandIn
