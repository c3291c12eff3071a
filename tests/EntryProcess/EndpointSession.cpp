#include "EndpointSession.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <utility>

namespace Lavendervane::EntryProcess {

namespace asio = boost::asio;
using namespace std::chrono_literals;

// Removes the first word and the blank after it.
static std::string takeWord(std::string_view& rest)
{
    const size_t end = rest.find(' ');
    std::string word(rest.substr(0, end));
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return word;
}

// Returns the number of a position TERM.NUMBER; the largest one, which no log reaches, if the text is malformed.
static uint64_t positionNumber(const std::string& position)
{
    uint64_t number = 0;
    const char* const end = position.data() + position.size();
    const char* const start = position.data() + std::min(position.size(), position.find('.') + 1);
    const auto parsed = std::from_chars(start, end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? number : UINT64_MAX;
}

EndpointSession::EndpointSession(EndpointStandIn& endpoint, asio::ip::tcp::socket connection)
    : endpoint(endpoint)
    , channel(std::make_shared<WireChannel>(
          std::move(connection), *this, endpoint.random.split(), endpoint.settings.faults.smallSegments))
{
}

void EndpointSession::close()
{
    this->isClosed = true;
    this->channel->close();
}

void EndpointSession::handleEnd()
{
    const auto self = this->shared_from_this();
    this->close();
    this->endpoint.remove(self);
}

void EndpointSession::handleMessage(std::string message)
{
    if (!this->isOpen) {
        this->handleConnect(message);
        return;
    }
    this->messages.push_back(std::move(message));
    this->runNext();
}

void EndpointSession::handleConnect(std::string_view message)
{
    const std::string verb = takeWord(message);
    const std::string group = takeWord(message);
    this->organisation = takeWord(message);
    const std::string& id = this->endpoint.settings.id;
    if (verb != "CONNECT" || group != this->endpoint.settings.group || (!message.empty() && message != id)) {
        this->refuseConnection("WRONGNODE " + id);
        return;
    }
    if (this->endpoint.connectionCount() > this->endpoint.settings.maxConnections) {
        this->refuseConnection("TOOMANY too many connections");
        return;
    }
    this->isOpen = true;
    this->isRunning = true;
    const bool hasSlot = this->endpoint.occupySlot(2ms, [self = this->shared_from_this()] {
        self->isRunning = false;
        self->send(self->readyMessage());
        self->runNext();
    });
    if (!hasSlot)
        this->refuseConnection("BUSY queue is full");
}

void EndpointSession::refuseConnection(const std::string& codeAndText)
{
    this->endpoint.checker.addFigure("endpoint refused connections");
    this->channel->write("ERROR " + codeAndText + "\r\n");
    this->channel->finish();
}

void EndpointSession::runNext()
{
    if (this->isRunning || this->isClosed || this->messages.empty())
        return;
    const std::string message = std::move(this->messages.front());
    this->messages.pop_front();
    std::string_view rest = message;
    const std::string verb = takeWord(rest);
    if (verb != "QUERY") {
        if (message != "BYE")
            this->endpoint.checker.addFigure("endpoint unknown messages");
        this->handleEnd();
        return;
    }
    const std::string id = takeWord(rest);
    this->isRunning = true;
    this->run(id, rest);
}

void EndpointSession::run(const std::string& id, std::string_view text)
{
    std::string_view rest = text;
    std::string verb = takeWord(rest);
    if (this->state == 'E' && verb != "COMMIT" && verb != "ROLLBACK") {
        this->fail("MALFORMED the transaction has failed");
        return;
    }
    if (verb == "AFTER") {
        if (positionNumber(takeWord(rest)) > this->endpoint.position()) {
            this->fail("LAGGING 1." + std::to_string(this->endpoint.position()));
            return;
        }
        verb = takeWord(rest);
    }
    if (this->runWithoutSlot(verb, rest))
        return;
    Statement statement { id, verb, std::string(rest), verb + (rest.empty() ? "" : " ") + std::string(rest), {},
        this->endpoint.position() };
    if (verb == "EXECUTE") {
        const std::string name = takeWord(rest);
        const auto known = this->prepared.find(name);
        if (known == this->prepared.end()) {
            this->fail("NOSTMT " + name);
            return;
        }
        statement.shape = known->second;
        statement.comparedText = "EXECUTE " + std::string(rest);
    }
    this->runInSlot(std::move(statement));
}

bool EndpointSession::runWithoutSlot(const std::string& verb, std::string_view rest)
{
    if (verb == "BEGIN") {
        this->begin(rest);
    } else if (verb == "ROLLBACK" || (verb == "COMMIT" && this->state == 'E')) {
        this->state = 'I';
        this->transaction = 0;
        verb == "ROLLBACK" ? this->complete() : this->fail("ABORTED the transaction has failed");
    } else if (verb == "SET" && this->endpoint.random.chance(this->endpoint.settings.faults.busyRefusals)) {
        this->fail("BUSY " + this->endpoint.settings.id);
    } else if (verb == "SET") {
        const std::string name = takeWord(rest);
        this->values[name] = rest;
        this->complete();
    } else if (verb == "PREPARE") {
        const std::string name = takeWord(rest);
        const bool writes = takeWord(rest) == "WRITE";
        this->prepared[name] = { writes, std::string(rest) };
        this->complete();
    } else if (verb == "DEALLOC") {
        this->prepared.erase(std::string(rest));
        this->complete();
    } else if (verb == "RESET") {
        this->values.clear();
        this->prepared.clear();
        this->complete();
    } else if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE" || verb == "RESUME") {
        this->runCommand(verb, rest);
    } else if ((verb != "COMMIT" || this->state != 'T') && verb != "READ" && verb != "WRITE" && verb != "EXECUTE") {
        this->endpoint.checker.addFigure("endpoint MALFORMED");
        this->fail("MALFORMED unknown statement");
    } else {
        return false;
    }
    return true;
}

// All commands return the same row.
void EndpointSession::runCommand(const std::string& verb, std::string_view rest)
{
    uint64_t term = 0;
    std::from_chars(rest.data(), rest.data() + rest.size(), term);
    if (verb == "PAUSE")
        this->endpoint.pause(term);
    else if (verb == "RESUME")
        this->endpoint.resume();
    else if (verb == "STEPDOWN")
        this->endpoint.stepDown(term);
    this->answer(this->statusRow() + "COMPLETE -\r\n");
}

void EndpointSession::begin(std::string_view rest)
{
    if (this->state != 'I') {
        this->fail("MALFORMED a transaction is open");
        return;
    }
    this->isReadOnly = rest == "READ";
    if (!this->isReadOnly && !this->endpoint.isPrimary()) {
        this->fail("READONLY " + this->endpoint.settings.id);
        return;
    }
    this->state = 'T';
    this->transaction = this->endpoint.nextTransaction();
    this->writes.clear();
    this->complete();
}

void EndpointSession::runInSlot(Statement statement)
{
    const bool writes = statement.shape ? statement.shape->writes : statement.verb == "WRITE";
    if (writes && (!this->endpoint.isPrimary() || (this->state == 'T' && this->isReadOnly))) {
        this->fail("READONLY " + this->endpoint.settings.id);
        return;
    }
    if (statement.verb != "COMMIT" && this->endpoint.random.chance(this->endpoint.settings.faults.busyRefusals)) {
        this->fail("BUSY " + this->endpoint.settings.id);
        return;
    }
    const auto work = this->endpoint.random.duration(500us, 4ms);
    const bool hasSlot = this->endpoint.occupySlot(
        work, [self = this->shared_from_this(), statement = std::move(statement)] { self->finishRun(statement); });
    if (!hasSlot)
        this->fail("BUSY queue is full");
}

void EndpointSession::finishRun(const Statement& statement)
{
    // A closed connection rolls its transaction back. A single write may take effect nevertheless.
    const bool writes = statement.shape ? statement.shape->writes : statement.verb == "WRITE";
    if (this->isClosed && (this->state != 'I' || !writes))
        return;
    EndpointStandIn& endpoint = this->endpoint;
    endpoint.checker.handleRun({ statement.id, statement.comparedText, endpoint.settings.id, endpoint.settings.group,
        this->organisation, this->transaction, statement.shape, this->values, statement.position });
    if (statement.verb == "COMMIT") {
        if (!this->writes.empty())
            endpoint.checker.handleCommit(statement.id, this->transaction, endpoint.log.commit(), this->writes);
        this->state = 'I';
        this->transaction = 0;
        this->writes.clear();
    } else if (writes && this->state == 'T') {
        this->writes.push_back(statement.id);
    } else if (writes) {
        endpoint.checker.handleCommit(statement.id, 0, endpoint.log.commit(), { statement.id });
    }
    const std::vector<std::string> rows
        = writes || statement.verb == "COMMIT" ? std::vector<std::string>() : this->makeRows();
    const std::string mac = endpoint.makeMac();
    endpoint.checker.handleAnswer(statement.id, mac, rows);
    std::string body;
    for (const std::string& row : rows)
        body += "ROW " + row + "\r\n";
    this->answer(body + "COMPLETE " + mac + "\r\n");
}

std::vector<std::string> EndpointSession::makeRows()
{
    SeededRandom& random = this->endpoint.random;
    std::vector<std::string> rows(random.between(0, 3));
    for (std::string& row : rows)
        row = random.chance(this->endpoint.settings.faults.oddRows) ? random.oddBytes() : random.word();
    return rows;
}

void EndpointSession::fail(const std::string& codeAndText)
{
    if (this->state == 'T')
        this->state = 'E';
    this->answer("ERROR " + codeAndText + "\r\n");
}

void EndpointSession::answer(const std::string& body)
{
    this->isRunning = false;
    if (this->isClosed)
        return;
    this->send(body + this->readyMessage());
    asio::post(this->endpoint.context, [self = this->shared_from_this()] { self->runNext(); });
}

void EndpointSession::send(const std::string& bytes)
{
    if (this->isClosed)
        return;
    this->channel->write(bytes);
    SeededRandom& random = this->endpoint.random;
    if (!random.chance(this->endpoint.settings.faults.repeatedAnswers))
        return;
    const auto timer = std::make_shared<asio::steady_timer>(this->endpoint.context, random.duration(0ms, 60ms));
    timer->async_wait([self = this->shared_from_this(), timer, bytes](const boost::system::error_code&) {
        if (self->isClosed)
            return;
        self->endpoint.checker.addFigure("repeated answers");
        self->channel->write(bytes);
    });
}

std::string EndpointSession::readyMessage() const
{
    return std::string("READY ") + this->state + " 1." + std::to_string(this->endpoint.position()) + "\r\n";
}

std::string EndpointSession::statusRow() const
{
    const EndpointStandIn& endpoint = this->endpoint;
    return std::string("ROW ") + (endpoint.isPrimary() ? "primary " : "replica ") + std::to_string(endpoint.term())
        + " 1." + std::to_string(endpoint.position()) + " " + std::to_string(endpoint.heldTerm()) + " "
        + std::to_string(endpoint.settings.lag.count()) + " " + std::to_string(this->endpoint.busySlots()) + " "
        + std::to_string(this->endpoint.connectionCount()) + "\r\n";
}

} // namespace Lavendervane::EntryProcess
