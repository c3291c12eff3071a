#include "StandIn/EndpointConnection.h"

#include "Core/Error.h"
#include "Runtime/BootTime.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Lavendervane::StandIn {

struct EndpointConnection::Exchange {
    Json request;
    HttpRespond respond;
};

static bool isTraffic(const std::string& path)
{
    return path == "/execute" || path == "/begin" || path == "/statement" || path == "/commit" || path == "/rollback";
}

static bool isWrite(const Json& request) { return request.value("access", "read") == "write"; }

static std::string text(const Json& request, const char* name)
{
    const auto found = request.find(name);
    return found != request.end() && found->is_string() ? found->get<std::string>() : std::string();
}

static Json readStatements(const Json& request) { return request.value("statements", Json::array()); }

// Runs the callback after the delay, or synchronously without a timer if the delay is zero.
template <typename Callback> static void runAfter(boost::asio::io_context& context, Duration delay, Callback callback)
{
    if (delay <= Duration::zero()) {
        callback();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, callback](boost::system::error_code) { callback(); });
}

EndpointConnection::EndpointConnection(EndpointServer& server)
    : server(server)
    , serverLifetime(server.lifetime)
{
}

void EndpointConnection::handle(HttpRequest request, HttpRespond respond)
{
    this->server.seen.observe(request);
    const std::string path(request.target());
    auto exchange = std::make_shared<Exchange>();
    exchange->respond = std::move(respond);
    exchange->request = request.body().empty() ? Json::object() : Json::parse(request.body(), nullptr, false);
    if (!exchange->request.is_object()) {
        exchange->request = Json::object();
        reply(exchange,
            { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", "the body is not a JSON object" } },
            400);
        return;
    }
    this->dispatch(path, exchange);
}

void EndpointConnection::dispatch(const std::string& path, const ExchangePointer& exchange)
{
    try {
        if (isTraffic(path))
            this->admitTraffic(path, exchange);
        else if (path == "/await")
            this->await(exchange);
        else if (!this->dispatchMember(path, exchange))
            reply(exchange,
                { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", "unknown path " + path } }, 404);
    } catch (const std::exception& error) {
        reply(exchange, { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", error.what() } }, 400);
    }
}

bool EndpointConnection::dispatchMember(const std::string& path, const ExchangePointer& exchange)
{
    const Json& request = exchange->request;
    if (path == "/status")
        reply(exchange, this->server.status());
    else if (path == "/replicate")
        reply(exchange, this->server.replicate(request));
    else if (path == "/fence")
        reply(exchange, this->server.fence(request));
    else if (path == "/promote")
        reply(exchange, this->server.promote(request));
    else if (path == "/follow")
        reply(exchange, this->server.follow(request));
    else if (path == "/control")
        reply(exchange, this->server.control(request));
    else if (path == "/control/dump")
        reply(exchange, this->server.dump());
    else
        return false;
    return true;
}

void EndpointConnection::await(const ExchangePointer& exchange)
{
    const Term term = parseTerm(exchange->request.at("term"));
    const auto position = exchange->request.at("position").get<uint64_t>();
    const std::chrono::milliseconds timeout(exchange->request.value("timeout_ms", 0));
    const auto reached = [&state = *this->server.endpoint, term, position] {
        return state.position() >= position && state.term() == term;
    };
    this->server.waiters.wait(reached, timeout, [&state = *this->server.endpoint, exchange](bool) {
        reply(exchange, { { "term", toJson(state.term()) }, { "position", state.position() } });
    });
}

// Only connections that carry traffic count towards the limit, so that status polls and replication still work when the
// limit is reached.
bool EndpointConnection::admitConnection()
{
    if (this->server.trafficConnections >= this->server.settings.connections)
        return false;
    this->counted = true;
    ++this->server.trafficConnections;
    return true;
}

void EndpointConnection::admitTraffic(const std::string& path, const ExchangePointer& exchange)
{
    if (this->counted) {
        this->waitForCover(path, exchange);
        return;
    }
    if (!this->admitConnection()) {
        HttpResponse response = makeJsonResponse(503,
            Json { { "exchange_id", exchange->request.value("exchange_id", Json()) }, { "outcome", "not_run" },
                { "code", "too_many_connections" } }
                .dump());
        response.keep_alive(false);
        exchange->respond(std::move(response));
        return;
    }
    runAfter(this->server.context, this->server.settings.connectionCost,
        [self = this->shared_from_this(), path, exchange] { self->waitForCover(path, exchange); });
}

void EndpointConnection::waitForCover(const std::string& path, const ExchangePointer& exchange)
{
    const Json& request = exchange->request;
    const auto cover = request.find("cover");
    // A primary in the term of a write holds every acknowledged write, so only reads must wait.
    if (cover == request.end() || cover->is_null() || isWrite(request)) {
        this->takeSlot(path, exchange);
        return;
    }
    LogPosition required;
    std::chrono::milliseconds limit;
    try {
        required = { parseTerm(cover->at("term")), cover->at("position").get<uint64_t>() };
        limit = std::chrono::milliseconds(request.value("cover_wait_ms", 0));
    } catch (const std::exception& error) {
        this->answerTraffic(exchange, { "bad_request", error.what(), Json::array(), 0, false });
        return;
    }
    const auto covered
        = [&state = *this->server.endpoint, required] { return state.appliedPosition().covers(required); };
    this->server.waiters.wait(covered, limit, [self = this->shared_from_this(), path, exchange](bool reached) {
        if (reached)
            self->takeSlot(path, exchange);
        else
            self->answerTraffic(exchange, { "not_covered", "", Json::array(), 0, false });
    });
}

void EndpointConnection::takeSlot(const std::string& path, const ExchangePointer& exchange)
{
    this->server.slots.acquire([self = this->shared_from_this(), path, exchange](bool taken) {
        if (!taken) {
            self->answerTraffic(exchange, { "busy", "no slot became free", Json::array(), 0, false });
            return;
        }
        runAfter(self->server.context, self->server.settings.serviceTime + self->server.switches.slow,
            [self, path, exchange] { self->serve(path, exchange); });
    });
}

void EndpointConnection::serve(const std::string& path, const ExchangePointer& exchange)
{
    const uint64_t before = this->server.endpoint->position();
    Answer answer;
    try {
        answer = this->run(path, exchange->request);
    } catch (const std::exception& error) {
        answer = { "bad_request", error.what(), Json::array(), 0, false };
    }
    this->answerTraffic(exchange, std::move(answer));
    if (this->server.endpoint->position() != before)
        this->server.onStateChanged();
    this->server.slots.release();
}

Answer EndpointConnection::run(const std::string& path, const Json& request)
{
    if (path == "/begin")
        return this->begin(request);
    if (path == "/statement")
        return this->statement(request);
    if (path != "/execute")
        return this->finishTransaction(path, request);

    const std::string organisation = text(request, "organisation");
    if (organisation.empty())
        throw Error("execute", "", "\"organisation\" is missing");
    const bool write = isWrite(request);
    Transaction transaction(
        organisation, write ? parseTerm(request.at("term")) : Term {}, this->server.endpoint->position(), write);
    return this->server.endpoint->execute(transaction, parseStatements(readStatements(request)),
        text(request, "idempotency_key"), text(request, "digest"), bootTimeNow());
}

Answer EndpointConnection::begin(const Json& request)
{
    const std::string organisation = text(request, "organisation");
    if (this->transaction)
        throw Error("begin", "", "a transaction is open on this connection");
    if (organisation.empty())
        throw Error("begin", "", "\"organisation\" is missing");
    const EndpointState& state = *this->server.endpoint;
    const bool write = isWrite(request);
    const Term term = write ? parseTerm(request.at("term")) : Term {};
    if (write) {
        if (const std::string code = state.writeRejection(term); !code.empty())
            return { code, "", Json::array(), state.position(), false };
    }
    // If the client closed the connection while the request waited, no transaction is opened, as nothing would end it.
    if (!this->closed)
        this->transaction = std::make_unique<Transaction>(organisation, term, state.position(), write);
    return { "", "", Json::array(), state.position(), false };
}

Answer EndpointConnection::statement(const Json& request)
{
    if (!this->transaction)
        return { "no_transaction", "", Json::array(), 0, false };
    const std::string organisation = text(request, "organisation");
    if (!organisation.empty() && organisation != this->transaction->organisation())
        throw Error("statement", "", "the transaction belongs to another organisation");
    Answer answer = this->server.endpoint->run(*this->transaction, parseStatements(readStatements(request)));
    if (!answer.code.empty())
        this->transaction.reset();
    return answer;
}

Answer EndpointConnection::finishTransaction(const std::string& path, const Json& request)
{
    if (!this->transaction)
        return { "no_transaction", "", Json::array(), 0, false };
    const auto ended = std::move(this->transaction);
    if (path == "/rollback")
        return { "", "", Json::array(), this->server.endpoint->position(), false };
    return this->server.endpoint->commit(
        *ended, text(request, "idempotency_key"), text(request, "digest"), Json::array(), bootTimeNow());
}

void EndpointConnection::answerTraffic(const ExchangePointer& exchange, Answer answer)
{
    const EndpointState& state = *this->server.endpoint;
    const bool done = answer.code.empty();
    Json body { { "exchange_id", exchange->request.value("exchange_id", Json()) },
        { "outcome", done ? "done" : "not_run" }, { "code", std::move(answer.code) },
        { "results", std::move(answer.results) }, { "term", toJson(state.term()) },
        { "position", done ? answer.position : state.position() }, { "first_position", state.firstPosition() },
        { "promised", toJson(state.promised()) }, { "role", state.primary() ? "primary" : "replica" },
        { "primary", state.primaryAddress() }, { "replayed", answer.replayed },
        { "lag_ms", std::chrono::duration_cast<std::chrono::milliseconds>(state.lag(bootTimeNow())).count() } };
    if (!answer.message.empty())
        body["message"] = std::move(answer.message);
    this->sendTraffic(exchange, body.dump());
}

void EndpointConnection::sendTraffic(const ExchangePointer& exchange, std::string body)
{
    EndpointSwitches& switches = this->server.switches;
    if (switches.dropAnswers) {
        --switches.dropAnswers;
        exchange->respond = nullptr; // closes the connection
        return;
    }
    if (std::exchange(switches.crossNext, false)) {
        if (this->server.lastAnswer.empty())
            this->server.lastAnswer = R"({"exchange_id":"crossed","outcome":"done","code":"","results":[]})";
        body.swap(this->server.lastAnswer);
    } else
        this->server.lastAnswer = body;
    exchange->respond(makeJsonResponse(200, std::move(body)));
}

void EndpointConnection::reply(const ExchangePointer& exchange, Json body, unsigned status)
{
    if (const auto id = exchange->request.find("exchange_id"); id != exchange->request.end())
        body["exchange_id"] = *id;
    exchange->respond(makeJsonResponse(status, body.dump()));
}

void EndpointConnection::handleClosed()
{
    this->closed = true;
    this->transaction.reset();
    if (std::exchange(this->counted, false) && !this->serverLifetime.expired())
        --this->server.trafficConnections;
}

HttpResponse EndpointConnection::makeErrorResponse(unsigned status, const std::string& reason)
{
    return makeJsonResponse(
        status, Json { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", reason } }.dump());
}

} // namespace Lavendervane::StandIn
