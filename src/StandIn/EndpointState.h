#pragma once

#include "Core/Instant.h"
#include "StandIn/EndpointData.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavendervane::StandIn {

struct FenceResponse {
    bool accepted = false;
    Term promised;
    Term lastEntryTerm;
    uint64_t position = 0;
};

struct ReplicateRequest {
    Term term;
    std::string primary; ///< address of the sender
    Term previousTerm; ///< term of the entry before the first one sent
    uint64_t previousPosition = 0;
    std::vector<LogEntry> entries;
    Duration oldestUnsentAge {}; ///< age of the oldest entry that is not sent yet
    Instant now;
};

struct ReplicateResponse {
    bool accepted = false; ///< false: refused by term, or the logs do not match at the previous entry
    Term promised;
    uint64_t position = 0; ///< last position that may match; the sender continues after it
};

/// Result of a request for traffic. An empty code means done.
struct RequestResult {
    std::string code;
    std::string message;
    Json results = Json::array();
    uint64_t position = 0;
    bool replayed = false;
};

/// Log, terms and data of one database. The term of an endpoint is the term of its last entry: a replica is then in a
/// term only once it holds the term's first entry, which the primary of that term wrote.
class EndpointState {
public:
    explicit EndpointState(std::string ownAddress);

    /// Makes the empty endpoint primary in term {1, ""}.
    void startAsFirstPrimary(Instant now);

    /// Promises to reject lower terms. Repeating the promised term is accepted and changes nothing.
    FenceResponse fence(const Term&);

    /// Becomes primary in the promised term and writes its first entry. False for any other term, as only the member's
    /// answer to the fence of this term shows that its log may be used.
    bool promote(const Term&, Instant now);

    bool follow(const Term&, const std::string& primary);

    ReplicateResponse replicate(const ReplicateRequest&);

    /// Runs a request in one transaction.
    RequestResult execute(Transaction&, const std::vector<Statement>&, const std::string& idempotencyKey,
        const std::string& digest, Instant now);

    /// Runs statements of an open transaction.
    RequestResult runStatements(Transaction&, const std::vector<Statement>&) const;

    RequestResult commit(
        Transaction&, const std::string& idempotencyKey, const std::string& digest, Json results, Instant now);

    /// Reason why a write of this term may not run here; empty if it may.
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

    /// Time since the primary was last heard; zero at the primary.
    Duration timeSincePrimaryHeard(Instant now) const;

    /// Age of the oldest data that may be missing here; zero at the primary.
    Duration lag(Instant now) const;

    /// Whole state. The cost is linear in its size.
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
    std::optional<Instant> lastHeardFromPrimary;
    Duration oldestUnsentAge {};
};

} // namespace Lavendervane::StandIn
