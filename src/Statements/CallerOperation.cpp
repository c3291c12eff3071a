// Operations of a caller's session: admission, choice of the endpoint, attempts and the answer.
#include "Statements/CallerSession.h"

#include "Statements/StatementService.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Maximum number of attempts per operation. A group has three endpoints, and after a change of primary each may need
// two attempts.
static constexpr uint32_t maximumAttempts = 8;

static constexpr const char* leaseExpired = "the lease on the primary expired before the answer";

// True if another attempt may get another answer, because the statement has not run.
static bool isRefusalOfStatement(AnswerCode code)
{
    switch (code) {
    case AnswerCode::Busy:
    case AnswerCode::Lagging:
    case AnswerCode::ReadOnly:
    case AnswerCode::WrongEndpoint:
    case AnswerCode::TooMany:
    case AnswerCode::UnknownPrepared:
        return true;
    default:
        return false;
    }
}

// Starts an operation if the route exists and the caller's key is valid. Otherwise refuses the statement and returns
// false.
bool CallerSession::startOperation(Statement next, bool startsTransaction)
{
    const SessionRoute* route = this->currentRoute();
    if (!route) {
        this->refuse(AnswerCode::UnknownDatabase, this->database);
        return false;
    }
    Operation started;
    if (!this->authorise(*route, started.organisation)) {
        this->refuse(AnswerCode::Unauthenticated, "the key has been withdrawn");
        return false;
    }
    started.route = *route;
    if (const SessionOrganisation* holder = this->service.directory()->findOrganisation(this->keyDigest);
        holder && !started.organisation.empty())
        started.organisationRegions = holder->allowedRegions;
    started.arrival = this->currentArrival;
    started.deadline = started.arrival + route->statementTimeout;
    started.startsTransaction = startsTransaction;
    started.writes = this->isWrite(next);
    started.statement = std::move(next);
    this->operation = std::move(started);
    return true;
}

void CallerSession::runSingleStatement(Statement next)
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
    if (this->service.endsTransactions()) {
        this->refuse(AnswerCode::Busy, "the proxy is stopping; retry at once on a new connection");
        return;
    }
    if (this->startOperation(next, true))
        this->admit();
}

void CallerSession::admit()
{
    if (this->operation->organisation.empty()) {
        this->runAdmittedOperation();
        return;
    }
    const uint64_t requestId = this->service.admission().admit(
        this->operation->organisation, this->operation->route.priority, [self = this->shared_from_this()](bool taken) {
            if (!self->operation)
                return;
            self->operation->admissionRequestId = 0;
            if (taken)
                self->runAdmittedOperation();
            else
                self->finishOperation({ AnswerCode::TooMany, "", "rate limit; retry after 500 ms" },
                    "the organisation has reached its rate limit");
        });
    // If the callback has already been called, this operation may have ended and another one may have started.
    if (requestId && this->operation)
        this->operation->admissionRequestId = requestId;
}

void CallerSession::runAdmittedOperation()
{
    this->operation->isAdmitted = true;
    if (!this->operation->startsTransaction) {
        this->startAttempt();
        return;
    }
    // The transaction is begun at the endpoint with its first statement, so that it occupies no connection until then.
    Transaction started;
    started.readOnly = this->operation->statement.kind == StatementKind::BeginReadOnly;
    started.route = this->operation->route;
    started.organisation = this->operation->organisation;
    started.organisationRegions = this->operation->organisationRegions;
    started.startTime = this->operation->arrival;
    this->operation.reset();
    this->transaction = std::move(started);
    this->answer({});
}

void CallerSession::startAttempt()
{
    Operation& running = *this->operation;
    const Instant now = this->service.timers().now();
    GroupTraffic* group = this->service.findGroup(running.route.group);
    if (!group || now >= running.deadline || running.attempts >= maximumAttempts) {
        this->finishOperation({ AnswerCode::Busy, "", "no endpoint available; retry after 200 ms" },
            "no endpoint found before the deadline or the maximum number of attempts");
        return;
    }
    running.statement.requiredPosition.reset();
    running.usesProxyTransaction = false;
    running.pool = this->chooseEndpoint(*group);
    if (!running.pool && running.statement.requiredPosition && !running.triedEndpoints.empty()) {
        // All endpoints have been tried. Replicas may catch up and queues may shorten in the meantime.
        running.triedEndpoints.clear();
        this->retry(AnswerCode::Busy, "all endpoints lag behind or are busy",
            this->service.settings().busyRetryDelay * running.attempts);
        return;
    }
    if (!running.pool) {
        this->waitForPrimary(*group);
        return;
    }
    ++running.attempts;
    const auto pool = running.pool;
    if (!pool->mayTakeColdStart()) {
        this->retryAfterColdStart();
        return;
    }
    const uint64_t waitId = pool->acquire(running.organisation, this->values.version(), running.deadline,
        [self = this->shared_from_this()](const AcquireResult& result) { self->handleAcquireResult(result); });
    if (this->operation && this->operation->pool == pool)
        this->operation->poolWaitId = waitId;
}

std::shared_ptr<EndpointPool> CallerSession::chooseEndpoint(GroupTraffic& group)
{
    Operation& running = *this->operation;
    const bool plainTransaction = running.startsTransaction && running.statement.kind == StatementKind::Begin;
    if (!running.writes && !plainTransaction && running.route.consistency != Consistency::Primary) {
        std::optional<LogPosition> sessionCommit;
        if (const auto commit = this->lastCommits.find(group.id());
            commit != this->lastCommits.end() && running.route.consistency == Consistency::OwnWrites)
            sessionCommit = commit->second;
        const auto required
            = group.freshness().requiredPosition(running.arrival - running.route.maxStaleness, sessionCommit);
        if (required) {
            running.statement.requiredPosition = required;
            return group.chooseForRead(
                *required, running.organisation, this->excludedEndpoints(group), this->service.timers().now());
        }
    }
    // A database that is no longer the primary still answers plain reads from stale data, but refuses a transaction
    // that may write and every statement in it. It also refuses to report its log position then.
    running.usesProxyTransaction = !running.writes && !running.startsTransaction;
    auto primary = group.primary();
    if (!primary || !primary->isReachable() || !this->mayUsePrimary(primary->endpoint())
        || !this->mayRunAt(primary->endpoint()))
        return nullptr;
    return primary;
}

// Both the route and the organisation may name regions.
bool CallerSession::mayRunAt(const RegisteredEndpoint& endpoint) const
{
    const auto allows = [&endpoint](const std::set<std::string>& regions) {
        return regions.empty() || regions.count(endpoint.region) > 0;
    };
    return allows(this->operation->route.allowedRegions) && allows(this->operation->organisationRegions);
}

std::vector<EndpointId> CallerSession::excludedEndpoints(const GroupTraffic& group) const
{
    const Operation& running = *this->operation;
    std::vector<EndpointId> excluded = running.triedEndpoints;
    if (running.route.allowedRegions.empty() && running.organisationRegions.empty())
        return excluded;
    const auto elsewhere
        = group.endpointsIf([this](const RegisteredEndpoint& endpoint) { return !this->mayRunAt(endpoint); });
    excluded.insert(excluded.end(), elsewhere.begin(), elsewhere.end());
    return excluded;
}

bool CallerSession::mayUsePrimary(const RegisteredEndpoint& endpoint) const
{
    return this->service.primaryLease().mayUse(endpoint);
}

void CallerSession::waitForPrimary(GroupTraffic& group)
{
    Operation& running = *this->operation;
    if (group.isLeftWithoutEndpoint()) {
        this->finishOperation({ AnswerCode::Busy, "", "the group's data centres are evacuated; retry after 1000 ms" },
            "evacuations have left the group without an endpoint");
        return;
    }
    if (const auto primary = group.primary(); primary && !this->mayRunAt(primary->endpoint())) {
        this->finishOperation(
            { AnswerCode::Busy, "", "no endpoint in the regions in which the request may run; retry after 1000 ms" },
            "no usable endpoint is in a region in which the request may run");
        return;
    }
    const Instant now = this->service.timers().now();
    const Instant waitLimit = group.primaryExpectedAt && *group.primaryExpectedAt > now
        ? *group.primaryExpectedAt + this->service.settings().primaryChangeTimeout
        : running.arrival + this->service.settings().primaryChangeTimeout;
    if (waitLimit > running.deadline || now >= waitLimit) {
        this->finishOperation(
            { AnswerCode::Busy, "", "no primary; retry after 500 ms" }, "the group has no reachable primary");
        return;
    }
    const auto retryNow = [self = this->shared_from_this()] {
        if (!self->operation)
            return;
        if (self->operation->retryTimer)
            self->service.timers().cancel(*self->operation->retryTimer);
        self->operation->retryTimer.reset();
        if (GroupTraffic* present = self->service.findGroup(self->operation->route.group))
            present->removeChangeCallback(self->operation->primaryWaitId);
        self->operation->triedEndpoints.clear();
        self->startAttempt();
    };
    running.primaryWaitId = group.addChangeCallback(retryNow);
    running.retryTimer = this->service.timers().schedule(waitLimit, retryNow);
}

// The lease or the endpoint's work may have ended while the operation waited for a connection. Returns an empty text if
// it may be sent. A read that requires a position is correct at any endpoint.
std::string CallerSession::reasonNotToSend() const
{
    const Operation& running = *this->operation;
    const RegisteredEndpoint& target = running.pool->endpoint();
    if (!target.acceptsWork(this->service.timers().now()))
        return "the endpoint is leaving";
    if (!running.statement.requiredPosition && !this->mayUsePrimary(target))
        return "the endpoint may not be used as the primary any more";
    return {};
}

// The statement, the endpoint's work or the lease may have ended while the endpoint ran the guard. Returns an empty
// text if the statement may be sent.
std::string CallerSession::reasonToWithhold() const
{
    if (this->operation && this->operation->isSent)
        return this->reasonNotToSend();
    if (!this->operation && this->isStatementPending && this->transaction)
        return this->reasonNotToContinue();
    return "the statement has ended";
}

// The endpoint is slow after its start and has its requests for this second. Reads are tried elsewhere.
void CallerSession::retryAfterColdStart()
{
    Operation& running = *this->operation;
    Duration delay {};
    if (running.statement.requiredPosition)
        running.triedEndpoints.push_back(running.pool->endpoint().id);
    else
        delay = this->service.settings().busyRetryDelay * running.attempts;
    this->retry(AnswerCode::Busy, "the endpoint is slow after its start and has its requests for this second", delay);
}

void CallerSession::handleAcquireResult(const AcquireResult& result)
{
    if (!this->operation) {
        if (result.connection && result.connection->pool())
            result.connection->pool()->release(result.connection);
        return;
    }
    Operation& running = *this->operation;
    running.poolWaitId = 0;
    if (!result.connection) {
        running.triedEndpoints.push_back(running.pool->endpoint().id);
        this->retry(AnswerCode::Busy, result.reason, {});
        return;
    }
    if (const std::string reason = this->reasonNotToSend(); !reason.empty()) {
        if (result.connection->pool())
            result.connection->pool()->release(result.connection);
        this->retry(AnswerCode::Busy, reason, {});
        return;
    }
    // Checked again, because the wait for a connection would gather the requests of several seconds.
    if (!running.pool->takeColdStart()) {
        if (result.connection->pool())
            result.connection->pool()->release(result.connection);
        this->retryAfterColdStart();
        return;
    }
    if (const RegisteredEndpoint& target = running.pool->endpoint(); target.isLeaving())
        this->service.log().sentToDraining({ this->currentStatement.id, target.id, "",
            result.connection->relayAddress(), target.remainingWorkTime(this->service.timers().now()) });
    if (running.startsTransaction)
        this->sendBegin(result.connection);
    else if (running.usesProxyTransaction)
        this->sendInProxyTransaction(result.connection);
    else
        this->sendSingleStatement(result.connection);
}

// Returns the batch that runs a statement of the caller: first the statements that set up the connection, then the
// statement itself under the names used on the connection. `begin` comes directly before the statement, if it is set.
std::vector<Statement> CallerSession::withSetupStatements(
    const std::shared_ptr<PooledConnection>& connection, const Statement& next, const Statement* begin)
{
    std::vector<Statement> batch = connection->makeSetupStatements(this->values);
    if (begin)
        batch.reserve(batch.size() + 4); // a preparation, the begin, the statement and a rollback
    if (next.kind != StatementKind::Execute) {
        if (begin)
            batch.push_back(*begin);
        batch.push_back(next);
        return batch;
    }
    const PreparedStatement& definition = this->preparedStatements.at(next.name);
    const uint32_t id = this->service.preparedStatementIds().idOf(definition);
    if (auto preparation = connection->makePrepareStatement(id, definition))
        batch.push_back(std::move(*preparation));
    Statement execution = next;
    execution.name = preparedName(id);
    if (begin)
        batch.push_back(*begin);
    batch.push_back(std::move(execution));
    return batch;
}

void CallerSession::sendSingleStatement(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    this->operation->isSent = true;
    connection->exchange(
        this->withSetupStatements(connection, this->operation->statement), { this->operation->deadline },
        [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            if (result.isRestWithheld) {
                self->recordGuardedBatch(connection, result);
                self->handleWithheldRest(connection, result);
            } else {
                self->handleSingleAnswer(connection, std::move(result), sent);
            }
        },
        this->shared_from_this());
}

// Sends the statement of the operation after a begin, as a batch whose rest is sent only after the begin has succeeded.
// The setup statements come first, because a begin that is refused must not keep them from the connection.
void CallerSession::sendGuarded(const std::shared_ptr<PooledConnection>& connection, const Statement& begin,
    const Statement& first, bool endsTransaction, ExchangeCallback callback)
{
    std::vector<Statement> batch = this->withSetupStatements(connection, first, &begin);
    const BatchOptions options { this->operation->deadline, batch.size() - 1 };
    if (endsTransaction)
        batch.push_back(makeProxyStatement(StatementKind::Rollback));
    this->operation->isSent = true;
    connection->exchange(std::move(batch), options, std::move(callback), this->shared_from_this());
}

void CallerSession::sendInProxyTransaction(const std::shared_ptr<PooledConnection>& connection)
{
    const Instant sent = this->service.timers().now();
    this->sendGuarded(connection, makeProxyStatement(StatementKind::Begin), this->operation->statement, true,
        [self = this->shared_from_this(), connection, sent](ExchangeResult result) {
            self->recordGuardedBatch(connection, result);
            if (result.isRestWithheld) {
                self->handleWithheldRest(connection, result);
                return;
            }
            if (result.hasAnswers())
                result.answers.pop_back();
            // The answer to the begin is unsigned and may repeat an older one, with the position of that time.
            if (self->operation && result.hasAnswers() && result.answers.back().code == AnswerCode::Done)
                self->recordPosition(self->operation->route, sent, result.answers.back());
            self->handleSingleAnswer(connection, std::move(result), sent);
        });
}

void CallerSession::recordGuardedBatch(
    const std::shared_ptr<PooledConnection>& connection, const ExchangeResult& result) const
{
    GuardedBatchOutcome outcome;
    outcome.path = connection->guardPath();
    outcome.isRestWithheld = result.isRestWithheld;
    if (result.isRestWithheld && this->operation) {
        outcome.id = this->currentStatement.id;
        outcome.endpoint = this->operation->pool->endpoint().id;
        outcome.reason = result.hasAnswers()
            ? std::string(toString(result.answers.back().code)) + " " + result.answers.back().message
            : result.describeFailure();
    }
    this->service.log().guardedBatchEnded(outcome);
}

// The statement of the operation has not been sent.
void CallerSession::handleWithheldRest(
    const std::shared_ptr<PooledConnection>& connection, const ExchangeResult& result)
{
    if (result.hasAnswers() && connection->isAlive() && connection->pool())
        connection->pool()->release(connection);
    if (!this->operation)
        return;
    Operation& running = *this->operation;
    running.isSent = false;
    if (!running.pool->endpoint().acceptsWork(this->service.timers().now())) {
        this->retry(AnswerCode::Busy, "the endpoint is leaving", {});
    } else if (result.hasAnswers() && (running.startsTransaction || isRefusalOfStatement(result.answers.back().code))) {
        this->handleEndpointRefusal(connection, result.answers.back());
    } else if (result.hasAnswers()) {
        const EndpointAnswer& refusal = result.answers.back();
        this->finishOperation({ refusal.code, "", refusal.message, TransactionState::Idle },
            "the endpoint answered the begin with an error");
    } else {
        running.triedEndpoints.push_back(running.pool->endpoint().id);
        this->retry(running.startsTransaction ? AnswerCode::Aborted : AnswerCode::Busy, result.describeFailure(), {});
    }
}

void CallerSession::handleSingleAnswer(
    const std::shared_ptr<PooledConnection>& connection, ExchangeResult result, Instant sent)
{
    if (!this->operation) {
        // The caller has disconnected.
        if (connection->isAlive() && connection->pool())
            connection->pool()->release(connection);
        return;
    }
    Operation& running = *this->operation;
    running.isSent = false;
    if (!result.hasAnswers()) {
        running.mayHaveRun = true;
        if (running.writes) {
            const std::string message = result.timedOut ? "no answer in time" : "the connection broke";
            this->finishOperation({ AnswerCode::InDoubt, "", message }, result.describeFailure());
            return;
        }
        running.triedEndpoints.push_back(running.pool->endpoint().id);
        this->repeatRead(AnswerCode::Busy, result.describeFailure());
        return;
    }
    const EndpointAnswer reply = std::move(result.answers.back());
    if (reply.code == AnswerCode::UnknownPrepared)
        connection->forgetPrepared();
    if (reply.code == AnswerCode::Done && running.writes && !this->mayUsePrimary(running.pool->endpoint())) {
        // Another endpoint may have been promoted before the commit.
        if (connection->pool())
            connection->pool()->release(connection);
        running.mayHaveRun = true;
        this->finishOperation({ AnswerCode::InDoubt, "", leaseExpired }, leaseExpired);
        return;
    }
    if (reply.code == AnswerCode::Done && running.writes) {
        this->recordPosition(running.route, sent, reply);
        this->recordCommit(running.route.group, sent, reply);
    }
    if (connection->pool())
        connection->pool()->release(connection);
    if (reply.code == AnswerCode::Done && running.usesProxyTransaction
        && !this->mayUsePrimary(running.pool->endpoint())) {
        // The begin and the read may have run after the promotion of another endpoint.
        running.mayHaveRun = true;
        this->repeatRead(AnswerCode::Busy, leaseExpired);
        return;
    }
    if (isRefusalOfStatement(reply.code)) {
        this->handleEndpointRefusal(connection, reply);
        return;
    }
    if (reply.code == AnswerCode::Done) {
        this->service.log().statementDone(
            running.pool->endpoint().role == EndpointRole::Replica, this->service.timers().now() - running.arrival);
        this->finishOperation({ AnswerCode::Done, reply.result, "", TransactionState::Idle }, "");
        return;
    }
    running.mayHaveRun = true;
    this->finishOperation(
        { reply.code, "", reply.message, TransactionState::Idle }, "the endpoint answered with an error");
}

void CallerSession::handleEndpointRefusal(const std::shared_ptr<PooledConnection>&, const EndpointAnswer& reply)
{
    Operation& running = *this->operation;
    GroupTraffic* group = this->service.findGroup(running.route.group);
    const EndpointId endpoint = running.pool->endpoint().id;
    Duration delay {};
    if (reply.code == AnswerCode::ReadOnly && group)
        group->markNotPrimary(endpoint);
    if (reply.code == AnswerCode::ReadOnly)
        this->service.checkIsolation();
    if (reply.code == AnswerCode::Lagging && group)
        group->markLagging(endpoint, this->service.timers().now());
    if (running.statement.requiredPosition)
        running.triedEndpoints.push_back(endpoint);
    else if (reply.code == AnswerCode::Busy)
        delay = this->service.settings().busyRetryDelay * running.attempts;
    this->retry(reply.code, reply.message, delay);
}

// Tries a read again that may have run. Repeating it counts against the organisation's limit as well.
void CallerSession::repeatRead(AnswerCode lastCode, const std::string& reason)
{
    const Operation& running = *this->operation;
    if (!running.organisation.empty())
        this->service.shares().chargeRepeat(running.organisation, this->service.timers().now());
    this->retry(lastCode, reason, {});
}

void CallerSession::retry(AnswerCode lastCode, const std::string& reason, Duration delay)
{
    Operation& running = *this->operation;
    const Instant next = this->service.timers().now() + delay;
    if (next >= running.deadline || running.attempts >= maximumAttempts) {
        this->finishOperation({ lastCode, "", "retry after 200 ms" }, reason);
        return;
    }
    if (delay == Duration {}) {
        this->startAttempt();
        return;
    }
    running.retryTimer = this->service.timers().schedule(next, [this] {
        this->operation->retryTimer.reset();
        this->startAttempt();
    });
}

void CallerSession::finishOperation(const CallerAnswer& reply, const std::string& reason)
{
    if (this->operation->startsTransaction && this->transaction)
        this->transaction->failed = true;
    if (reply.code != AnswerCode::Done) {
        this->logFailure(reply, reason);
        // Only statements that run count against the limit. Without the token, a caller that retries would be charged
        // twice.
        if (this->operation->isAdmitted && !this->operation->mayHaveRun)
            this->service.admission().returnToken(this->operation->organisation);
    }
    this->dropOperation();
    CallerAnswer final = reply;
    final.state = this->transaction ? TransactionState::Failed : TransactionState::Idle;
    this->answer(final);
}

void CallerSession::endPendingStatement(const std::string& reason)
{
    if (!this->operation) {
        const auto connection = this->isStatementPending && this->transaction ? this->transaction->connection : nullptr;
        if (connection && connection->isAlive())
            connection->closeWithoutAnswer(reason);
        return;
    }
    if (this->operation->isSent && this->operation->writes) {
        // The connection is not in any pool that could interrupt it, because its endpoint has left.
        this->operation->mayHaveRun = true;
        this->finishOperation({ AnswerCode::InDoubt, "", reason }, reason);
        return;
    }
    if (this->operation->startsTransaction && (this->operation->isSent || this->operation->mayHaveRun)) {
        // The first statement of the transaction may have been sent. Its connection is closed, which rolls it back.
        this->operation->mayHaveRun = true;
        this->finishOperation({ AnswerCode::Aborted, "", reason }, reason);
        return;
    }
    this->finishOperation({ AnswerCode::Busy, "", reason + "; retry at once on a new connection" }, reason);
}

void CallerSession::dropOperation()
{
    if (!this->operation)
        return;
    Operation ended = std::move(*this->operation);
    this->operation.reset();
    if (ended.retryTimer)
        this->service.timers().cancel(*ended.retryTimer);
    if (ended.admissionRequestId)
        this->service.admission().cancel(ended.admissionRequestId);
    if (ended.poolWaitId && ended.pool)
        ended.pool->cancel(ended.poolWaitId);
    if (ended.primaryWaitId) {
        if (GroupTraffic* group = this->service.findGroup(ended.route.group))
            group->removeChangeCallback(ended.primaryWaitId);
    }
}

} // namespace Lavendervane
