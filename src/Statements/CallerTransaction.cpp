// Transactions of a caller's session, from their begin at an endpoint to their commit or rollback.
#include "Statements/CallerSession.h"

#include "Statements/StatementService.h"

#include <cassert>
#include <utility>

namespace Lavendervane {

void CallerSession::runInTransaction(Statement next)
{
    Transaction& open = *this->transaction;
    if (open.failed) {
        this->refuseInFailedTransaction();
        return;
    }
    if (open.connection) {
        this->sendInTransaction(next);
        return;
    }
    Operation starting;
    starting.route = open.route;
    starting.organisation = open.organisation;
    starting.organisationRegions = open.organisationRegions;
    starting.arrival = this->currentArrival;
    starting.deadline = this->currentArrival + open.route.statementTimeout;
    starting.startsTransaction = true;
    starting.isAdmitted = !open.organisation.empty();
    // A database that is no longer the primary refuses only transactions that may write, so a plain begin is used
    // unless any replica may serve the transaction.
    const bool anyReplica = open.readOnly && open.route.consistency != Consistency::Primary;
    starting.statement = makeProxyStatement(anyReplica ? StatementKind::BeginReadOnly : StatementKind::Begin);
    starting.statement.id.clear();
    this->operation = std::move(starting);
    this->currentStatement = std::move(next);
    this->startAttempt();
}

// Sends the begin together with the caller's first statement, which runs only after the begin has succeeded.
void CallerSession::sendBegin(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    Statement begin = this->operation->statement;
    begin.needsUniqueAnswer = true;
    if (!begin.requiredPosition)
        begin.kind = StatementKind::Begin; // without a known position, only the primary may serve the transaction
    this->sendGuarded(connection, begin, this->currentStatement, false,
        [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            self->recordGuardedBatch(connection, result);
            if (!self->operation || !self->transaction)
                connection->close();
            else if (result.isRestWithheld)
                self->handleWithheldRest(connection, result);
            else
                self->handleFirstAnswer(connection, std::move(result), sent);
        });
}

// Handles the answer to the first statement of a transaction, which has been sent.
void CallerSession::handleFirstAnswer(
    const std::shared_ptr<PooledConnection>& connection, ExchangeResult result, Instant sent)
{
    Operation& running = *this->operation;
    Transaction& open = *this->transaction;
    const bool isCommit = this->currentStatement.kind == StatementKind::Commit;
    const bool writes = this->isWrite(this->currentStatement);
    running.isSent = false;
    if (!result.hasAnswers() && !isCommit && !writes) {
        running.mayHaveRun = true;
        running.triedEndpoints.push_back(running.pool->endpoint().id);
        this->repeatRead(AnswerCode::Aborted, result.describeFailure());
        return;
    }
    const bool needsPrimary = !running.statement.requiredPosition;
    if (needsPrimary)
        open.unrecordedBegin = sent;
    open.connection = connection;
    open.endpoint = running.pool->endpoint();
    open.wrote = writes;
    this->dropOperation();
    if (isCommit) {
        this->handleCommitAnswer(std::move(result), sent);
    } else if (result.hasAnswers() && needsPrimary && !this->mayUsePrimary(open.endpoint)) {
        // Closing the connection rolls the transaction back.
        connection->close();
        open.connection.reset();
        open.failed = true;
        this->refuse(AnswerCode::Aborted, "the lease on the primary expired before the answer");
    } else {
        this->handleTransactionAnswer(std::move(result));
    }
}

void CallerSession::sendInTransaction(const Statement& next)
{
    Transaction& open = *this->transaction;
    if (!open.connection->isAlive()) {
        this->handleTransactionAnswer({});
        return;
    }
    if (this->isWrite(next))
        open.wrote = true;
    const auto connection = open.connection;
    if (connection->pool())
        connection->pool()->recordColdStart();
    connection->exchange(
        this->withSetupStatements(connection, next), { this->currentArrival + open.route.statementTimeout },
        [self = this->shared_from_this(), connection](ExchangeResult result) {
            if (self->transaction && self->transaction->connection == connection) {
                self->handleTransactionAnswer(std::move(result));
                return;
            }
            // The caller has disconnected, or the transaction has been aborted in the meantime.
            connection->close();
        },
        this->shared_from_this());
}

// Returns why the pending statement must not be sent in the open transaction; empty if it may.
std::string CallerSession::reasonNotToContinue() const
{
    const Transaction& open = *this->transaction;
    const EndpointPool* pool = open.connection ? open.connection->pool() : nullptr;
    if (pool && !pool->endpoint().acceptsStatements(this->service.timers().now()))
        return "the data centre of the endpoint is evacuated";
    if (this->currentStatement.kind == StatementKind::Commit && open.wrote && !this->mayUsePrimary(open.endpoint))
        return "the lease on the primary expired before the commit";
    return {};
}

void CallerSession::handleTransactionAnswer(ExchangeResult result)
{
    Transaction& open = *this->transaction;
    if (!result.hasAnswers()) {
        // The database rolls the transaction back when its connection is closed.
        open.connection.reset();
        open.failed = true;
        const std::string message = result.timedOut ? "no answer in time" : "the connection broke";
        CallerAnswer reply { AnswerCode::Aborted, "", message, TransactionState::Failed };
        this->logFailure(reply, result.describeFailure());
        this->answer(reply);
        return;
    }
    EndpointAnswer& reply = result.answers.back();
    if (reply.code == AnswerCode::UnknownPrepared)
        open.connection->forgetPrepared();
    if (reply.code == AnswerCode::Done)
        this->recordBegin(reply);
    if (reply.code == AnswerCode::Done)
        this->service.log().statementDone(open.readOnly, this->service.timers().now() - this->currentArrival);
    if (reply.state != TransactionState::Open)
        open.failed = true;
    // An error leaves a transaction open or failed. Without one, this is the answer to a begin that was refused, while
    // a repetition of an older answer was taken for it.
    open.mayHaveRunOutside = reply.code != AnswerCode::Done && reply.state == TransactionState::Idle && open.wrote;
    CallerAnswer toCaller { open.mayHaveRunOutside ? AnswerCode::InDoubt : reply.code, std::move(reply.result),
        reply.message, open.failed ? TransactionState::Failed : TransactionState::Open };
    if (reply.code != AnswerCode::Done)
        this->logFailure(toCaller, "the endpoint answered with an error");
    this->answer(toCaller);
}

// Records the position in the first signed answer. The answer to the begin is unsigned and may repeat an older one,
// with the position of that time.
void CallerSession::recordBegin(const EndpointAnswer& first)
{
    if (const auto sent = std::exchange(this->transaction->unrecordedBegin, std::nullopt))
        this->recordPosition(this->transaction->route, *sent, first);
}

void CallerSession::commit(Statement next)
{
    if (!this->transaction) {
        this->refuse(AnswerCode::Malformed, "no transaction");
        return;
    }
    Transaction& open = *this->transaction;
    if (!open.failed && !open.connection) {
        // Only the endpoint may report a successful commit, so an empty transaction is committed there too.
        this->runInTransaction(std::move(next));
        return;
    }
    if (open.failed || !open.connection->isAlive()) {
        const std::string reason = open.failure.empty() ? "the transaction has failed" : open.failure;
        const AnswerCode outcome = open.mayHaveRunOutside ? AnswerCode::InDoubt : AnswerCode::Aborted;
        this->endTransaction(true);
        this->refuse(outcome, reason);
        return;
    }
    if (const std::string reason = this->reasonNotToContinue(); !reason.empty()) {
        this->endTransaction(true);
        this->refuse(AnswerCode::Aborted, reason);
        return;
    }
    const Instant sent = this->service.timers().now();
    const auto connection = open.connection;
    // Values may have been set since the last statement, and the endpoint commits under those of the connection.
    connection->exchange(
        this->withSetupStatements(connection, next), { this->currentArrival + open.route.statementTimeout },
        [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            if (self->transaction && self->transaction->connection == connection)
                self->handleCommitAnswer(std::move(result), sent);
            else if (connection->isAlive() && connection->pool())
                connection->pool()->release(connection);
        },
        this->shared_from_this());
}

void CallerSession::handleCommitAnswer(ExchangeResult result, Instant sent)
{
    const bool wrote = this->transaction->wrote;
    const SessionRoute route = this->transaction->route;
    const RegisteredEndpoint endpoint = this->transaction->endpoint;
    if (!result.hasAnswers()) {
        this->endTransaction(false);
        const std::string message = result.timedOut ? "no answer to the commit in time" : "the connection broke";
        // A transaction without writes has no effect that could be in doubt, nor has a commit that was not sent.
        const bool isInDoubt = wrote && !result.isRestWithheld;
        CallerAnswer reply { isInDoubt ? AnswerCode::InDoubt : AnswerCode::Aborted, "", message };
        this->logFailure(reply, result.describeFailure());
        this->answer(reply);
        return;
    }
    EndpointAnswer& reply = result.answers.back();
    if (reply.code == AnswerCode::Done)
        this->recordBegin(reply);
    if (reply.code == AnswerCode::Done && wrote && !this->mayUsePrimary(endpoint)) {
        // Another endpoint may have been promoted before the commit.
        this->endTransaction(reply.state != TransactionState::Idle);
        this->refuse(AnswerCode::InDoubt, "the lease on the primary expired before the answer to the commit");
        return;
    }
    if (reply.code == AnswerCode::Done && wrote) {
        this->recordPosition(route, sent, reply);
        this->recordCommit(route.group, sent, reply);
    }
    this->endTransaction(reply.state != TransactionState::Idle);
    CallerAnswer toCaller { reply.code, std::move(reply.result), reply.message, TransactionState::Idle };
    if (reply.code != AnswerCode::Done)
        this->logFailure(toCaller, "the endpoint answered with an error");
    this->answer(toCaller);
}

void CallerSession::rollback()
{
    if (!this->transaction) {
        this->refuse(AnswerCode::Malformed, "no transaction");
        return;
    }
    this->endTransaction(true);
    this->answer({});
}

// Ends the transaction and releases its connection, after a rollback if `sendRollback` is set.
void CallerSession::endTransaction(bool sendRollback)
{
    Transaction ended = std::move(*this->transaction);
    this->transaction.reset();
    if (ended.idleTimer)
        this->service.timers().cancel(*ended.idleTimer);
    const auto connection = ended.connection;
    if (!connection || !connection->isAlive())
        return;
    if (const EndpointPool* pool = connection->pool();
        sendRollback && pool && !pool->endpoint().acceptsStatements(this->service.timers().now())) {
        // The database rolls the transaction back when its connection is closed.
        connection->close();
        return;
    }
    if (!sendRollback) {
        if (connection->pool())
            connection->pool()->release(connection);
        return;
    }
    const Instant deadline = this->service.timers().now() + ended.route.statementTimeout;
    connection->exchange(
        { makeProxyStatement(StatementKind::Rollback) }, { deadline }, [connection](const ExchangeResult&) {
            if (connection->isAlive() && connection->pool())
                connection->pool()->release(connection);
        });
}

// True if the open transaction runs in a data centre that is evacuated, and its time there has passed.
bool CallerSession::isTransactionEvacuated() const
{
    if (!this->hasOpenTransaction() || !this->transaction->connection)
        return false;
    const EndpointPool* pool = this->transaction->connection->pool();
    return pool && !pool->endpoint().acceptsTransactions(this->service.timers().now());
}

// Returns the reason for which the open transaction must not go on; empty if it may.
std::string CallerSession::reasonToAbort() const
{
    if (this->service.endsTransactions())
        return "the proxy is stopping";
    if (this->isKeyWithdrawn())
        return "the key has been withdrawn";
    if (this->isTransactionEvacuated())
        return "the data centre of the endpoint is evacuated";
    return {};
}

void CallerSession::checkTransaction()
{
    if (!this->hasOpenTransaction() || this->isStatementPending)
        return;
    const std::string reason = this->reasonToAbort();
    if (reason.empty())
        return;
    if (this->isTransactionEvacuated())
        this->service.log().transactionEvacuated(this->transaction->endpoint.id);
    this->abortTransaction(reason);
}

void CallerSession::abortTransaction(const std::string& reason)
{
    assert(this->hasOpenTransaction() && !this->isStatementPending);
    Transaction replacement = *this->transaction;
    this->endTransaction(true);
    replacement.connection.reset();
    replacement.idleTimer.reset();
    replacement.failed = true;
    replacement.failure = reason;
    this->transaction = std::move(replacement);
}

// The first statement after an abort learns the reason.
void CallerSession::refuseInFailedTransaction()
{
    const std::string failure = std::exchange(this->transaction->failure, "");
    if (failure.empty())
        this->refuse(AnswerCode::Malformed, "the transaction has failed");
    else
        this->refuse(AnswerCode::Aborted, failure);
}

void CallerSession::startIdleTimer()
{
    const Duration limit = this->service.directory()->configuration().transactionIdleLimit;
    if (limit == Duration {} || !this->transaction->connection)
        return;
    this->transaction->idleTimer = this->service.timers().schedule(this->service.timers().now() + limit, [this] {
        this->transaction->idleTimer.reset();
        this->abortTransaction("the transaction was idle for too long");
    });
}

} // namespace Lavendervane
