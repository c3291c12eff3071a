#pragma once

#include "Core/Instant.h"
#include "StandIn/EndpointData.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

struct FenceResponse {
    bool accepted = false;
    Term promised; ///< highest term that the endpoint has promised
    Term lastEntryTerm;
    uint64_t position = 0;
};

struct ReplicateRequest {
    Term term;
    std::string primary; ///< address of the primary, which sends the request
    Term previousTerm; ///< term of the log entry just before `entries`
    uint64_t previousPosition = 0; ///< position of the log entry just before `entries`; 0 at the start of the log
    std::vector<LogEntry> entries;
    Duration oldestUnsentAge {}; ///< age of the oldest entry that the primary has not sent yet
    Instant now;
};

struct ReplicateResponse {
    bool accepted = false; ///< false if a higher term is promised or the logs differ at `previousPosition`
    Term promised;
    uint64_t position = 0; ///< last position at which the logs may agree; the primary continues after it
};

/// Result of a client request. An empty `code` means that the request was carried out.
struct RequestResult {
    std::string code;
    std::string message;
    Json results = Json::array();
    uint64_t position = 0;
    bool replayed = false; ///< true if the results come from an idempotency record
};

/// Log, terms and data of one database. The term of an endpoint is the term of its last log entry. A replica therefore
/// enters a term only when it receives the first entry of that term, which the term's primary writes at its promotion.
class EndpointState {
public:
    explicit EndpointState(std::string ownAddress);

    /// Makes this endpoint the primary of term {1, ""}. Its log must be empty.
    void startAsFirstPrimary(Instant now);

    /// Promises to reject all lower terms. Fencing again with the promised term is accepted and changes nothing.
    FenceResponse fence(const Term&);

    /// Becomes primary in the promised term and writes the first entry of that term. Returns false for any other term:
    /// only the response to a fence of the same term has shown the caller that the log of this endpoint is usable. Also
    /// returns false if the log already has an entry of that term, written by another primary.
    bool promote(const Term&, Instant now);

    /// Becomes a replica of `primary`. Returns false if a higher term is promised or if this endpoint is itself the
    /// primary of the term.
    bool follow(const Term&, const std::string& primary);

    /// Appends the entries of the primary. Truncates this log first where it conflicts with them.
    ReplicateResponse replicate(const ReplicateRequest&);

    /// Runs the statements and commits, all in one transaction. A recorded write is not run again: its recorded results
    /// are returned.
    RequestResult execute(Transaction&, const std::vector<Statement>&, const std::string& idempotencyKey,
        const std::string& digest, Instant now);

    /// Runs statements in an open transaction, without a commit.
    RequestResult runStatements(Transaction&, const std::vector<Statement>&) const;

    /// Commits an open transaction. If the idempotency key is recorded with the same digest, writes nothing and returns
    /// the recorded results; with another digest, fails with "idempotency_conflict".
    RequestResult commit(
        Transaction&, const std::string& idempotencyKey, const std::string& digest, Json results, Instant now);

    /// Returns the error code for a write in this term, or an empty text if this endpoint accepts the write.
    std::string writeRejectionCode(const Term&) const;

    bool isPrimary() const { return this->actsAsPrimary; }
    const std::string& primaryAddress() const { return this->currentPrimary; }
    const Term& promised() const { return this->promisedTerm; }
    Term term() const { return this->log.empty() ? Term {} : this->log.back().term; }
    uint64_t position() const { return this->log.size(); }
    uint64_t firstPosition() const { return this->firstPositionOfTerm; }
    AppliedPosition appliedPosition() const { return { this->term(), this->position(), this->firstPosition() }; }
    const LogEntry& entry(uint64_t position) const { return this->log[position - 1]; }
    const EndpointData& data() const { return this->contents; }

    /// Time since the last replicate request with an accepted term; zero at the primary itself.
    Duration timeSincePrimaryHeard(Instant now) const;

    /// Upper bound on the age of the oldest write that is missing here; zero at the primary.
    Duration lag(Instant now) const;

    /// Returns the whole state, log included. The cost is linear in the size of the log and the data.
    Json dump() const;

private:
    void raisePromisedTerm(const Term&);
    void append(LogEntry);
    void truncate(uint64_t lastPosition);

    std::string ownAddress;
    std::string currentPrimary;
    bool actsAsPrimary = false;
    Term promisedTerm;
    std::vector<LogEntry> log;
    uint64_t firstPositionOfTerm = 0;
    EndpointData contents;
    std::optional<Instant> lastHeardFromPrimary; ///< time of the last replicate request with an accepted term
    Duration oldestUnsentAge {}; ///< as reported by the primary
};

} // namespace Lavendervane::StandIn
