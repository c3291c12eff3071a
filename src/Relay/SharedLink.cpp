#include "Relay/SharedLink.h"

#include <cassert>
#include <utility>

namespace Lavendervane {

// Bound on the rollback of a transaction whose sender has left. A rollback takes one round trip.
static constexpr Duration rollbackTimeout = std::chrono::seconds(1);

std::shared_ptr<SharedLink> SharedLink::open(std::shared_ptr<EndpointPool> pool, OrganisationId organisation,
    PreparedStatementIds& numbers, Timers& timers, LinkListener& listener)
{
    auto link = std::make_shared<SharedLink>(std::move(pool), std::move(organisation), numbers, timers, listener);
    timers.schedule(timers.now(), [link] {
        if (!link->listener)
            return;
        if (!link->pool->isReachable()) {
            link->fail(LinkFailure::Unreachable, AnswerCode::Busy, "the owner does not reach the endpoint");
            return;
        }
        link->listener->linkConnected();
        if (link->listener)
            link->listener->linkOpened();
    });
    return link;
}

SharedLink::SharedLink(std::shared_ptr<EndpointPool> pool, OrganisationId organisation, PreparedStatementIds& numbers,
    Timers& timers, LinkListener& listener)
    : pool(std::move(pool))
    , organisation(std::move(organisation))
    , numbers(numbers)
    , timers(timers)
    , listener(&listener)
{
}

SharedLink::~SharedLink() { assert(!this->listener || !this->working); }

void SharedLink::send(const std::vector<Statement>& batch, Instant deadline)
{
    assert(!this->working);
    this->working = true;
    this->preparations = this->takePreparations(batch);
    this->statements.assign(batch.begin() + static_cast<std::ptrdiff_t>(this->preparations), batch.end());
    if (this->connection) {
        this->acquired({ this->connection, "" }, deadline);
        return;
    }
    if (!this->pool->isReachable()) {
        this->answerNotRun("the owner does not reach the endpoint");
        return;
    }
    this->waiting = true;
    const uint64_t number = this->pool->acquire(this->organisation, this->values.version(), deadline,
        [self = this->shared_from_this(), deadline](const AcquireResult& result) {
            self->waiting = false;
            self->acquired(result, deadline);
        });
    // The pool may have served the wait from within the call, although it numbered it.
    this->wait = number;
}

// Carries out the leading statements that set values and prepare; returns how many they are.
size_t SharedLink::takePreparations(const std::vector<Statement>& batch)
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

void SharedLink::acquired(const AcquireResult& result, Instant deadline)
{
    const auto borrowed = result.connection;
    if (!this->listener) {
        if (borrowed)
            this->giveBack(borrowed, false);
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
    std::vector<Statement> batch = borrowed->makeSetupStatements(this->values);
    if (!this->bringPreparedStatements(*borrowed, batch)) {
        this->answerNotRun("a statement was not prepared");
        this->giveBack(borrowed, this->connection != nullptr);
        this->connection.reset();
        return;
    }
    borrowed->exchange(batch, deadline, [self = this->shared_from_this(), borrowed](ExchangeResult answers) {
        self->answered(borrowed, std::move(answers));
    });
}

// Adds the statements to the batch, under the names of the connection and after what prepares them. Returns false if
// the sender has not prepared one of them.
bool SharedLink::bringPreparedStatements(PooledConnection& borrowed, std::vector<Statement>& batch)
{
    std::vector<Statement> renamed = this->statements;
    for (Statement& statement : renamed) {
        if (statement.kind != StatementKind::Execute)
            continue;
        const auto definition = this->preparedStatements.find(statement.name);
        if (definition == this->preparedStatements.end())
            return false;
        const uint32_t number = this->numbers.idOf(definition->second);
        if (auto preparation = borrowed.makePrepareStatement(number, definition->second))
            batch.push_back(std::move(*preparation));
        statement.name = preparedName(number);
    }
    batch.insert(batch.end(), renamed.begin(), renamed.end());
    return true;
}

void SharedLink::answered(const std::shared_ptr<PooledConnection>& borrowed, ExchangeResult result)
{
    if (!result.hasAnswers()) {
        this->connection.reset();
        this->fail(LinkFailure::Broken, AnswerCode::Busy,
            result.timedOut ? "no answer of the endpoint in time" : "the connection to the endpoint broke");
        return;
    }
    std::vector<EndpointAnswer>& answers = result.answers;
    answers.erase(answers.begin(), answers.end() - static_cast<std::ptrdiff_t>(this->statements.size()));
    for (const EndpointAnswer& answer : answers) {
        if (answer.code == AnswerCode::UnknownPrepared)
            borrowed->forgetPrepared();
    }
    const bool inTransaction = answers.back().state != TransactionState::Idle;
    if (!this->listener || !inTransaction) {
        this->connection.reset();
        this->giveBack(borrowed, inTransaction);
    } else {
        this->connection = borrowed;
    }
    this->answer(std::move(answers));
}

// Nothing of the batch has been sent. The link stays usable unless the endpoint cannot be reached.
void SharedLink::answerNotRun(const std::string& reason)
{
    this->timers.schedule(this->timers.now(), [self = this->shared_from_this(), reason] {
        EndpointAnswer notRun;
        notRun.code = AnswerCode::Busy;
        notRun.message = reason;
        self->answer(std::vector<EndpointAnswer>(self->statements.size(), notRun));
        if (self->listener && !self->pool->isReachable())
            self->fail(LinkFailure::Broken, AnswerCode::Busy, reason);
    });
}

void SharedLink::answer(std::vector<EndpointAnswer> answers)
{
    this->working = false;
    EndpointAnswer done;
    done.code = AnswerCode::Done;
    answers.insert(answers.begin(), this->preparations, done);
    if (this->listener)
        this->listener->linkAnswered(std::move(answers));
}

void SharedLink::fail(LinkFailure failure, AnswerCode code, const std::string& message)
{
    this->working = false;
    if (LinkListener* receiver = std::exchange(this->listener, nullptr))
        receiver->linkFailed(failure, code, message);
}

void SharedLink::close()
{
    this->listener = nullptr;
    if (std::exchange(this->waiting, false)) {
        this->pool->cancel(this->wait);
        this->working = false;
    }
    // The answer of a batch under way ends the loan.
    if (!this->working && this->connection)
        this->giveBack(std::exchange(this->connection, nullptr), true);
}

void SharedLink::giveBack(const std::shared_ptr<PooledConnection>& borrowed, bool inTransaction)
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
    borrowed->exchange({ makeProxyStatement(StatementKind::Rollback) }, this->timers.now() + rollbackTimeout,
        [borrowed, release](const ExchangeResult&) { release(borrowed); });
}

} // namespace Lavendervane
