#include "Statements/PooledConnection.h"

#include "Statements/EndpointPool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lavendervane {

PooledConnection::PooledConnection(EndpointPool& pool, Timers& timers, OrganisationId organisation)
    : home(&pool)
    , timers(timers)
    , owner(std::move(organisation))
    , since(timers.now())
{
}

PooledConnection::~PooledConnection()
{
    this->cancelTimer();
    if (this->link)
        this->link->close();
}

// Statements at the start of a batch that give the connection the values and prepared statements of a session.
static size_t countPreparations(const std::vector<Statement>& statements)
{
    const auto end = std::find_if(statements.begin(), statements.end(), [](const Statement& statement) {
        return statement.kind != StatementKind::Reset && statement.kind != StatementKind::SetValue
            && statement.kind != StatementKind::Prepare;
    });
    return static_cast<size_t>(end - statements.begin());
}

void PooledConnection::exchange(const std::vector<Statement>& statements, Instant deadline, ExchangeCallback done)
{
    assert(this->state == State::InUse);
    this->state = State::Waiting;
    this->since = this->timers.now();
    this->callback = std::move(done);
    this->preparations = countPreparations(statements);
    this->scheduleCheck(deadline);
    this->link->send(statements, deadline);
}

// One timer serves both the suspicion of a silent endpoint and the deadline.
void PooledConnection::scheduleCheck(Instant deadline)
{
    const Instant suspicion = this->home ? this->since + this->home->poolSettings().suspicionTime : deadline;
    const bool early = suspicion < deadline && this->timers.now() < suspicion;
    this->timer = this->timers.schedule(early ? suspicion : deadline, [this, deadline, early] {
        this->timer.reset();
        const auto self = this->shared_from_this();
        if (!early) {
            auto unanswered = std::exchange(this->callback, nullptr);
            this->close();
            if (unanswered)
                unanswered({ {}, true });
            return;
        }
        this->scheduleCheck(deadline);
        if (this->home)
            this->home->suspect(this->since);
    });
}

void PooledConnection::abandon()
{
    const auto self = this->shared_from_this();
    this->close();
    this->finish({});
}

static bool isSubset(const std::map<std::string, std::string>& part, const std::map<std::string, std::string>& whole)
{
    return std::all_of(part.begin(), part.end(), [&whole](const auto& value) { return whole.count(value.first) > 0; });
}

std::vector<Statement> PooledConnection::makeSetupStatements(const SessionValues& wanted)
{
    std::vector<Statement> statements;
    if (this->stamp == wanted.version())
        return statements;
    if (!isSubset(this->values, wanted.all())) {
        statements.push_back(makeProxyStatement(StatementKind::Reset));
        this->values.clear();
        this->prepared.clear();
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
    this->stamp = wanted.version();
    return statements;
}

std::optional<Statement> PooledConnection::makePrepareStatement(uint32_t number, const PreparedStatement& definition)
{
    if (!this->prepared.insert(number).second)
        return std::nullopt;
    Statement statement = makeProxyStatement(StatementKind::Prepare);
    statement.name = preparedName(number);
    statement.effect = definition.effect;
    statement.text = definition.text;
    return statement;
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
    if (this->home)
        this->home->remove(*this);
}

void PooledConnection::linkConnected()
{
    this->hostAnswered = true;
    this->home->hostAnswered(*this);
}

void PooledConnection::linkOpened()
{
    this->cancelTimer();
    this->home->connectionOpened(*this);
}

void PooledConnection::linkAnswered(std::vector<EndpointAnswer> answers)
{
    if (this->state != State::Waiting) {
        // Bytes that nothing asked for: whatever they belong to must not meet the next statement.
        this->close();
        return;
    }
    const auto prepared = answers.begin() + static_cast<std::ptrdiff_t>(std::min(this->preparations, answers.size()));
    if (std::any_of(
            answers.begin(), prepared, [](const EndpointAnswer& answer) { return answer.code != AnswerCode::Done; })) {
        // What came after ran with other values than the session's, and the connection's values are not known.
        this->abandon();
        return;
    }
    this->cancelTimer();
    this->state = State::InUse;
    this->inTransaction = answers.back().state != TransactionState::Idle;
    if (this->home) {
        this->home->recordTime(this->timers.now() - this->since);
        if (answers.back().position)
            this->home->recordPosition(*answers.back().position);
    }
    this->finish({ std::move(answers), false });
}

void PooledConnection::linkFailed(LinkFailure failure, AnswerCode code, const std::string& message)
{
    const auto self = this->shared_from_this();
    const bool opening = this->state == State::Opening;
    this->state = State::Closed;
    this->cancelTimer();
    if (this->home)
        this->home->connectionFailed(*this, failure, code, message, opening);
    this->finish({});
}

void PooledConnection::finish(ExchangeResult result)
{
    if (auto done = std::exchange(this->callback, nullptr))
        done(std::move(result));
}

void PooledConnection::cancelTimer()
{
    if (this->timer)
        this->timers.cancel(*this->timer);
    this->timer.reset();
}

} // namespace Lavendervane
