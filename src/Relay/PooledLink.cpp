#include "Relay/PooledLink.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace Lavendervane {

// Time limit for rolling back a transaction whose link was closed. A rollback takes one round trip.
static constexpr Duration rollbackTimeout = std::chrono::seconds(1);

// Time that is kept, before the deadline of a guarded batch, to report to the sender that the rest was not sent. A
// report takes a few milliseconds between data centres and up to 20 ms at a slow VM.
static constexpr Duration maxReportTime = std::chrono::milliseconds(50);

// At most this part of the time for a batch is kept for the report.
static constexpr int reportTimeDivisor = 8;

static constexpr const char* endpointIsLeaving = "the endpoint is leaving";
static constexpr const char* isStarting = "the endpoint is slow after its start and has its requests for this second";
static constexpr const char* isEvacuated = "the data centre of the endpoint is evacuated";

// True if the batch leaves a transaction of a caller open. The begin of such a transaction needs a unique answer; a
// transaction that the proxy begins for a single read ends within a round trip.
static bool beginsCallerTransaction(const std::vector<Statement>& statements)
{
    bool begins = false;
    for (const Statement& statement : statements) {
        const bool isBegin = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
        const bool isEnd = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
        begins = (begins || (isBegin && statement.needsUniqueAnswer)) && !isEnd;
    }
    return begins;
}

std::shared_ptr<PooledLink> PooledLink::open(std::shared_ptr<EndpointPool> pool, OrganisationId organisation,
    PreparedStatementIds& preparedNumbers, Timers& timers, LinkListener& listener)
{
    auto link
        = std::make_shared<PooledLink>(std::move(pool), std::move(organisation), preparedNumbers, timers, listener);
    timers.schedule(timers.now(), [link] {
        if (!link->listener)
            return;
        // A batch that was received together with the request to open the link may have been sent already.
        if (!link->pool->isReachable() && !link->hasSent) {
            link->fail(LinkFailure::Unreachable, AnswerCode::Busy, "the owner VM cannot reach the endpoint");
            return;
        }
        link->listener->linkConnected();
        if (link->listener)
            link->listener->linkOpened();
    });
    return link;
}

PooledLink::PooledLink(std::shared_ptr<EndpointPool> pool, OrganisationId organisation,
    PreparedStatementIds& preparedNumbers, Timers& timers, LinkListener& listener)
    : pool(std::move(pool))
    , organisation(std::move(organisation))
    , preparedNumbers(preparedNumbers)
    , timers(timers)
    , listener(&listener)
{
}

PooledLink::~PooledLink() { assert(!this->listener || !this->isBatchRunning); }

// Returns the time by which the guard of a batch must be answered, so that the sender can be told in time.
static Instant guardDeadline(Instant batchDeadline, Instant now)
{
    return batchDeadline - std::min(maxReportTime, (batchDeadline - now) / reportTimeDivisor);
}

// Makes the options of a batch from which the link has removed its leading session statements.
static BatchOptions withoutSessionStatements(BatchOptions options, size_t sessionStatementCount, Instant now)
{
    options.guardCount -= std::min(options.guardCount, sessionStatementCount);
    if (options.guardCount)
        options.guardDeadline = guardDeadline(options.deadline, now);
    return options;
}

void PooledLink::send(const std::vector<Statement>& batch, const BatchOptions& sent)
{
    assert(!this->isBatchRunning);
    this->isBatchRunning = true;
    this->sessionStatementCount = this->applySessionStatements(batch);
    this->statements.assign(batch.begin() + static_cast<std::ptrdiff_t>(this->sessionStatementCount), batch.end());
    if (this->statements.empty()) {
        this->timers.schedule(this->timers.now(), [self = this->shared_from_this()] {
            self->answer({});
            if (!self->listener && self->connection)
                self->releaseConnection(std::exchange(self->connection, nullptr), true);
        });
        return;
    }
    const BatchOptions options = withoutSessionStatements(sent, this->sessionStatementCount, this->timers.now());
    if (this->connection && !this->pool->endpoint().acceptsStatements(this->timers.now())) {
        this->endTransaction(isEvacuated);
        return;
    }
    if (this->connection) {
        this->pool->recordColdStart();
        this->onConnectionAcquired({ this->connection, "" }, options);
        return;
    }
    if (!this->pool->isReachable()) {
        this->answerNotRun("the owner VM cannot reach the endpoint");
        return;
    }
    if (!this->mayBeSent()) {
        this->answerNotRun(endpointIsLeaving);
        return;
    }
    if (!this->isOwnStatement() && !this->pool->mayTakeColdStart()) {
        this->answerNotRun(isStarting);
        return;
    }
    this->isWaiting = true;
    const uint64_t number = this->pool->acquire(
        this->organisation, this->values.version(), options.guardDeadline.value_or(options.deadline),
        [self = this->shared_from_this(), options](const AcquireResult& result) {
            self->isWaiting = false;
            self->onConnectionAcquired(result, options);
        },
        beginsCallerTransaction(this->statements));
    // Set separately from `isWaiting`, because the pool may call back before `acquire` returns the number.
    this->waitNumber = number;
}

// Answers a batch of the open transaction without sending it. The database rolls the transaction back when its
// connection is closed.
void PooledLink::endTransaction(const std::string& reason)
{
    std::exchange(this->connection, nullptr)->close();
    this->timers.schedule(this->timers.now(), [self = this->shared_from_this(), reason] {
        EndpointAnswer aborted;
        aborted.code = AnswerCode::Aborted;
        aborted.message = reason;
        aborted.state = TransactionState::Failed;
        self->answer(std::vector<EndpointAnswer>(self->statements.size(), aborted));
    });
}

// An endpoint that gets no new work is still asked for its status and told to step down.
bool PooledLink::mayBeSent() const
{
    return this->pool->endpoint().acceptsWork(this->timers.now()) || this->isOwnStatement();
}

// True if the batch consists of queries and orders of the proxy itself.
bool PooledLink::isOwnStatement() const
{
    return std::all_of(this->statements.begin(), this->statements.end(),
        [](const Statement& statement) { return returnsStatus(statement.kind); });
}

// Applies the leading reset, set-value and prepare statements to the state of the link and returns their number.
size_t PooledLink::applySessionStatements(const std::vector<Statement>& batch)
{
    size_t count = 0;
    for (const Statement& statement : batch) {
        if (statement.kind == StatementKind::Reset) {
            this->values = {};
            this->preparedStatements.clear();
        } else if (statement.kind == StatementKind::SetValue) {
            this->values.set(statement.name, statement.text);
        } else if (statement.kind == StatementKind::Prepare) {
            this->preparedStatements[statement.name] = { statement.effect, statement.text };
        } else {
            break;
        }
        ++count;
    }
    return count;
}

// The sender may have closed the link, or the endpoint's work may have ended, while it ran the guard.
std::string PooledLink::reasonToWithhold() const
{
    if (!this->listener)
        return "the link was closed";
    if (this->connection)
        return this->pool->endpoint().acceptsStatements(this->timers.now()) ? "" : isEvacuated;
    return this->mayBeSent() ? "" : endpointIsLeaving;
}

void PooledLink::onConnectionAcquired(const AcquireResult& result, const BatchOptions& received)
{
    const auto borrowed = result.connection;
    if (!this->listener) {
        if (borrowed)
            this->releaseConnection(borrowed, false);
        return;
    }
    if (!borrowed) {
        this->answerNotRun(result.reason);
        return;
    }
    if (!borrowed->isAlive()) {
        this->connection.reset();
        this->timers.schedule(this->timers.now(), [self = this->shared_from_this()] {
            self->fail(LinkFailure::Broken, AnswerCode::Busy, "the connection of the transaction broke");
        });
        return;
    }
    if (!this->connection && !this->mayBeSent()) {
        this->releaseConnection(borrowed, false);
        this->answerNotRun(endpointIsLeaving);
        return;
    }
    // Checked again, because the wait for a connection would gather the requests of several seconds.
    if (!this->connection && !this->isOwnStatement() && !this->pool->takeColdStart()) {
        this->releaseConnection(borrowed, false);
        this->answerNotRun(isStarting);
        return;
    }
    // The connection takes it for granted that statements are sent that it has made.
    if (!this->hasPreparedStatements()) {
        this->answerNotRun("the batch executes a statement that has not been prepared");
        this->releaseConnection(borrowed, this->connection != nullptr);
        this->connection.reset();
        return;
    }
    std::vector<Statement> batch = borrowed->makeSetupStatements(this->values);
    this->appendPreparedStatements(*borrowed, batch);
    this->hasSent = true;
    const size_t added = batch.size() - this->statements.size();
    BatchOptions options = received;
    if (options.guardCount)
        options.guardCount += added;
    else if (added)
        options.guardDeadline = guardDeadline(options.deadline, this->timers.now());
    borrowed->exchange(
        std::move(batch), options,
        [self = this->shared_from_this(), borrowed, added](
            ExchangeResult answers) { self->onExchangeFinished(borrowed, std::move(answers), added); },
        this->shared_from_this());
}

// False if the sender has not prepared one of the statements that it executes.
bool PooledLink::hasPreparedStatements() const
{
    return std::all_of(this->statements.begin(), this->statements.end(), [this](const Statement& statement) {
        return statement.kind != StatementKind::Execute || this->preparedStatements.count(statement.name) > 0;
    });
}

// Appends the current statements to the batch. Prepared statements get the names that are shared by all links, and
// those that the connection lacks are prepared first.
void PooledLink::appendPreparedStatements(PooledConnection& borrowed, std::vector<Statement>& batch)
{
    std::vector<Statement> renamed = this->statements;
    for (Statement& statement : renamed) {
        if (statement.kind != StatementKind::Execute)
            continue;
        const PreparedStatement& definition = this->preparedStatements.at(statement.name);
        const uint32_t number = this->preparedNumbers.idOf(definition);
        if (auto preparation = borrowed.makePrepareStatement(number, definition))
            batch.push_back(std::move(*preparation));
        statement.name = preparedName(number);
    }
    batch.insert(batch.end(), renamed.begin(), renamed.end());
}

void PooledLink::onExchangeFinished(
    const std::shared_ptr<PooledConnection>& borrowed, ExchangeResult result, size_t addedStatements)
{
    if (!result.hasAnswers()) {
        const bool hasLostTransaction = std::exchange(this->connection, nullptr) != nullptr;
        // The guard has no effect without the rest, so that the sender may try the batch again. Of a transaction that
        // is lost, only a commit can be answered as not run.
        if (result.isRestWithheld && (!hasLostTransaction || this->statements.back().kind == StatementKind::Commit)) {
            this->answerNotRun(result.describeFailure());
            return;
        }
        this->fail(LinkFailure::Broken, AnswerCode::Busy,
            result.timedOut ? "the endpoint did not answer in time" : result.describeFailure());
        return;
    }
    std::vector<EndpointAnswer>& answers = result.answers;
    answers.insert(answers.begin(), std::make_move_iterator(result.guardAnswers.begin()),
        std::make_move_iterator(result.guardAnswers.end()));
    answers.erase(answers.begin(), answers.begin() + static_cast<std::ptrdiff_t>(addedStatements));
    if (result.isRestWithheld) {
        EndpointAnswer notRun = makeNotRunAnswer("the begin was refused");
        notRun.state = answers.back().state;
        answers.resize(this->statements.size(), notRun);
    }
    for (const EndpointAnswer& answer : answers) {
        if (answer.code == AnswerCode::UnknownPrepared)
            borrowed->forgetPrepared();
    }
    const bool inTransaction = answers.back().state != TransactionState::Idle;
    if (!this->listener || !inTransaction) {
        this->connection.reset();
        this->releaseConnection(borrowed, inTransaction);
    } else {
        this->connection = borrowed;
    }
    this->answer(std::move(answers));
}

// Answers a batch of which nothing has been sent. The link stays usable unless the endpoint is unreachable.
void PooledLink::answerNotRun(const std::string& reason)
{
    this->timers.schedule(this->timers.now(), [self = this->shared_from_this(), reason] {
        self->answer(std::vector<EndpointAnswer>(self->statements.size(), makeNotRunAnswer(reason)));
        if (self->listener && !self->pool->isReachable())
            self->fail(LinkFailure::Broken, AnswerCode::Busy, reason);
    });
}

void PooledLink::answer(std::vector<EndpointAnswer> answers)
{
    this->isBatchRunning = false;
    EndpointAnswer done;
    done.code = AnswerCode::Done;
    answers.insert(answers.begin(), this->sessionStatementCount, done);
    if (this->listener)
        this->listener->linkAnswered(std::move(answers));
}

void PooledLink::fail(LinkFailure failure, AnswerCode code, const std::string& message)
{
    this->isBatchRunning = false;
    if (LinkListener* receiver = std::exchange(this->listener, nullptr))
        receiver->linkFailed(failure, code, message);
}

void PooledLink::close()
{
    this->listener = nullptr;
    if (std::exchange(this->isWaiting, false)) {
        this->pool->cancel(this->waitNumber);
        this->isBatchRunning = false;
    }
    // If a batch is in progress, its answer returns the connection to the pool.
    if (!this->isBatchRunning && this->connection)
        this->releaseConnection(std::exchange(this->connection, nullptr), true);
}

void PooledLink::releaseConnection(const std::shared_ptr<PooledConnection>& borrowed, bool inTransaction)
{
    if (!borrowed->isAlive())
        return;
    const auto release = [](const std::shared_ptr<PooledConnection>& released) {
        if (released->isAlive() && released->pool())
            released->pool()->release(released);
    };
    if (!inTransaction) {
        release(borrowed);
        return;
    }
    if (!this->pool->endpoint().acceptsStatements(this->timers.now())) {
        borrowed->close();
        return;
    }
    borrowed->exchange({ makeProxyStatement(StatementKind::Rollback) }, { this->timers.now() + rollbackTimeout },
        [borrowed, release](const ExchangeResult&) { release(borrowed); });
}

} // namespace Lavendervane
