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

void EndpointState::raisePromise(const Term& term)
{
    if (term <= this->promisedTerm)
        return;
    this->promisedTerm = term;
    this->isPrimary = false;
    this->currentPrimary.clear();
}

FenceAnswer EndpointState::fence(const Term& term)
{
    const bool accepted = term >= this->promisedTerm;
    this->raisePromise(term);
    return { accepted, this->promisedTerm, this->term(), this->position() };
}

bool EndpointState::promote(const Term& term, Instant now)
{
    if (term != this->promisedTerm)
        return false;
    if (this->isPrimary)
        return true;
    // Another primary wrote the entry of this term. A term must not have two primaries.
    if (this->term() == term)
        return false;
    this->isPrimary = true;
    this->currentPrimary = this->ownAddress;
    this->append({ term, "", {}, "", "", Json::array(), now });
    return true;
}

bool EndpointState::follow(const Term& term, const std::string& primary)
{
    if (term < this->promisedTerm || (this->isPrimary && term == this->promisedTerm))
        return false;
    this->raisePromise(term);
    this->currentPrimary = primary;
    return true;
}

ReplicateAnswer EndpointState::replicate(const ReplicateRequest& request)
{
    if (!this->follow(request.term, request.primary))
        return { false, this->promisedTerm, this->position() };
    this->lastPrimaryContact = request.now;
    this->behind = request.behind;
    if (request.previousPosition > this->position())
        return { false, this->promisedTerm, this->position() };
    if (request.previousPosition && this->entry(request.previousPosition).term != request.previousTerm)
        return { false, this->promisedTerm, request.previousPosition - 1 };

    uint64_t position = request.previousPosition;
    for (const LogEntry& entry : request.entries) {
        ++position;
        // Only differing entries are removed, because matching entries may belong to a confirmed majority.
        if (position <= this->position() && this->entry(position).term != entry.term)
            this->truncate(position - 1);
        if (position > this->position())
            this->append(entry);
    }
    return { true, this->promisedTerm, position };
}

std::string EndpointState::writeRejection(const Term& term) const
{
    if (term != this->term() || term < this->promisedTerm)
        return "wrong_term";
    return this->isPrimary ? "" : "not_primary";
}

Answer EndpointState::run(Transaction& transaction, const std::vector<Statement>& statements) const
{
    Answer answer;
    answer.position = this->position();
    try {
        answer.results = transaction.run(statements, this->contents);
    } catch (const Error& error) {
        answer.code = "bad_request";
        answer.message = error.message();
        return answer;
    }
    if (transaction.hasConflict(this->contents)) {
        answer.code = "busy";
        answer.message = "another transaction wrote a key that this transaction uses";
        answer.results = Json::array();
    }
    return answer;
}

Answer EndpointState::execute(Transaction& transaction, const std::vector<Statement>& statements,
    const std::string& idempotencyKey, const std::string& digest, Instant now)
{
    if (!transaction.mayWrite())
        return this->run(transaction, statements);
    if (const std::string code = this->writeRejection(transaction.term()); !code.empty())
        return { code, "", Json::array(), this->position(), false };
    // A recorded write must not run again, because it could fail on data that it changed itself.
    if (this->contents.findRecord(transaction.organisation(), idempotencyKey))
        return this->commit(transaction, idempotencyKey, digest, Json::array(), now);
    Answer answer = this->run(transaction, statements);
    if (!answer.code.empty())
        return answer;
    return this->commit(transaction, idempotencyKey, digest, std::move(answer.results), now);
}

Answer EndpointState::commit(
    Transaction& transaction, const std::string& idempotencyKey, const std::string& digest, Json results, Instant now)
{
    Answer answer;
    answer.position = this->position();
    if (!transaction.mayWrite()) {
        answer.results = std::move(results);
        return answer;
    }
    answer.code = this->writeRejection(transaction.term());
    if (!answer.code.empty())
        return answer;
    if (const auto* record = this->contents.findRecord(transaction.organisation(), idempotencyKey)) {
        if (record->digest != digest) {
            answer.code = "idempotency_conflict";
            return answer;
        }
        return { "", "", record->results, record->position, true };
    }
    if (transaction.hasConflict(this->contents)) {
        answer.code = "busy";
        answer.message = "another transaction wrote a key that this transaction uses";
        return answer;
    }
    if (!transaction.writes().empty() || !idempotencyKey.empty()) {
        this->append({ transaction.term(), transaction.organisation(), transaction.writes(), idempotencyKey, digest,
            results, now });
    }
    answer.results = std::move(results);
    answer.position = this->position();
    return answer;
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

Duration EndpointState::timeSincePrimaryContact(Instant now) const
{
    if (this->isPrimary)
        return {};
    return now - this->lastPrimaryContact.value_or(Instant {});
}

Duration EndpointState::lag(Instant now) const
{
    if (this->isPrimary)
        return {};
    return this->behind + this->timeSincePrimaryContact(now);
}

Json EndpointState::dump() const
{
    Json entries = Json::array();
    for (uint64_t position = 1; position <= this->position(); ++position) {
        Json entry = toJson(this->entry(position));
        entry["position"] = position;
        entries.push_back(std::move(entry));
    }
    return { { "address", this->ownAddress }, { "role", this->isPrimary ? "primary" : "replica" },
        { "promised", toJson(this->promisedTerm) }, { "term", toJson(this->term()) }, { "log", std::move(entries) },
        { "records", this->contents.dumpRecords() }, { "data", this->contents.dumpData() } };
}

} // namespace Lavendervane::StandIn
