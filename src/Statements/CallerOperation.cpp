// Operations of a caller's session: admission, choice of an endpoint, attempts, and the answer.
#include "Statements/CallerSession.h"

#include "Statements/StatementService.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Endpoints that one operation asks at most; a group has three, and a change of primary may need each twice.
static constexpr uint32_t maximumAttempts = 8;

// Checks what every operation needs and starts it. Refuses the statement and returns false if it must not run.
bool CallerSession::startOperation(Statement next, bool startsTransaction)
{
    const SessionRoute* route = this->currentRoute();
    if (!route) {
        this->refuse(AnswerCode::UnknownDatabase, this->database);
        return false;
    }
    Operation started;
    if (!this->authorised(*route, started.organisation)) {
        this->refuse(AnswerCode::Unauthenticated, "the key has been withdrawn");
        return false;
    }
    started.route = *route;
    started.arrival = this->currentArrival;
    started.deadline = started.arrival + route->statementTimeout;
    started.startsTransaction = startsTransaction;
    started.writes = this->isWrite(next);
    started.statement = std::move(next);
    this->operation = std::move(started);
    return true;
}

void CallerSession::runSingle(Statement next)
{
    if (this->startOperation(std::move(next), false))
        this->admit();
}

void CallerSession::begin(const Statement& next)
{
    if (this->transaction) {
        this->transaction->failed = true;
        this->refuse(AnswerCode::Malformed, "a transaction is open");
        return;
    }
    if (this->startOperation(next, true))
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
    const uint64_t wait = pool->acquire(running.organisation, this->values.version(), running.deadline,
        [self = this->shared_from_this()](const AcquireResult& result) { self->acquired(result); });
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
    if (!primary || !primary->isReachable())
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

void CallerSession::acquired(const AcquireResult& result)
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
std::vector<Statement> CallerSession::withSetupStatements(
    const std::shared_ptr<PooledConnection>& connection, const Statement& next)
{
    std::vector<Statement> batch = connection->makeSetupStatements(this->values);
    if (next.kind != StatementKind::Execute) {
        batch.push_back(next);
        return batch;
    }
    const PreparedStatement& definition = this->preparedStatements.at(next.name);
    const uint32_t number = this->service.preparedStatementIds().idOf(definition);
    if (auto preparation = connection->makePrepareStatement(number, definition))
        batch.push_back(std::move(*preparation));
    Statement execution = next;
    execution.name = preparedName(number);
    batch.push_back(std::move(execution));
    return batch;
}

void CallerSession::sendSingle(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    connection->exchange(this->withSetupStatements(connection, this->operation->statement), this->operation->deadline,
        [self = this->shared_from_this(), connection, sent](
            ExchangeResult result) { self->singleAnswered(connection, std::move(result), sent); });
}

void CallerSession::sendWrapped(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    std::vector<Statement> batch = connection->makeSetupStatements(this->values);
    batch.push_back(makeProxyStatement(StatementKind::Begin));
    connection->exchange(
        batch, this->operation->deadline, [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            if (!self->operation) {
                connection->close();
                return;
            }
            if (!result.hasAnswers() || result.answers.back().code != AnswerCode::Done) {
                self->singleAnswered(connection, std::move(result), sent);
                return;
            }
            self->learnPosition(self->operation->route, sent, result.answers.back());
            std::vector<Statement> reading = self->withSetupStatements(connection, self->operation->statement);
            reading.push_back(makeProxyStatement(StatementKind::Rollback));
            connection->exchange(reading, self->operation->deadline, [self, connection, sent](ExchangeResult inner) {
                if (inner.hasAnswers())
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
        if (connection->isAlive() && connection->pool())
            connection->pool()->release(connection);
        return;
    }
    Operation& running = *this->operation;
    if (!result.hasAnswers()) {
        running.mayHaveRun = true;
        if (running.writes) {
            const std::string reason = result.timedOut ? "no answer in time" : "the connection broke";
            this->finishOperation({ AnswerCode::InDoubt, "", reason }, reason);
            return;
        }
        // The read may have run, and one more run counts against the organisation's limit.
        if (!running.organisation.empty())
            this->service.shares().chargeRepeat(running.organisation, this->service.timers().now());
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
            this->service.shares().returnToken(this->operation->organisation);
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

} // namespace Lavendervane
