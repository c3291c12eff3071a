#include "Statements/CallerSession.h"

#include "Statements/StatementService.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lavendervane {

CallerSession::CallerSession(StatementService& service, CallerLink& link)
    : service(service)
    , link(&link)
{
}

CallerSession::~CallerSession() = default;

void CallerSession::openSession(const std::string& name, const std::string& key)
{
    const Directory* directory = this->service.directory();
    if (!directory) {
        this->link->refuse(AnswerCode::Busy, "no configuration yet");
        return;
    }
    this->database = name;
    if (!key.empty())
        this->keyDigest = directory->keyDigest(key);
    const SessionRoute* route = this->currentRoute();
    if (!route) {
        this->link->refuse(AnswerCode::UnknownDatabase, name);
        return;
    }
    OrganisationId organisation;
    if (!this->authorise(*route, organisation)) {
        this->link->refuse(AnswerCode::Unauthenticated, "unknown key");
        return;
    }
    this->isOpen = true;
    this->link->accept();
}

const SessionRoute* CallerSession::currentRoute() const { return this->service.directory()->findRoute(this->database); }

bool CallerSession::authorise(const SessionRoute& route, OrganisationId& organisation) const
{
    if (route.isPublic)
        return true;
    const SessionOrganisation* holder = this->service.directory()->findOrganisation(this->keyDigest);
    if (!holder)
        return false;
    organisation = holder->name;
    return true;
}

void CallerSession::handleStatement(Statement next)
{
    assert(this->isOpen && !this->isStatementPending);
    // After a pause of the process, statements may be handled before the timer that ends such transactions.
    if (this->isTransactionEvacuated())
        this->checkTransaction();
    this->isStatementPending = true;
    this->currentArrival = this->service.timers().now();
    this->currentStatement = {};
    this->currentStatement.kind = next.kind;
    this->currentStatement.id = next.id;
    if (this->transaction && this->transaction->idleTimer) {
        this->service.timers().cancel(*this->transaction->idleTimer);
        this->transaction->idleTimer.reset();
    }
    switch (next.kind) {
    case StatementKind::SetValue:
        this->setValue(next);
        return;
    case StatementKind::Prepare:
        this->prepare(next);
        return;
    case StatementKind::Deallocate:
        this->deallocate(next);
        return;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        this->begin(next);
        return;
    case StatementKind::Rollback:
        this->rollback();
        return;
    case StatementKind::Commit:
        this->commit(std::move(next));
        return;
    case StatementKind::Read:
    case StatementKind::Write:
    case StatementKind::Execute:
        if (next.kind == StatementKind::Execute && !this->preparedStatements.count(next.name)) {
            if (this->transaction)
                this->transaction->failed = true;
            this->refuse(AnswerCode::UnknownPrepared, next.name);
        } else if (this->transaction) {
            this->runInTransaction(std::move(next));
        } else {
            this->runSingleStatement(std::move(next));
        }
        return;
    case StatementKind::Reset:
    case StatementKind::Status:
    case StatementKind::StepDown:
    case StatementKind::Pause:
    case StatementKind::Resume:
    case StatementKind::Malformed:
        this->refuse(AnswerCode::Malformed, "unknown statement");
        return;
    }
}

void CallerSession::handleRefusedMessage(const std::string& reason)
{
    this->service.log().messageRefused(this->database, reason);
}

// Memory of an entry besides its texts.
static constexpr size_t entryOverhead = 128;

static size_t keptSize(const std::string& name, const std::string& text)
{
    return entryOverhead + name.size() + text.size();
}

// Accounts for an entry of the session that takes `after` bytes in place of `before`. Refuses the statement and returns
// false if the session or the process would keep too much.
bool CallerSession::reserve(size_t before, size_t after)
{
    const size_t kept = this->keptBytes - before + after;
    AnswerCode refusal = AnswerCode::Done;
    if (after > before && !this->service.sessionState().allowsSession(kept))
        refusal = AnswerCode::TooLarge;
    else if (after > before && !this->service.makeRoom(*this, kept, after - before))
        refusal = AnswerCode::Busy;
    if (refusal != AnswerCode::Done) {
        if (this->transaction)
            this->transaction->failed = true;
        this->refuse(refusal, "the session's values and prepared statements take too much memory");
        return false;
    }
    this->service.sessionState().replace(before, after);
    this->keptBytes = kept;
    return true;
}

void CallerSession::evict()
{
    if (!this->link)
        return;
    const std::string reason = "the session's values and prepared statements take too much memory";
    this->service.log().messageRefused(this->database, reason);
    this->link->refuse(AnswerCode::TooLarge, reason);
}

void CallerSession::setValue(const Statement& set)
{
    if (this->transaction && this->transaction->failed) {
        this->refuseInFailedTransaction();
        return;
    }
    const auto known = this->values.all().find(set.name);
    if (!this->reserve(
            known == this->values.all().end() ? 0 : keptSize(set.name, known->second), keptSize(set.name, set.text)))
        return;
    this->values.set(set.name, set.text);
    this->answer({});
}

void CallerSession::prepare(const Statement& definition)
{
    if (this->transaction && this->transaction->failed) {
        this->refuseInFailedTransaction();
        return;
    }
    const auto known = this->preparedStatements.find(definition.name);
    if (!this->reserve(known == this->preparedStatements.end() ? 0 : keptSize(known->first, known->second.text),
            keptSize(definition.name, definition.text)))
        return;
    this->preparedStatements[definition.name] = { definition.effect, definition.text };
    this->answer({});
}

void CallerSession::deallocate(const Statement& named)
{
    if (this->transaction && this->transaction->failed) {
        this->refuseInFailedTransaction();
        return;
    }
    const auto known = this->preparedStatements.find(named.name);
    if (known == this->preparedStatements.end()) {
        if (this->transaction)
            this->transaction->failed = true;
        this->refuse(AnswerCode::UnknownPrepared, named.name);
        return;
    }
    this->reserve(keptSize(known->first, known->second.text), 0);
    this->preparedStatements.erase(known);
    this->answer({});
}

bool CallerSession::isWrite(const Statement& next) const
{
    if (next.kind == StatementKind::Write)
        return true;
    if (next.kind != StatementKind::Execute)
        return false;
    const auto found = this->preparedStatements.find(next.name);
    return found != this->preparedStatements.end() && found->second.effect == PreparedEffect::Write;
}

void CallerSession::recordPosition(const SessionRoute& route, Instant queryTime, const EndpointAnswer& reply)
{
    GroupTraffic* group = this->service.findGroup(route.group);
    if (group && reply.position)
        group->recordAnswer(queryTime, *reply.position);
}

void CallerSession::recordCommit(const GroupId& group, Instant sent, const EndpointAnswer& reply)
{
    if (GroupTraffic* traffic = this->service.findGroup(group))
        traffic->recordCommit(sent, reply.position);
    if (!reply.position)
        return;
    LogPosition& newest = this->lastCommits[group];
    newest = std::max(newest, *reply.position);
}

void CallerSession::answer(const CallerAnswer& reply)
{
    this->isStatementPending = false;
    if (!this->link)
        return;
    CallerAnswer final = reply;
    if (this->transaction)
        final.state = this->transaction->failed && this->transaction->failure.empty() ? TransactionState::Failed
                                                                                      : TransactionState::Open;
    this->link->answer(final);
    std::string().swap(this->currentStatement.text);
    this->checkTransaction();
    if (this->transaction && !this->transaction->failed)
        this->startIdleTimer();
    if (this->service.shouldCloseSessions())
        this->closeIfIdle();
}

void CallerSession::refuse(AnswerCode code, const std::string& reason)
{
    const CallerAnswer reply { code, "", reason, TransactionState::Idle };
    this->logFailure(reply, reason);
    this->answer(reply);
}

void CallerSession::logFailure(const CallerAnswer& reply, const std::string& reason) const
{
    FailedStatement failed;
    failed.id = this->currentStatement.id;
    failed.database = this->database;
    failed.code = reply.code;
    failed.reason = reason;
    failed.duration = this->service.timers().now() - this->currentArrival;
    failed.configurationVersion = this->service.directory()->configuration().version;
    if (this->operation) {
        failed.organisation = this->operation->organisation;
        failed.attempts = this->operation->attempts;
        if (this->operation->pool)
            failed.endpoint = this->operation->pool->endpoint().id;
    } else if (this->transaction) {
        failed.organisation = this->transaction->organisation;
        failed.endpoint = this->transaction->endpoint.id;
    }
    this->service.log().statementFailed(failed);
}

// A transaction belongs to the organisation that held the key when it began.
bool CallerSession::isKeyWithdrawn() const
{
    if (!this->hasOpenTransaction())
        return false;
    OrganisationId holder = this->transaction->organisation;
    return !this->authorise(this->transaction->route, holder) || holder != this->transaction->organisation;
}

void CallerSession::closeIfIdle()
{
    if (this->isStatementPending || this->transaction || !this->link)
        return;
    this->link->close();
}

void CallerSession::handleDisconnect()
{
    const auto self = this->shared_from_this();
    this->link = nullptr;
    this->dropOperation();
    if (this->transaction) {
        // A pending statement keeps its connection; its callback closes or releases the connection.
        if (this->isStatementPending && this->transaction->connection)
            this->transaction.reset();
        else
            this->endTransaction(true);
    }
    this->service.removeSession(*this);
}

} // namespace Lavendervane
