#include "Statements/CallerSession.h"

#include "Statements/StatementService.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lavendervane {

// Endpoints that one operation asks at most; a group has three, and a change of primary may need each twice.
static constexpr uint32_t maximumAttempts = 8;

CallerSession::CallerSession(StatementService& service, CallerLink& link)
    : service(service)
    , link(&link)
{
}

CallerSession::~CallerSession() = default;

void CallerSession::open(const std::string& name, const std::string& key)
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
    if (!this->authorised(*route, organisation)) {
        this->link->refuse(AnswerCode::Unauthenticated, "unknown key");
        return;
    }
    this->opened = true;
    this->link->accept();
}

const SessionRoute* CallerSession::currentRoute() const { return this->service.directory()->findRoute(this->database); }

bool CallerSession::authorised(const SessionRoute& route, OrganisationId& organisation) const
{
    if (route.openToAll)
        return true;
    const SessionOrganisation* holder = this->service.directory()->findOrganisation(this->keyDigest);
    if (!holder)
        return false;
    organisation = holder->name;
    return true;
}

void CallerSession::statement(Statement next)
{
    assert(this->opened && !this->outstanding);
    this->outstanding = true;
    this->currentArrival = this->service.timers().now();
    this->current = next;
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
            this->runSingle(std::move(next));
        }
        return;
    case StatementKind::Reset:
    case StatementKind::Status:
    case StatementKind::StepDown:
    case StatementKind::Malformed:
        this->refuse(AnswerCode::Malformed, "unknown statement");
        return;
    }
}

void CallerSession::setValue(const Statement& set)
{
    if (this->transaction && this->transaction->failed) {
        this->refuse(AnswerCode::Malformed, "the transaction has failed");
        return;
    }
    this->values.set(set.name, set.text);
    this->answer({});
}

void CallerSession::prepare(const Statement& definition)
{
    if (this->transaction && this->transaction->failed) {
        this->refuse(AnswerCode::Malformed, "the transaction has failed");
        return;
    }
    this->preparedStatements[definition.name] = { definition.effect, definition.text };
    this->answer({});
}

void CallerSession::deallocate(const Statement& named)
{
    if (this->transaction && this->transaction->failed) {
        this->refuse(AnswerCode::Malformed, "the transaction has failed");
        return;
    }
    if (!this->preparedStatements.erase(named.name)) {
        if (this->transaction)
            this->transaction->failed = true;
        this->refuse(AnswerCode::UnknownPrepared, named.name);
        return;
    }
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

// ---- Operations outside a transaction, and the admission of both kinds

void CallerSession::runSingle(Statement next)
{
    const SessionRoute* route = this->currentRoute();
    if (!route) {
        this->refuse(AnswerCode::UnknownDatabase, this->database);
        return;
    }
    Operation started;
    if (!this->authorised(*route, started.organisation)) {
        this->refuse(AnswerCode::Unauthenticated, "the key has been withdrawn");
        return;
    }
    started.route = *route;
    started.writes = this->isWrite(next);
    started.arrival = this->currentArrival;
    started.deadline = started.arrival + route->statementTimeout;
    started.statement = std::move(next);
    this->operation = std::move(started);
    this->admit();
}

void CallerSession::begin(const Statement& next)
{
    if (this->transaction) {
        this->transaction->failed = true;
        this->refuse(AnswerCode::Malformed, "a transaction is open");
        return;
    }
    const SessionRoute* route = this->currentRoute();
    if (!route) {
        this->refuse(AnswerCode::UnknownDatabase, this->database);
        return;
    }
    Operation started;
    if (!this->authorised(*route, started.organisation)) {
        this->refuse(AnswerCode::Unauthenticated, "the key has been withdrawn");
        return;
    }
    started.route = *route;
    started.arrival = this->currentArrival;
    started.deadline = started.arrival + route->statementTimeout;
    started.startsTransaction = true;
    started.statement = next;
    this->operation = std::move(started);
    this->admit();
}

void CallerSession::admit()
{
    if (this->operation->organisation.empty()) {
        this->admitted();
        return;
    }
    const uint64_t number
        = this->service.admission().admit(this->operation->organisation, [self = this->shared_from_this()](bool taken) {
              if (!self->operation)
                  return;
              self->operation->admissionWait = 0;
              if (taken)
                  self->admitted();
              else
                  self->finishOperation({ AnswerCode::TooMany, "", "rate limit; retry after 500 ms" },
                      "the organisation's limit is used up");
          });
    // Without a wait, the operation may be over and another one begun.
    if (number && this->operation)
        this->operation->admissionWait = number;
}

void CallerSession::admitted()
{
    this->operation->admitted = true;
    if (!this->operation->startsTransaction) {
        this->attempt();
        return;
    }
    // The endpoint learns of the transaction with its first statement, so that a caller's pause before it costs no
    // connection.
    Transaction started;
    started.readOnly = this->operation->statement.kind == StatementKind::BeginReadOnly;
    started.route = this->operation->route;
    started.organisation = this->operation->organisation;
    started.begun = this->operation->arrival;
    this->operation.reset();
    this->transaction = std::move(started);
    this->answer({});
}

// ---- Attempts

void CallerSession::attempt()
{
    Operation& running = *this->operation;
    const Instant now = this->service.timers().now();
    GroupTraffic* group = this->service.findGroup(running.route.group);
    if (!group || now >= running.deadline || running.attempts >= maximumAttempts) {
        this->finishOperation(
            { AnswerCode::Busy, "", "no endpoint available; retry after 200 ms" }, "no endpoint left");
        return;
    }
    running.statement.requiredPosition.reset();
    running.wrapped = false;
    running.pool = this->choose(*group);
    if (!running.pool && running.statement.requiredPosition && !running.tried.empty()) {
        // All endpoints have been asked; replicas catch up and queues get shorter.
        running.tried.clear();
        this->tryAgain(
            AnswerCode::Busy, "all endpoints lag or are busy", this->service.settings().busyPause * running.attempts);
        return;
    }
    if (!running.pool) {
        this->waitForPrimary(*group);
        return;
    }
    ++running.attempts;
    const auto pool = running.pool;
    const uint64_t wait = pool->acquire(running.organisation, this->values.stamp(), running.deadline,
        [self = this->shared_from_this()](const Acquired& result) { self->acquired(result); });
    if (this->operation && this->operation->pool == pool)
        this->operation->wait = wait;
}

std::shared_ptr<EndpointPool> CallerSession::choose(GroupTraffic& group)
{
    Operation& running = *this->operation;
    const bool plainTransaction = running.startsTransaction && running.statement.kind == StatementKind::Begin;
    if (!running.writes && !plainTransaction && running.route.consistency != Consistency::Primary) {
        std::optional<LogPosition> own;
        if (const auto commit = this->commits.find(group.id());
            commit != this->commits.end() && running.route.consistency == Consistency::OwnWrites)
            own = commit->second;
        const auto required = group.freshness().required(running.arrival - running.route.maxStaleness, own);
        if (required) {
            running.statement.requiredPosition = required;
            return group.chooseForRead(*required, running.organisation, running.tried, this->service.timers().now());
        }
    }
    // A database that has just lost its role still answers plain reads from old data, but refuses a transaction that
    // may write and everything in it. This also holds for the question how far the log has come.
    running.wrapped = !running.writes && !running.startsTransaction;
    auto primary = group.primary();
    if (!primary || !primary->reachable())
        return nullptr;
    return primary;
}

void CallerSession::waitForPrimary(GroupTraffic& group)
{
    Operation& running = *this->operation;
    const Instant now = this->service.timers().now();
    const Instant latest = group.primaryExpected && *group.primaryExpected > now
        ? *group.primaryExpected + this->service.settings().roleChangeWait
        : running.arrival + this->service.settings().roleChangeWait;
    if (latest > running.deadline || now >= latest) {
        this->finishOperation(
            { AnswerCode::Busy, "", "no primary; retry after 500 ms" }, "the group has no reachable primary");
        return;
    }
    const auto again = [self = this->shared_from_this()] {
        if (!self->operation)
            return;
        if (self->operation->pause)
            self->service.timers().cancel(*self->operation->pause);
        self->operation->pause.reset();
        if (GroupTraffic* present = self->service.findGroup(self->operation->route.group))
            present->forget(self->operation->roleWait);
        self->operation->tried.clear();
        self->attempt();
    };
    running.roleWait = group.whenChanged(again);
    running.pause = this->service.timers().schedule(latest, again);
}

void CallerSession::acquired(const Acquired& result)
{
    if (!this->operation) {
        if (result.connection && result.connection->pool())
            result.connection->pool()->release(result.connection);
        return;
    }
    Operation& running = *this->operation;
    running.wait = 0;
    if (!result.connection) {
        running.tried.push_back(running.pool->endpoint().id);
        this->tryAgain(AnswerCode::Busy, result.reason, {});
        return;
    }
    if (running.startsTransaction)
        this->sendBegin(result.connection);
    else if (running.wrapped)
        this->sendWrapped(result.connection);
    else
        this->sendSingle(result.connection);
}

// Puts the caller's statement into the form that the connection knows, after what prepares the connection for it.
std::vector<Statement> CallerSession::withPrologue(
    const std::shared_ptr<PooledConnection>& connection, const Statement& next)
{
    std::vector<Statement> batch = connection->prologue(this->values);
    if (next.kind != StatementKind::Execute) {
        batch.push_back(next);
        return batch;
    }
    const PreparedStatement& definition = this->preparedStatements.at(next.name);
    const uint32_t number = this->service.preparedNumbers().number(definition);
    if (auto preparation = connection->prepare(number, definition))
        batch.push_back(std::move(*preparation));
    Statement execution = next;
    execution.name = preparedName(number);
    batch.push_back(std::move(execution));
    return batch;
}

void CallerSession::sendSingle(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    connection->exchange(this->withPrologue(connection, this->operation->statement), this->operation->deadline,
        [self = this->shared_from_this(), connection, sent](
            ExchangeResult result) { self->singleAnswered(connection, std::move(result), sent); });
}

void CallerSession::sendWrapped(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    std::vector<Statement> batch = connection->prologue(this->values);
    batch.push_back(ownStatement(StatementKind::Begin));
    connection->exchange(
        batch, this->operation->deadline, [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            if (!self->operation) {
                connection->close();
                return;
            }
            if (!result.answered() || result.answers.back().code != AnswerCode::Done) {
                self->singleAnswered(connection, std::move(result), sent);
                return;
            }
            self->learnPosition(self->operation->route, sent, result.answers.back());
            std::vector<Statement> reading = self->withPrologue(connection, self->operation->statement);
            reading.push_back(ownStatement(StatementKind::Rollback));
            connection->exchange(reading, self->operation->deadline, [self, connection, sent](ExchangeResult inner) {
                if (inner.answered())
                    inner.answers.pop_back();
                self->singleAnswered(connection, std::move(inner), sent);
            });
        });
}

void CallerSession::singleAnswered(
    const std::shared_ptr<PooledConnection>& connection, ExchangeResult result, Instant sent)
{
    if (!this->operation) {
        // The caller has left.
        if (connection->alive() && connection->pool())
            connection->pool()->release(connection);
        return;
    }
    Operation& running = *this->operation;
    if (!result.answered()) {
        running.mayHaveRun = true;
        if (running.writes) {
            const std::string reason = result.timedOut ? "no answer in time" : "the connection broke";
            this->finishOperation({ AnswerCode::InDoubt, "", reason }, reason);
            return;
        }
        // The read may have run, and one more run counts against the organisation's limit.
        if (!running.organisation.empty())
            this->service.shares().countRepeat(running.organisation, this->service.timers().now());
        running.tried.push_back(running.pool->endpoint().id);
        this->tryAgain(AnswerCode::Busy, "the connection broke", {});
        return;
    }
    const EndpointAnswer reply = std::move(result.answers.back());
    if (reply.code == AnswerCode::UnknownPrepared)
        connection->forgetPrepared();
    if (reply.code == AnswerCode::Done && running.writes) {
        this->learnPosition(running.route, sent, reply);
        if (reply.position)
            this->commits[running.route.group] = *reply.position;
    }
    if (connection->pool())
        connection->pool()->release(connection);
    switch (reply.code) {
    case AnswerCode::Done:
        this->service.log().statementDone(
            running.pool->endpoint().role == EndpointRole::Replica, this->service.timers().now() - running.arrival);
        this->finishOperation({ AnswerCode::Done, reply.result, "", TransactionState::Idle }, "");
        return;
    case AnswerCode::Busy:
    case AnswerCode::Lagging:
    case AnswerCode::ReadOnly:
    case AnswerCode::WrongEndpoint:
    case AnswerCode::TooMany:
    case AnswerCode::UnknownPrepared:
        this->endpointRefused(connection, reply);
        return;
    default:
        running.mayHaveRun = true;
        this->finishOperation({ reply.code, "", reply.message, TransactionState::Idle }, "the endpoint's answer");
        return;
    }
}

void CallerSession::endpointRefused(const std::shared_ptr<PooledConnection>&, const EndpointAnswer& reply)
{
    Operation& running = *this->operation;
    GroupTraffic* group = this->service.findGroup(running.route.group);
    const EndpointId endpoint = running.pool->endpoint().id;
    Duration pause {};
    if (reply.code == AnswerCode::ReadOnly && group)
        group->primaryRefused(endpoint);
    if (reply.code == AnswerCode::ReadOnly)
        this->service.checkIsolation();
    if (reply.code == AnswerCode::Lagging && group)
        group->markLagging(endpoint, this->service.timers().now());
    if (running.statement.requiredPosition)
        running.tried.push_back(endpoint);
    else if (reply.code == AnswerCode::Busy)
        pause = this->service.settings().busyPause * running.attempts;
    this->tryAgain(reply.code, reply.message, pause);
}

void CallerSession::tryAgain(AnswerCode lastCode, const std::string& reason, Duration pause)
{
    Operation& running = *this->operation;
    const Instant next = this->service.timers().now() + pause;
    if (next >= running.deadline || running.attempts >= maximumAttempts) {
        this->finishOperation({ lastCode, "", "retry after 200 ms" }, reason);
        return;
    }
    if (pause == Duration {}) {
        this->attempt();
        return;
    }
    running.pause = this->service.timers().schedule(next, [this] {
        this->operation->pause.reset();
        this->attempt();
    });
}

void CallerSession::finishOperation(const CallerAnswer& reply, const std::string& reason)
{
    if (this->operation->startsTransaction && this->transaction)
        this->transaction->failed = true;
    if (reply.code != AnswerCode::Done) {
        this->logFailure(reply, reason);
        // The limit is for what runs; a caller that comes back must not pay twice.
        if (this->operation->admitted && !this->operation->mayHaveRun)
            this->service.shares().giveBack(this->operation->organisation);
    }
    this->dropOperation();
    CallerAnswer final = reply;
    final.state = this->transaction ? TransactionState::Failed : TransactionState::Idle;
    this->answer(final);
}

void CallerSession::dropOperation()
{
    if (!this->operation)
        return;
    Operation ended = std::move(*this->operation);
    this->operation.reset();
    if (ended.pause)
        this->service.timers().cancel(*ended.pause);
    if (ended.admissionWait)
        this->service.admission().cancel(ended.admissionWait);
    if (ended.wait && ended.pool)
        ended.pool->cancel(ended.wait);
    if (ended.roleWait) {
        if (GroupTraffic* group = this->service.findGroup(ended.route.group))
            group->forget(ended.roleWait);
    }
}

// ---- Transactions

void CallerSession::runInTransaction(Statement next)
{
    Transaction& open = *this->transaction;
    if (open.failed) {
        const std::string failure = std::exchange(open.failure, "");
        if (failure.empty())
            this->refuse(AnswerCode::Malformed, "the transaction has failed");
        else
            this->refuse(AnswerCode::Aborted, failure);
        return;
    }
    OrganisationId organisation;
    if (!open.route.openToAll && !this->authorised(open.route, organisation)) {
        this->endTransaction(true);
        this->refuse(AnswerCode::Unauthenticated, "the key has been withdrawn");
        return;
    }
    if (open.connection) {
        this->sendInTransaction(next);
        return;
    }
    Operation starting;
    starting.route = open.route;
    starting.organisation = open.organisation;
    starting.arrival = this->currentArrival;
    starting.deadline = this->currentArrival + open.route.statementTimeout;
    starting.startsTransaction = true;
    starting.admitted = !open.organisation.empty();
    // Only a transaction that may write is refused by a database that has lost its role.
    const bool anyReplica = open.readOnly && open.route.consistency != Consistency::Primary;
    starting.statement = ownStatement(anyReplica ? StatementKind::BeginReadOnly : StatementKind::Begin);
    starting.statement.id.clear();
    this->operation = std::move(starting);
    this->current = std::move(next);
    this->attempt();
}

void CallerSession::sendBegin(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    std::vector<Statement> batch = connection->prologue(this->values);
    Statement begin = this->operation->statement;
    if (!begin.requiredPosition)
        begin.kind = StatementKind::Begin; // without a known position only the primary may serve the transaction
    batch.push_back(begin);
    connection->exchange(
        batch, this->operation->deadline, [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            if (!self->operation || !self->transaction) {
                connection->close();
                return;
            }
            Operation& running = *self->operation;
            if (!result.answered()) {
                running.tried.push_back(running.pool->endpoint().id);
                self->tryAgain(AnswerCode::Aborted, "the connection broke", {});
                return;
            }
            const EndpointAnswer& reply = result.answers.back();
            if (reply.code != AnswerCode::Done) {
                if (connection->pool())
                    connection->pool()->release(connection);
                self->endpointRefused(connection, reply);
                return;
            }
            if (!running.statement.requiredPosition)
                self->learnPosition(running.route, sent, reply);
            self->transaction->connection = connection;
            self->transaction->endpoint = running.pool->endpoint().id;
            self->dropOperation();
            Statement first = self->current;
            if (first.kind == StatementKind::Commit)
                self->commit(std::move(first));
            else
                self->sendInTransaction(first);
        });
}

void CallerSession::sendInTransaction(const Statement& next)
{
    Transaction& open = *this->transaction;
    if (!open.connection->alive()) {
        this->transactionAnswered(next, {}, {});
        return;
    }
    if (this->isWrite(next))
        open.wrote = true;
    const Instant sent = this->service.timers().now();
    const auto connection = open.connection;
    connection->exchange(this->withPrologue(connection, next), this->currentArrival + open.route.statementTimeout,
        [self = this->shared_from_this(), connection, next, sent](ExchangeResult result) {
            if (self->transaction && self->transaction->connection == connection) {
                self->transactionAnswered(next, std::move(result), sent);
                return;
            }
            // The caller has left or the transaction was aborted meanwhile.
            connection->close();
        });
}

void CallerSession::transactionAnswered(const Statement&, ExchangeResult result, Instant)
{
    Transaction& open = *this->transaction;
    if (!result.answered()) {
        // Without its connection the database rolls the transaction back.
        open.connection.reset();
        open.failed = true;
        const std::string reason = result.timedOut ? "no answer in time" : "the connection broke";
        CallerAnswer reply { AnswerCode::Aborted, "", reason, TransactionState::Failed };
        this->logFailure(reply, reason);
        this->answer(reply);
        return;
    }
    EndpointAnswer& reply = result.answers.back();
    if (reply.code == AnswerCode::UnknownPrepared)
        open.connection->forgetPrepared();
    if (reply.code == AnswerCode::Done)
        this->service.log().statementDone(open.readOnly, this->service.timers().now() - this->currentArrival);
    if (reply.state != TransactionState::Open)
        open.failed = true;
    CallerAnswer toCaller { reply.code, std::move(reply.result), reply.message,
        open.failed ? TransactionState::Failed : TransactionState::Open };
    if (reply.code != AnswerCode::Done)
        this->logFailure(toCaller, "the endpoint's answer");
    this->answer(toCaller);
}

void CallerSession::commit(Statement next)
{
    if (!this->transaction) {
        this->refuse(AnswerCode::Malformed, "no transaction");
        return;
    }
    Transaction& open = *this->transaction;
    if (!open.failed && !open.connection) {
        // The success of a commit is the endpoint's to give, so an empty transaction goes there too.
        this->runInTransaction(std::move(next));
        return;
    }
    if (open.failed || !open.connection->alive()) {
        this->endTransaction(true);
        this->refuse(AnswerCode::Aborted, "the transaction has failed");
        return;
    }
    const Instant sent = this->service.timers().now();
    const auto connection = open.connection;
    connection->exchange({ next }, this->currentArrival + open.route.statementTimeout,
        [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            if (self->transaction && self->transaction->connection == connection)
                self->commitAnswered(std::move(result), sent);
            else if (connection->alive() && connection->pool())
                connection->pool()->release(connection);
        });
}

void CallerSession::commitAnswered(ExchangeResult result, Instant sent)
{
    const bool wrote = this->transaction->wrote;
    const SessionRoute route = this->transaction->route;
    if (!result.answered()) {
        this->endTransaction(false);
        const std::string reason = result.timedOut ? "no answer to the commit in time" : "the connection broke";
        // A transaction that only read has nothing that could be kept.
        CallerAnswer reply { wrote ? AnswerCode::InDoubt : AnswerCode::Aborted, "", reason };
        this->logFailure(reply, reason);
        this->answer(reply);
        return;
    }
    EndpointAnswer& reply = result.answers.back();
    if (reply.code == AnswerCode::Done && wrote) {
        this->learnPosition(route, sent, reply);
        if (reply.position)
            this->commits[route.group] = *reply.position;
    }
    this->endTransaction(reply.state != TransactionState::Idle);
    CallerAnswer toCaller { reply.code, std::move(reply.result), reply.message, TransactionState::Idle };
    if (reply.code != AnswerCode::Done)
        this->logFailure(toCaller, "the endpoint's answer");
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

// Gives the transaction's connection back, after a rollback if the endpoint still has it open.
void CallerSession::endTransaction(bool commandRollback)
{
    Transaction ended = std::move(*this->transaction);
    this->transaction.reset();
    if (ended.idleTimer)
        this->service.timers().cancel(*ended.idleTimer);
    const auto connection = ended.connection;
    if (!connection || !connection->alive())
        return;
    if (!commandRollback) {
        if (connection->pool())
            connection->pool()->release(connection);
        return;
    }
    const Instant deadline = this->service.timers().now() + ended.route.statementTimeout;
    connection->exchange({ ownStatement(StatementKind::Rollback) }, deadline, [connection](const ExchangeResult&) {
        if (connection->alive() && connection->pool())
            connection->pool()->release(connection);
    });
}

void CallerSession::abortTransaction(const std::string& reason)
{
    if (!this->transaction || this->transaction->failed || this->outstanding)
        return;
    Transaction replacement = *this->transaction;
    this->endTransaction(true);
    replacement.connection.reset();
    replacement.idleTimer.reset();
    replacement.failed = true;
    replacement.failure = reason;
    this->transaction = std::move(replacement);
}

void CallerSession::watchIdleTransaction()
{
    const Duration limit = this->service.directory()->configuration().transactionIdleLimit;
    if (limit == Duration {} || !this->transaction->connection)
        return;
    this->transaction->idleTimer = this->service.timers().schedule(this->service.timers().now() + limit, [this] {
        this->transaction->idleTimer.reset();
        this->abortTransaction("the transaction was idle for too long");
    });
}

// ---- Common parts

void CallerSession::learnPosition(const SessionRoute& route, Instant asked, const EndpointAnswer& reply)
{
    GroupTraffic* group = this->service.findGroup(route.group);
    if (group && reply.position)
        group->freshness().learn(asked, *reply.position);
}

void CallerSession::answer(const CallerAnswer& reply)
{
    this->outstanding = false;
    if (!this->link)
        return;
    CallerAnswer final = reply;
    if (this->transaction)
        final.state = this->transaction->failed && this->transaction->failure.empty() ? TransactionState::Failed
                                                                                      : TransactionState::Open;
    this->link->answer(final);
    if (this->transaction && !this->transaction->failed)
        this->watchIdleTransaction();
    if (this->service.closing())
        this->closeWhenIdle();
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
    failed.id = this->current.id;
    failed.database = this->database;
    failed.code = reply.code;
    failed.reason = reason;
    failed.took = this->service.timers().now() - this->currentArrival;
    failed.configurationVersion = this->service.directory()->configuration().version;
    if (this->operation) {
        failed.organisation = this->operation->organisation;
        failed.attempts = this->operation->attempts;
        if (this->operation->pool)
            failed.endpoint = this->operation->pool->endpoint().id;
    } else if (this->transaction) {
        failed.organisation = this->transaction->organisation;
        failed.endpoint = this->transaction->endpoint;
    }
    this->service.log().statementFailed(failed);
}

void CallerSession::directoryChanged()
{
    if (!this->opened || !this->transaction || this->transaction->failed)
        return;
    OrganisationId organisation;
    if (!this->authorised(this->transaction->route, organisation))
        this->abortTransaction("the key has been withdrawn");
}

void CallerSession::closeWhenIdle()
{
    if (this->outstanding || this->transaction || !this->link)
        return;
    this->link->close();
}

void CallerSession::closed()
{
    const auto self = this->shared_from_this();
    this->link = nullptr;
    this->dropOperation();
    if (this->transaction) {
        // A statement that is still running keeps the connection; its answer ends it.
        if (this->outstanding && this->transaction->connection)
            this->transaction.reset();
        else
            this->endTransaction(true);
    }
    this->service.sessionEnded(*this);
}

} // namespace Lavendervane
