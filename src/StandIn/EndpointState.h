#pragma once

#include "Core/Instant.h"
#include "StandIn/EndpointData.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

/// Response to a fence request.
struct FenceAnswer {
    bool accepted = false;
    Term promised;
    Term lastEntryTerm;
    uint64_t position = 0;
};

/// Log entries that a primary sends to a replica. Without entries it is a heartbeat.
struct ReplicateRequest {
    Term term;
    std::string primary; ///< address of the sender
    Term previousTerm; ///< term of the entry before the first entry sent
    uint64_t previousPosition = 0;
    std::vector<LogEntry> entries;
    Duration behind {}; ///< age of the oldest entry that is not yet sent
    Instant now;
};

/// Response to a replication request.
struct ReplicateAnswer {
    bool accepted = false; ///< false: the term is too low, or the logs differ at the previous entry
    Term promised;
    uint64_t position = 0; ///< last position at which the logs may match; the sender continues after it
};

/// Result of a traffic request. An empty code means success.
struct Answer {
    std::string code;
    std::string message;
    Json results = Json::array();
    uint64_t position = 0;
    bool replayed = false;
};

/// Log, terms and data of one database. The term of an endpoint is the term of its last entry: a replica enters
/// a term only when it holds the term's first entry, which the primary of that term wrote.
class EndpointState {
public:
    explicit EndpointState(std::string ownAddress);

    /// Makes the empty endpoint primary in term {1, ""}.
    void startAsFirstPrimary(Instant now);

    /// Promises to reject lower terms. Repeating the promised term is accepted and changes nothing.
    FenceAnswer fence(const Term&);

    /// Becomes primary in the promised term and writes its first entry. Returns false for any other term, because
    /// only the member's response to the fence of this term shows that its log may be used.
    bool promote(const Term&, Instant now);

    /// Accepts `primary` as the primary of the term. Returns false if a higher term is promised or this endpoint is
    /// primary in the term.
    bool follow(const Term&, const std::string& primary);

    /// Appends the entries of a primary and removes entries that differ from them.
    ReplicateAnswer replicate(const ReplicateRequest&);

    /// Runs a request in one transaction.
    Answer execute(Transaction&, const std::vector<Statement>&, const std::string& idempotencyKey,
        const std::string& digest, Instant now);

    /// Runs statements of an open transaction.
    Answer run(Transaction&, const std::vector<Statement>&) const;

    /// Commits an open transaction. Repeating a recorded write returns the recorded results.
    Answer commit(
        Transaction&, const std::string& idempotencyKey, const std::string& digest, Json results, Instant now);

    /// Returns the error code for a write of this term, or an empty string if this endpoint accepts the write.
    std::string writeRejection(const Term&) const;

    bool primary() const { return this->isPrimary; }
    const std::string& primaryAddress() const { return this->currentPrimary; }
    const Term& promised() const { return this->promisedTerm; }
    Term term() const { return this->log.empty() ? Term {} : this->log.back().term; }
    uint64_t position() const { return this->log.size(); }
    uint64_t firstPosition() const { return this->firstPositionOfTerm; }
    AppliedPosition appliedPosition() const { return { this->term(), this->position(), this->firstPosition() }; }
    const LogEntry& entry(uint64_t position) const { return this->log[position - 1]; }
    const EndpointData& data() const { return this->contents; }

    /// Returns the time since the last request of the primary; zero at the primary.
    Duration timeSincePrimaryContact(Instant now) const;

    /// Returns the age of the oldest write that this replica may lack; zero at the primary.
    Duration lag(Instant now) const;

    /// Returns the whole state. The cost is linear in the size of the state.
    Json dump() const;

private:
    void raisePromise(const Term&);
    void append(LogEntry);
    void truncate(uint64_t lastPosition);

    std::string ownAddress;
    std::string currentPrimary;
    bool isPrimary = false;
    Term promisedTerm;
    std::vector<LogEntry> log;
    uint64_t firstPositionOfTerm = 0;
    EndpointData contents;
    std::optional<Instant> lastPrimaryContact;
    Duration behind {};
};

} // namespace Lavendervane::StandIn
