#include "CallerStandIn.h"

#include <iterator>
#include <utility>

namespace Lavendervane::EntryProcess {

namespace asio = boost::asio;
using namespace std::chrono_literals;

static constexpr auto connectLimit = 2s;
static constexpr auto answerLimit = 10s;

// Shared by all callers, so that a number names one transaction.
static uint64_t lastTransaction = 0;

CallerStandIn::CallerStandIn(
    asio::io_context& context, const CallerSettings& settings, PromiseChecker& checker, SeededRandom random)
    : context(context)
    , settings(settings)
    , checker(checker)
    , random(random)
    , timer(context)
{
}

CallerStandIn::~CallerStandIn() { this->closeSession(); }

void CallerStandIn::start()
{
    this->wait(this->random.duration(0ms, 2 * this->settings.longestPause), [this] { this->openSession(); });
}

void CallerStandIn::wait(std::chrono::microseconds duration, std::function<void()> action)
{
    // A wait whose time has passed may be delivered after it was cancelled.
    this->timer.expires_after(duration);
    this->timer.async_wait(
        [this, number = ++this->waitNumber, action = std::move(action)](const boost::system::error_code& error) {
            if (!error && number == this->waitNumber)
                action();
        });
}

void CallerStandIn::cancelWait()
{
    ++this->waitNumber;
    this->timer.cancel();
}

void CallerStandIn::openSession()
{
    if (this->isStopping)
        return;
    this->access = &this->settings.accesses[this->random.between(0, this->settings.accesses.size() - 1)];
    this->channel = std::make_shared<WireChannel>(
        asio::ip::tcp::socket(this->context), *this, this->random.split(), this->settings.faults.smallSegments);
    this->remainingOperations = this->random.between(1, 40);
    this->channel->write("CONNECT " + this->access->database + " " + this->access->key + "\r\n");
    this->channel->connect(this->settings.vms[this->random.between(0, this->settings.vms.size() - 1)]);
    this->wait(connectLimit, [this] {
        this->checker.addFigure("connect late");
        this->closeSession();
        this->start();
    });
}

void CallerStandIn::closeSession()
{
    this->cancelWait();
    if (this->channel)
        this->channel->close();
    this->channel.reset();
    this->isOpen = false;
    this->isWaitingForAnswer = false;
    this->state = 'I';
    this->ownPosition = 0;
    this->values.clear();
    this->prepared.clear();
    this->plan.clear();
    this->transaction = 0;
}

void CallerStandIn::handleEnd()
{
    if (this->isWaitingForAnswer)
        this->checker.handleClosed(this->statement.id);
    else if (!this->isOpen)
        this->checker.addFigure("connect closed");
    else if (this->transaction)
        this->checker.addFigure("closed between statements of a transaction");
    this->closeSession();
    this->start();
}

void CallerStandIn::handleConnectReply(const std::string& message)
{
    if (message.starts_with("READY I ")) {
        this->isOpen = true;
        this->startOperation();
        return;
    }
    this->checker.addFigure("connect " + message.substr(0, message.find(' ', 6)));
    this->closeSession();
    this->start();
}

void CallerStandIn::handleMessage(std::string message)
{
    if (!this->isOpen) {
        this->handleConnectReply(message);
        return;
    }
    const bool isError = message.starts_with("ERROR ");
    if (!this->isWaitingForAnswer) {
        if (isError)
            this->checker.addFigure("error between statements");
        else
            this->checker.addViolation("UNPROMPTED", printable(message));
        this->closeSession();
        this->start();
        return;
    }
    if (message.starts_with("ROW ") && !this->answer.hasResult) {
        this->answer.rows.push_back(message.substr(4));
    } else if (message.starts_with("COMPLETE ") && !this->answer.hasResult) {
        this->answer.mac = message.substr(9);
        this->answer.hasResult = true;
    } else if (isError && !this->answer.hasResult) {
        this->answer.code = message.substr(6, message.find(' ', 6) - 6);
        this->answer.hasResult = true;
    } else if (message.starts_with("READY ") && message.size() > 6 && this->answer.hasResult) {
        this->finishStatement(message[6]);
    } else {
        this->checker.addViolation("UNPROMPTED", printable(message));
        this->checker.handleClosed(this->statement.id);
        this->closeSession();
        this->start();
    }
}

void CallerStandIn::startOperation()
{
    if (this->isStopping || !this->remainingOperations) {
        // The far end may close first: an end without an open statement is no failure.
        this->channel->write("BYE\r\n");
        this->wait(20ms, [this] {
            this->closeSession();
            this->start();
        });
        return;
    }
    --this->remainingOperations;
    const uint64_t choice = this->random.between(0, 99);
    if (choice < 40)
        this->plan = { Kind::Read };
    else if (choice < 58)
        this->plan = { Kind::Write };
    else if (choice < 63)
        this->plan = { Kind::SetValue };
    else if (choice < 70)
        this->plan = { Kind::Prepare };
    else if (choice < 72)
        this->plan = { this->prepared.empty() ? Kind::Read : Kind::Deallocate };
    else if (choice < 82)
        this->plan = { this->prepared.empty() ? Kind::Prepare : Kind::Execute };
    else
        this->planTransaction();
    this->wait(this->random.duration(5ms, this->settings.longestPause), [this] { this->sendNext(); });
}

void CallerStandIn::planTransaction()
{
    const bool isReadOnly = this->random.chance(0.3);
    this->plan = { isReadOnly ? Kind::BeginReadOnly : Kind::Begin };
    for (uint64_t count = this->random.between(2, 5); count; --count) {
        const uint64_t choice = this->random.between(0, 2);
        if (choice == 2 && !this->prepared.empty() && !isReadOnly)
            this->plan.push_back(Kind::Execute);
        else
            this->plan.push_back(choice == 0 || isReadOnly ? Kind::Read : Kind::Write);
        if (this->random.chance(0.1))
            this->plan.push_back(Kind::SetValue);
    }
    this->plan.push_back(this->random.chance(0.8) ? Kind::Commit : Kind::Rollback);
}

void CallerStandIn::sendNext()
{
    const Kind next = this->plan.front();
    this->plan.pop_front();
    // Executions read the shape from the statement, which makeText sets.
    this->statement = {};
    this->send(next, this->makeText(next));
}

std::string CallerStandIn::makeData()
{
    return this->random.chance(this->settings.faults.oddTexts) ? this->random.oddBytes() : this->random.word();
}

std::string CallerStandIn::makeText(Kind next)
{
    switch (next) {
    case Kind::Read:
        return "READ " + this->makeData();
    case Kind::Write:
        return "WRITE " + this->random.word() + " " + this->makeData();
    case Kind::Execute:
        return this->makeExecution();
    case Kind::SetValue:
        this->name = "v" + std::to_string(this->random.between(1, 3));
        this->value = this->makeData();
        return "SET " + this->name + " " + this->value;
    case Kind::Prepare:
        // Names collide between callers.
        this->name = "s" + std::to_string(this->random.between(1, 4));
        this->statement.shape = PreparedShape { this->random.chance(0.5), this->makeData() };
        return "PREPARE " + this->name + (this->statement.shape->writes ? " WRITE " : " READ ")
            + this->statement.shape->text;
    case Kind::Deallocate:
        this->name = this->prepared.begin()->first;
        return "DEALLOC " + this->name;
    case Kind::Begin:
        return "BEGIN";
    case Kind::BeginReadOnly:
        return "BEGIN READ";
    case Kind::Commit:
        return "COMMIT";
    case Kind::Rollback:
        return "ROLLBACK";
    }
    return "";
}

std::string CallerStandIn::makeExecution()
{
    auto chosen = this->prepared.begin();
    std::advance(chosen, this->random.between(0, this->prepared.size() - 1));
    this->statement.shape = chosen->second;
    const std::string arguments = this->random.word() + (chosen->second.writes ? " " + this->makeData() : "");
    this->statement.text = "EXECUTE " + arguments;
    return "EXECUTE " + chosen->first + " " + arguments;
}

void CallerStandIn::send(Kind next, const std::string& text)
{
    const bool begins = next == Kind::Begin || next == Kind::BeginReadOnly;
    this->kind = next;
    SentStatement& sent = this->statement;
    sent.id = this->random.identifier();
    if (next != Kind::Execute)
        sent.text = text;
    sent.group = this->access->group;
    sent.organisation = this->access->organisation;
    sent.values = this->values;
    sent.database = this->access->database;
    sent.requiredPosition = this->transaction
        ? this->transactionPosition
        : this->checker.requiredPosition(sent.group, this->access->type, this->access->maxStaleness, this->ownPosition);
    if (begins) {
        this->transaction = ++lastTransaction;
        this->transactionPosition = sent.requiredPosition;
    }
    sent.transaction = this->transaction;
    this->checker.handleSent(sent);
    this->answer = {};
    this->isWaitingForAnswer = true;
    this->channel->write("QUERY " + sent.id + " " + text + "\r\n");
    if (this->random.chance(this->settings.abandonedStatements)) {
        this->wait(this->random.duration(0ms, 10ms), [this] { this->abandon(); });
        return;
    }
    this->wait(answerLimit, [this] {
        this->checker.handleUnanswered(this->statement.id);
        this->closeSession();
        this->start();
    });
}

void CallerStandIn::abandon()
{
    this->checker.handleAbandoned();
    this->closeSession();
    this->start();
}

void CallerStandIn::applySuccess(uint64_t position)
{
    this->ownPosition = std::max(this->ownPosition, position);
    if (this->kind == Kind::SetValue)
        this->values[this->name] = this->value;
    else if (this->kind == Kind::Prepare)
        this->prepared[this->name] = *this->statement.shape;
    else if (this->kind == Kind::Deallocate)
        this->prepared.erase(this->name);
}

void CallerStandIn::finishStatement(char newState)
{
    this->cancelWait();
    this->isWaitingForAnswer = false;
    this->state = newState;
    const bool ends = this->kind == Kind::Commit || this->kind == Kind::Rollback;
    if (this->answer.code.empty()) {
        this->applySuccess(this->checker.handleSuccess(this->statement.id, this->answer.mac, this->answer.rows));
        const char expected = this->transaction && !ends ? 'T' : 'I';
        if (newState != expected) {
            this->checker.addViolation("STATE",
                this->statement.id + " " + printable(this->statement.text) + " was answered with state " + newState);
            this->closeSession();
            this->start();
            return;
        }
    } else {
        this->checker.handleError(this->statement.id, this->answer.code);
        const bool isSessionFailed
            = this->kind == Kind::SetValue || this->kind == Kind::Prepare || this->kind == Kind::Deallocate;
        if (isSessionFailed || (newState != 'I' && ends)) {
            this->closeSession();
            this->start();
            return;
        }
        this->plan.clear();
        if (newState != 'I')
            this->plan = { Kind::Rollback };
    }
    if (newState == 'I')
        this->transaction = 0;
    if (this->plan.empty())
        this->startOperation();
    else
        this->wait(this->random.duration(0ms, 20ms), [this] { this->sendNext(); });
}

} // namespace Lavendervane::EntryProcess
