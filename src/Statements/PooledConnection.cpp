#include "Statements/PooledConnection.h"

#include "Statements/EndpointPool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lavendervane {

std::string ExchangeResult::describeFailure() const
{
    if (this->timedOut)
        return "no answer in time";
    return this->failure.empty() ? "the connection broke" : "the connection broke: " + this->failure;
}

PooledConnection::PooledConnection(EndpointPool& pool, Timers& timers, OrganisationId organisation)
    : owningPool(&pool)
    , timers(timers)
    , organisationId(std::move(organisation))
    , stateChangeTime(timers.now())
{
}

PooledConnection::~PooledConnection()
{
    this->cancelTimer();
    if (this->link)
        this->link->close();
}

static ExchangeResult makeTimedOut()
{
    ExchangeResult result;
    result.timedOut = true;
    return result;
}

static ExchangeResult makeFailed(const std::string& reason)
{
    ExchangeResult result;
    result.failure = reason;
    return result;
}

// Counts the leading statements of a batch that transfer session values and prepared statements to the connection.
static size_t countSetupStatements(const std::vector<Statement>& statements)
{
    const auto end = std::find_if(statements.begin(), statements.end(), [](const Statement& statement) {
        return statement.kind != StatementKind::Reset && statement.kind != StatementKind::SetValue
            && statement.kind != StatementKind::Prepare;
    });
    return static_cast<size_t>(end - statements.begin());
}

static bool setsValues(const std::vector<Statement>& statements)
{
    return !statements.empty()
        && (statements.front().kind == StatementKind::Reset || statements.front().kind == StatementKind::SetValue);
}

void PooledConnection::exchange(std::vector<Statement> statements, const BatchOptions& options, ExchangeCallback done,
    std::shared_ptr<const GuardedBatchSender> batchSender)
{
    assert(this->state == State::InUse);
    this->callback = std::move(done);
    this->setupStatementCount = countSetupStatements(statements);
    this->continuesTransaction = this->inTransaction;
    this->isGuardInTransaction = this->inTransaction || options.guardCount;
    size_t guardCount = options.guardCount;
    if (setsValues(statements) && !this->link->keepsSessionValues()) {
        // Sent together with its session values, a statement would run even if the endpoint refuses them.
        guardCount = std::max(guardCount, this->setupStatementCount);
        // If a repetition were taken for the answer to a value, the refusal of the value could be taken for that of a
        // commit that runs.
        if (this->continuesTransaction && statements.back().kind == StatementKind::Commit)
            statements[guardCount - 1].needsUniqueAnswer = true;
    }
    const bool isGuardedByLink = guardCount && this->link->guardsBatches();
    this->batch.start(statements, guardCount, isGuardedByLink);
    if (!this->batch.holdsRest()) {
        this->send(statements, { options.deadline, isGuardedByLink ? guardCount : 0 });
        return;
    }
    this->sender = std::move(batchSender);
    this->restDeadline = options.deadline;
    this->send(statements, { options.guardDeadline.value_or(options.deadline) });
}

void PooledConnection::send(const std::vector<Statement>& statements, const BatchOptions& options)
{
    this->state = State::Waiting;
    this->stateChangeTime = this->timers.now();
    this->scheduleTimeout(options.deadline);
    this->link->send(statements, options);
}

bool PooledConnection::mayTakeWork() const
{
    return this->owningPool && this->owningPool->endpoint().acceptsWork(this->timers.now());
}

// Sends the rest of the batch if the guard has succeeded. Returns false if the answers are final.
bool PooledConnection::trySendRest(std::vector<EndpointAnswer>& guardAnswers)
{
    if (guardAnswers.back().code != AnswerCode::Done)
        return false;
    // A statement outside the transaction could take effect by itself.
    const bool isOpen = guardAnswers.back().state == TransactionState::Open;
    if (isOpen != this->isGuardInTransaction) {
        this->giveUp("the endpoint answered the guard of a batch with the state of another transaction");
        return true;
    }
    std::string reason;
    // An open transaction may go on with any link, and at an endpoint that is leaving.
    if (!this->continuesTransaction && !this->link->mayCarryMore())
        reason = "the answer to a further statement could not be told from a repetition";
    else if (!this->continuesTransaction && !this->mayTakeWork())
        reason = "the endpoint is leaving";
    else if (this->sender)
        reason = this->sender->reasonToWithhold();
    if (!reason.empty())
        this->closeWithoutAnswer(reason);
    else
        this->send(this->batch.takeRest(std::move(guardAnswers)), { this->restDeadline });
    return true;
}

// The same timer first triggers a probe of a silent endpoint and then enforces the deadline.
void PooledConnection::scheduleTimeout(Instant deadline)
{
    const Instant probeTime
        = this->owningPool ? this->stateChangeTime + this->owningPool->poolSettings().silenceTimeout : deadline;
    const bool isProbe = probeTime < deadline && this->timers.now() < probeTime;
    this->timer = this->timers.schedule(isProbe ? probeTime : deadline, [this, deadline, isProbe] {
        this->timer.reset();
        const auto self = this->shared_from_this();
        if (!isProbe) {
            this->close();
            this->completeExchange(makeTimedOut());
            return;
        }
        this->scheduleTimeout(deadline);
        if (this->owningPool)
            this->owningPool->probeIfSilentSince(this->stateChangeTime);
    });
}

void PooledConnection::giveUp(const std::string& reason)
{
    if (this->owningPool)
        this->owningPool->reportBroken(*this, this->state == State::Waiting, reason);
    this->closeWithoutAnswer(reason);
}

void PooledConnection::closeWithoutAnswer(const std::string& reason)
{
    const auto self = this->shared_from_this();
    this->close();
    this->completeExchange(makeFailed(reason));
}

static bool isSubset(const std::map<std::string, std::string>& part, const std::map<std::string, std::string>& whole)
{
    return std::all_of(part.begin(), part.end(), [&whole](const auto& value) { return whole.count(value.first) > 0; });
}

std::vector<Statement> PooledConnection::makeSetupStatements(const SessionValues& wanted)
{
    std::vector<Statement> statements;
    if (this->currentValuesVersion == wanted.version())
        return statements;
    if (!isSubset(this->values, wanted.all())) {
        statements.push_back(makeProxyStatement(StatementKind::Reset));
        this->values.clear();
        this->preparedIds.clear();
    }
    for (const auto& [name, value] : wanted.all()) {
        auto& present = this->values[name];
        if (present == value && !value.empty())
            continue;
        present = value;
        Statement set = makeProxyStatement(StatementKind::SetValue);
        set.name = name;
        set.text = value;
        statements.push_back(std::move(set));
    }
    this->currentValuesVersion = wanted.version();
    return statements;
}

std::optional<Statement> PooledConnection::makePrepareStatement(uint32_t id, const PreparedStatement& definition)
{
    if (!this->preparedIds.insert(id).second)
        return std::nullopt;
    Statement statement = makeProxyStatement(StatementKind::Prepare);
    statement.name = preparedName(id);
    statement.effect = definition.effect;
    statement.text = definition.text;
    return statement;
}

GuardPath PooledConnection::guardPath() const
{
    if (this->relayAddress().empty())
        return GuardPath::Direct;
    return this->link->guardsBatches() ? GuardPath::Owner : GuardPath::Stepwise;
}

void PooledConnection::close()
{
    if (this->state == State::Closed)
        return;
    const auto self = this->weak_from_this().lock();
    this->state = State::Closed;
    this->cancelTimer();
    if (this->link)
        this->link->close();
    if (this->owningPool)
        this->owningPool->remove(*this);
}

void PooledConnection::linkConnected()
{
    this->isHostConnected = true;
    this->owningPool->handleHostConnected(*this);
}

void PooledConnection::linkOpened()
{
    if (this->state != State::Opening) {
        this->giveUp("the connection was reported open again");
        return;
    }
    this->cancelTimer();
    this->owningPool->handleConnectionOpened(*this);
}

void PooledConnection::linkConfirmed()
{
    if (this->owningPool)
        this->owningPool->handleConnectionConfirmed();
}

void PooledConnection::linkAnswered(std::vector<EndpointAnswer> answers)
{
    if (this->state != State::Waiting) {
        // Unsolicited data must not be taken for the answer to the next statement.
        this->giveUp("the endpoint answered without a question");
        return;
    }
    const size_t due = this->batch.dueAnswerCount();
    if (answers.empty() || answers.size() != due) {
        this->giveUp(std::to_string(answers.size()) + " answers arrived for " + std::to_string(due) + " statements");
        return;
    }
    const auto prepared = answers.begin() + static_cast<std::ptrdiff_t>(std::exchange(this->setupStatementCount, 0));
    if (std::any_of(
            answers.begin(), prepared, [](const EndpointAnswer& answer) { return answer.code != AnswerCode::Done; })) {
        // The remaining statements ran without the session's values, and the values of the connection are now unknown.
        this->giveUp("the endpoint refused to set the connection up");
        return;
    }
    this->cancelTimer();
    this->state = State::InUse;
    this->inTransaction = answers.back().state != TransactionState::Idle;
    if (this->owningPool) {
        this->owningPool->recordStatementTime(this->timers.now() - this->stateChangeTime);
        if (answers.back().position)
            this->owningPool->recordPosition(*answers.back().position);
    }
    if (this->batch.holdsRest() && this->trySendRest(answers))
        return;
    ExchangeResult result;
    result.isRestWithheld = !this->batch.finish(answers, result.guardAnswers);
    result.answers = std::move(answers);
    this->completeExchange(std::move(result));
}

void PooledConnection::linkIgnoredRepetition()
{
    if (this->owningPool)
        this->owningPool->reportRepeatedAnswer();
}

void PooledConnection::linkFailed(LinkFailure failure, AnswerCode code, const std::string& message)
{
    const auto self = this->shared_from_this();
    const State previous = std::exchange(this->state, State::Closed);
    this->cancelTimer();
    if (this->owningPool && previous != State::Opening)
        this->owningPool->reportBroken(*this, previous == State::Waiting, message);
    if (this->owningPool)
        this->owningPool->handleConnectionFailed(*this, failure, code, message, previous == State::Opening);
    this->completeExchange(makeFailed(message));
}

// Nothing was sent to the endpoint, so the pending batch is answered as a refusal and not as unanswered.
void PooledConnection::linkNotOpened(LinkFailure failure, AnswerCode code, const std::string& message)
{
    const auto self = this->shared_from_this();
    this->state = State::Closed;
    this->cancelTimer();
    if (this->owningPool)
        this->owningPool->handleConnectionFailed(*this, failure, code, message, true);
    if (!this->callback)
        return;
    EndpointAnswer notRun;
    notRun.code = AnswerCode::Busy;
    notRun.message = message;
    std::vector<EndpointAnswer> answers(this->batch.dueAnswerCount(), notRun);
    for (size_t index = 0; index < this->setupStatementCount; ++index)
        answers[index].code = AnswerCode::Done;
    ExchangeResult result;
    result.isRestWithheld = !this->batch.finish(answers, result.guardAnswers);
    result.answers = std::move(answers);
    this->completeExchange(std::move(result));
}

void PooledConnection::completeExchange(ExchangeResult result)
{
    this->sender.reset();
    auto done = std::exchange(this->callback, nullptr);
    if (!done)
        return;
    if (!result.hasAnswers())
        result.isRestWithheld = this->batch.holdsRest();
    done(std::move(result));
}

void PooledConnection::cancelTimer()
{
    if (this->timer)
        this->timers.cancel(*this->timer);
    this->timer.reset();
}

} // namespace Lavendervane
