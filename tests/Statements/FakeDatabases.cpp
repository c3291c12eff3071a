#include "FakeDatabases.h"

#include <utility>

namespace Lavendervane {

namespace {

class FakeLink : public EndpointLink, public std::enable_shared_from_this<FakeLink> {
public:
    FakeLink(ManualTimers& timers, FakeDatabase& database, LinkListener& listener, Duration delay)
        : timers(timers)
        , database(database)
        , listener(&listener)
        , delay(delay)
    {
    }

    void open(const OrganisationId& organisation)
    {
        if (this->database.silentToConnections)
            return;
        if (!this->database.refuseConnections)
            this->scheduleAction([this] { this->listener->linkConnected(); });
        if (this->database.silentToOpenings)
            return;
        this->scheduleAction([this, organisation] {
            if (this->database.refuseConnections) {
                this->fail(LinkFailure::Refused, AnswerCode::Busy);
            } else if (this->database.tooManyConnections) {
                this->fail(LinkFailure::Rejected, AnswerCode::TooMany);
            } else {
                this->connected = true;
                ++this->database.connections;
                this->database.openedOrganisations.push_back(organisation);
                this->listener->linkOpened();
            }
        });
    }

    void send(const std::vector<Statement>& statements, const BatchOptions&) override
    {
        std::vector<EndpointAnswer> answers;
        ++this->database.batches;
        for (const Statement& statement : statements) {
            if (this->database.breakAt == statement.kind) {
                this->database.breakAt.reset();
                this->database.receivedStatements.push_back("broken");
                this->scheduleAction([this] { this->fail(LinkFailure::Broken, AnswerCode::Busy); });
                return;
            }
            answers.push_back(this->answer(statement));
        }
        if (this->database.silent)
            return;
        if (this->database.answersSent)
            answers.resize(*this->database.answersSent);
        this->scheduleAction(
            [this, answers = std::move(answers)]() mutable { this->listener->linkAnswered(std::move(answers)); });
    }

    bool mayCarryMore() const override { return !this->database.exhaustsLinks; }

    void close() override
    {
        this->listener = nullptr;
        if (std::exchange(this->connected, false))
            --this->database.connections;
    }

private:
    template <typename Action> void scheduleAction(Action action)
    {
        this->timers.schedule(this->timers.now() + this->delay, [self = this->shared_from_this(), action]() mutable {
            if (self->listener)
                action();
        });
    }

    void fail(LinkFailure failure, AnswerCode code)
    {
        LinkListener* receiver = this->listener;
        this->close();
        receiver->linkFailed(failure, code, "fake failure");
    }

    EndpointAnswer answer(const Statement& statement)
    {
        this->database.receivedStatements.push_back(describe(statement));
        if (statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly)
            this->database.lastBegin = statement;
        if (statement.kind == StatementKind::SetValue)
            this->database.lastSetValue = statement;
        EndpointAnswer reply;
        reply.position = this->database.position;
        if (this->database.hidesRefusedBegin && statement.kind == StatementKind::Begin) {
            reply.code = AnswerCode::Done;
            reply.state = TransactionState::Open;
            return reply;
        }
        if (this->database.hidesRefusedBegin) {
            this->applyStatement(statement, reply);
            reply = {};
            reply.code = AnswerCode::Busy;
            return reply;
        }
        reply.code = this->codeFor(statement);
        if (reply.code == AnswerCode::Done)
            this->applyStatement(statement, reply);
        else if (this->state == TransactionState::Open)
            this->state = TransactionState::Failed;
        reply.state = this->state;
        reply.position = this->database.position;
        return reply;
    }

    AnswerCode codeFor(const Statement& statement)
    {
        if (const auto refusal = this->database.refuseNext.find(statement.kind);
            refusal != this->database.refuseNext.end()) {
            const AnswerCode code = refusal->second;
            this->database.refuseNext.erase(refusal);
            return code;
        }
        if (statement.requiredPosition && this->database.position < *statement.requiredPosition)
            return AnswerCode::Lagging;
        const bool needsPrimary = statement.kind == StatementKind::Begin || statement.kind == StatementKind::Write;
        if (needsPrimary && this->database.role != EndpointRole::Primary)
            return AnswerCode::ReadOnly;
        return AnswerCode::Done;
    }

    void applyStatement(const Statement& statement, EndpointAnswer& reply)
    {
        if (statement.kind == StatementKind::Read || statement.kind == StatementKind::Write
            || statement.kind == StatementKind::Execute || statement.kind == StatementKind::Commit)
            this->database.runs.push_back({ describe(statement), this->values });
        switch (statement.kind) {
        case StatementKind::Begin:
        case StatementKind::BeginReadOnly:
            this->state = TransactionState::Open;
            this->wrote = false;
            break;
        case StatementKind::Write:
            this->wrote = true;
            if (this->state == TransactionState::Idle)
                ++this->database.position.position;
            reply.result = "written";
            break;
        case StatementKind::Read:
        case StatementKind::Execute:
            reply.result = "row " + statement.text;
            break;
        case StatementKind::Commit:
            if (this->wrote)
                ++this->database.position.position;
            this->state = TransactionState::Idle;
            reply.result = "committed";
            break;
        case StatementKind::Rollback:
            this->state = TransactionState::Idle;
            break;
        case StatementKind::SetValue:
            this->values[statement.name] = statement.text;
            break;
        case StatementKind::Reset:
            this->values.clear();
            break;
        case StatementKind::Status:
            reply.status
                = EndpointStatus { this->database.role, this->database.position.term.counter, this->database.position };
            break;
        case StatementKind::StepDown:
            this->database.role = EndpointRole::Replica;
            reply.status = EndpointStatus { this->database.role, statement.term, this->database.position };
            break;
        default:
            break;
        }
    }

    static std::string describe(const Statement& statement)
    {
        const std::string after = statement.requiredPosition
            ? " after " + std::to_string(statement.requiredPosition->term.counter) + "."
                + std::to_string(statement.requiredPosition->position)
            : "";
        switch (statement.kind) {
        case StatementKind::Begin:
            return "begin" + after;
        case StatementKind::BeginReadOnly:
            return "begin read only" + after;
        case StatementKind::Commit:
            return "commit";
        case StatementKind::Rollback:
            return "rollback";
        case StatementKind::SetValue:
            return "set " + statement.name + "=" + statement.text;
        case StatementKind::Prepare:
            return "prepare " + statement.name + " " + statement.text;
        case StatementKind::Execute:
            return "execute " + statement.name + " " + statement.text + after;
        case StatementKind::Reset:
            return "reset";
        case StatementKind::Status:
            return "status";
        case StatementKind::StepDown:
            return "step down " + std::to_string(statement.term);
        default:
            return statement.text + after;
        }
    }

    ManualTimers& timers;
    FakeDatabase& database;
    LinkListener* listener;
    Duration delay;
    TransactionState state = TransactionState::Idle;
    bool wrote = false;
    std::map<std::string, std::string> values;
    bool connected = false;
};

} // namespace

std::shared_ptr<EndpointLink> FakeConnector::connect(const LinkTarget& target, LinkListener& listener)
{
    auto link = std::make_shared<FakeLink>(this->timers, this->databases[target.endpoint.str()], listener, this->delay);
    link->open(target.organisation);
    return link;
}

} // namespace Lavendervane
