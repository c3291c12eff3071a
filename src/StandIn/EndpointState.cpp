#include "StandIn/EndpointState.h"

#include "Core/Error.h"

#include <utility>

namespace Lavendervane::StandIn {

EndpointState::EndpointState(std::string ownAddress)
    : ownAddress(std::move(ownAddress))
{
}

void EndpointState::startAsFirstPrimary(Instant now)
{
    this->promisedTerm = { 1, VmId() };
    this->promote(this->promisedTerm, now);
}

void EndpointState::raisePromisedTerm(const Term& term)
{
    if (term <= this->promisedTerm)
        return;
    this->promisedTerm = term;
    this->actsAsPrimary = false;
    this->currentPrimary.clear();
}

FenceResponse EndpointState::fence(const Term& term)
{
    const bool accepted = term >= this->promisedTerm;
    this->raisePromisedTerm(term);
    return { accepted, this->promisedTerm, this->term(), this->position() };
}

bool EndpointState::promote(const Term& term, Instant now)
{
    if (term != this->promisedTerm)
        return false;
    if (this->actsAsPrimary)
        return true;
    // An entry of this term in the log shows that the term already has another primary. A term has at most one.
    if (this->term() == term)
        return false;
    this->actsAsPrimary = true;
    this->currentPrimary = this->ownAddress;
    this->append({ term, "", {}, "", "", Json::array(), now });
    return true;
}

bool EndpointState::follow(const Term& term, const std::string& primary)
{
    if (term < this->promisedTerm || (this->actsAsPrimary && term == this->promisedTerm))
        return false;
    this->raisePromisedTerm(term);
    this->currentPrimary = primary;
    return true;
}

ReplicateResponse EndpointState::replicate(const ReplicateRequest& request)
{
    if (!this->follow(request.term, request.primary))
        return { false, this->promisedTerm, this->position() };
    this->lastHeardFromPrimary = request.now;
    this->oldestUnsentAge = request.oldestUnsentAge;
    if (request.previousPosition > this->position())
        return { false, this->promisedTerm, this->position() };
    if (request.previousPosition && this->entry(request.previousPosition).term != request.previousTerm)
        return { false, this->promisedTerm, request.previousPosition - 1 };

    uint64_t position = request.previousPosition;
    for (const LogEntry& entry : request.entries) {
        ++position;
        // Truncates only at an entry that differs: equal entries may already count towards a confirmed majority.
        if (position <= this->position() && this->entry(position).term != entry.term)
            this->truncate(position - 1);
        if (position > this->position())
            this->append(entry);
    }
    return { true, this->promisedTerm, position };
}

std::string EndpointState::writeRejectionCode(const Term& term) const
{
    if (term != this->term() || term < this->promisedTerm)
        return "wrong_term";
    return this->actsAsPrimary ? "" : "not_primary";
}

RequestResult EndpointState::runStatements(Transaction& transaction, const std::vector<Statement>& statements) const
{
    RequestResult result;
    result.position = this->position();
    try {
        result.results = transaction.run(statements, this->contents);
    } catch (const Error& error) {
        result.code = "bad_request";
        result.message = error.message();
        return result;
    }
    if (transaction.hasConflict(this->contents)) {
        result.code = "busy";
        result.message = "another transaction wrote a key that this transaction uses";
        result.results = Json::array();
    }
    return result;
}

RequestResult EndpointState::execute(Transaction& transaction, const std::vector<Statement>& statements,
    const std::string& idempotencyKey, const std::string& digest, Instant now)
{
    if (!transaction.mayWrite())
        return this->runStatements(transaction, statements);
    if (const std::string code = this->writeRejectionCode(transaction.term()); !code.empty())
        return { code, "", Json::array(), this->position(), false };
    // A recorded write must not run again: it could fail because of the data that its first run changed.
    if (this->contents.findRecord(transaction.organisation(), idempotencyKey))
        return this->commit(transaction, idempotencyKey, digest, Json::array(), now);
    RequestResult result = this->runStatements(transaction, statements);
    if (!result.code.empty())
        return result;
    return this->commit(transaction, idempotencyKey, digest, std::move(result.results), now);
}

RequestResult EndpointState::commit(
    Transaction& transaction, const std::string& idempotencyKey, const std::string& digest, Json results, Instant now)
{
    RequestResult result;
    result.position = this->position();
    if (!transaction.mayWrite()) {
        result.results = std::move(results);
        return result;
    }
    result.code = this->writeRejectionCode(transaction.term());
    if (!result.code.empty())
        return result;
    if (const auto* record = this->contents.findRecord(transaction.organisation(), idempotencyKey)) {
        if (record->digest != digest) {
            result.code = "idempotency_conflict";
            return result;
        }
        return { "", "", record->results, record->position, true };
    }
    if (transaction.hasConflict(this->contents)) {
        result.code = "busy";
        result.message = "another transaction wrote a key that this transaction uses";
        return result;
    }
    if (!transaction.writes().empty() || !idempotencyKey.empty()) {
        this->append({ transaction.term(), transaction.organisation(), transaction.writes(), idempotencyKey, digest,
            results, now });
    }
    result.results = std::move(results);
    result.position = this->position();
    return result;
}

void EndpointState::append(LogEntry entry)
{
    if (this->log.empty() || this->log.back().term != entry.term)
        this->firstPositionOfTerm = this->log.size() + 1;
    this->log.push_back(std::move(entry));
    this->contents.apply(this->log.back(), this->log.size());
}

void EndpointState::truncate(uint64_t lastPosition)
{
    this->log.resize(lastPosition);
    this->firstPositionOfTerm = lastPosition;
    while (this->firstPositionOfTerm > 1 && this->entry(this->firstPositionOfTerm - 1).term == this->term())
        --this->firstPositionOfTerm;
    this->contents = {};
    for (uint64_t position = 1; position <= lastPosition; ++position)
        this->contents.apply(this->entry(position), position);
}

Duration EndpointState::timeSincePrimaryHeard(Instant now) const
{
    if (this->actsAsPrimary)
        return {};
    return now - this->lastHeardFromPrimary.value_or(Instant {});
}

Duration EndpointState::lag(Instant now) const
{
    if (this->actsAsPrimary)
        return {};
    return this->oldestUnsentAge + this->timeSincePrimaryHeard(now);
}

Json EndpointState::dump() const
{
    Json entries = Json::array();
    for (uint64_t position = 1; position <= this->position(); ++position) {
        Json entry = toJson(this->entry(position));
        entry["position"] = position;
        entries.push_back(std::move(entry));
    }
    return { { "address", this->ownAddress }, { "role", this->actsAsPrimary ? "primary" : "replica" },
        { "promised", toJson(this->promisedTerm) }, { "term", toJson(this->term()) }, { "log", std::move(entries) },
        { "records", this->contents.dumpRecords() }, { "data", this->contents.dumpData() } };
}

} // namespace Lavendervane::StandIn
