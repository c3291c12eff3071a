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

static std::string textOrEmpty(const Json& request, const char* name)
{
    const auto found = request.find(name);
    return found != request.end() && found->is_string() ? found->get<std::string>() : std::string();
}

static Json statementsField(const Json& request) { return request.value("statements", Json::array()); }

// Calls back after the delay, or directly from within this call if the delay is zero.
template <typename Callback>
static void runAfterDelay(boost::asio::io_context& context, Duration delay, Callback callback)
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
    , serverLifetime(server.lifetimeToken)
{
}

void EndpointConnection::handle(HttpRequest request, HttpRespond respond)
{
    this->server.recorder.record(request);
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
            this->handleAwait(exchange);
        else if (!this->dispatchInternal(path, exchange))
            reply(exchange,
                { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", "unknown path " + path } }, 404);
    } catch (const std::exception& error) {
        reply(exchange, { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", error.what() } }, 400);
    }
}

bool EndpointConnection::dispatchInternal(const std::string& path, const ExchangePointer& exchange)
{
    const Json& request = exchange->request;
    if (path == "/status")
        reply(exchange, this->server.status());
    else if (path == "/replicate")
        reply(exchange, this->server.handleReplicate(request));
    else if (path == "/fence")
        reply(exchange, this->server.handleFence(request));
    else if (path == "/promote")
        reply(exchange, this->server.handlePromote(request));
    else if (path == "/follow")
        reply(exchange, this->server.handleFollow(request));
    else if (path == "/control")
        reply(exchange, this->server.handleControl(request));
    else if (path == "/control/dump")
        reply(exchange, this->server.dump());
    else
        return false;
    return true;
}

void EndpointConnection::handleAwait(const ExchangePointer& exchange)
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

// Counts only connections that carry client requests: status polls and replication must still work when the endpoint
// has reached its connection limit.
bool EndpointConnection::tryCountConnection()
{
    if (this->server.trafficConnections >= this->server.settings.maxTrafficConnections)
        return false;
    this->isCounted = true;
    ++this->server.trafficConnections;
    return true;
}

void EndpointConnection::admitTraffic(const std::string& path, const ExchangePointer& exchange)
{
    if (this->isCounted) {
        this->waitForRequiredPosition(path, exchange);
        return;
    }
    if (!this->tryCountConnection()) {
        HttpResponse response = makeJsonResponse(503,
            Json { { "exchange_id", exchange->request.value("exchange_id", Json()) }, { "outcome", "not_run" },
                { "code", "too_many_connections" } }
                .dump());
        response.keep_alive(false);
        exchange->respond(std::move(response));
        return;
    }
    runAfterDelay(this->server.context, this->server.settings.connectionCost,
        [self = this->shared_from_this(), path, exchange] { self->waitForRequiredPosition(path, exchange); });
}

void EndpointConnection::waitForRequiredPosition(const std::string& path, const ExchangePointer& exchange)
{
    const Json& request = exchange->request;
    const auto cover = request.find("cover");
    // A write runs only at the primary of its term, which holds all acknowledged writes, so only reads have to wait.
    if (cover == request.end() || cover->is_null() || isWrite(request)) {
        this->acquireSlot(path, exchange);
        return;
    }
    LogPosition required;
    std::chrono::milliseconds limit;
    try {
        required = { parseTerm(cover->at("term")), cover->at("position").get<uint64_t>() };
        limit = std::chrono::milliseconds(request.value("cover_wait_ms", 0));
    } catch (const std::exception& error) {
        this->sendResult(exchange, { "bad_request", error.what(), Json::array(), 0, false });
        return;
    }
    const auto covered
        = [&state = *this->server.endpoint, required] { return state.appliedPosition().covers(required); };
    this->server.waiters.wait(covered, limit, [self = this->shared_from_this(), path, exchange](bool reached) {
        if (reached)
            self->acquireSlot(path, exchange);
        else
            self->sendResult(exchange, { "not_covered", "", Json::array(), 0, false });
    });
}

void EndpointConnection::acquireSlot(const std::string& path, const ExchangePointer& exchange)
{
    this->server.slots.acquire([self = this->shared_from_this(), path, exchange](bool taken) {
        if (!taken) {
            self->sendResult(
                exchange, { "busy", "no slot became free within the slot wait limit", Json::array(), 0, false });
            return;
        }
        runAfterDelay(self->server.context, self->server.settings.serviceTime + self->server.switches.extraServiceTime,
            [self, path, exchange] { self->runInSlot(path, exchange); });
    });
}

void EndpointConnection::runInSlot(const std::string& path, const ExchangePointer& exchange)
{
    const uint64_t before = this->server.endpoint->position();
    RequestResult result;
    try {
        result = this->runOperation(path, exchange->request);
    } catch (const std::exception& error) {
        result = { "bad_request", error.what(), Json::array(), 0, false };
    }
    this->sendResult(exchange, std::move(result));
    if (this->server.endpoint->position() != before)
        this->server.handleStateChange();
    this->server.slots.release();
}

RequestResult EndpointConnection::runOperation(const std::string& path, const Json& request)
{
    if (path == "/begin")
        return this->beginTransaction(request);
    if (path == "/statement")
        return this->runStatement(request);
    if (path != "/execute")
        return this->finishTransaction(path, request);

    const std::string organisation = textOrEmpty(request, "organisation");
    if (organisation.empty())
        throw Error("execute", "", "\"organisation\" is missing");
    const bool write = isWrite(request);
    Transaction transaction(
        organisation, write ? parseTerm(request.at("term")) : Term {}, this->server.endpoint->position(), write);
    return this->server.endpoint->execute(transaction, parseStatements(statementsField(request)),
        textOrEmpty(request, "idempotency_key"), textOrEmpty(request, "digest"), bootTimeNow());
}

RequestResult EndpointConnection::beginTransaction(const Json& request)
{
    const std::string organisation = textOrEmpty(request, "organisation");
    if (this->transaction)
        throw Error("begin", "", "a transaction is already open on this connection");
    if (organisation.empty())
        throw Error("begin", "", "\"organisation\" is missing");
    const EndpointState& state = *this->server.endpoint;
    const bool write = isWrite(request);
    const Term term = write ? parseTerm(request.at("term")) : Term {};
    if (write) {
        if (const std::string code = state.writeRejectionCode(term); !code.empty())
            return { code, "", Json::array(), state.position(), false };
    }
    // If the client closed the connection while this request waited, nothing would end the transaction.
    if (!this->isClosed)
        this->transaction = std::make_unique<Transaction>(organisation, term, state.position(), write);
    return { "", "", Json::array(), state.position(), false };
}

RequestResult EndpointConnection::runStatement(const Json& request)
{
    if (!this->transaction)
        return { "no_transaction", "", Json::array(), 0, false };
    const std::string organisation = textOrEmpty(request, "organisation");
    if (!organisation.empty() && organisation != this->transaction->organisation())
        throw Error("statement", "", "the transaction belongs to another organisation");
    RequestResult result
        = this->server.endpoint->runStatements(*this->transaction, parseStatements(statementsField(request)));
    if (!result.code.empty())
        this->transaction.reset();
    return result;
}

RequestResult EndpointConnection::finishTransaction(const std::string& path, const Json& request)
{
    if (!this->transaction)
        return { "no_transaction", "", Json::array(), 0, false };
    const auto ended = std::move(this->transaction);
    if (path == "/rollback")
        return { "", "", Json::array(), this->server.endpoint->position(), false };
    return this->server.endpoint->commit(
        *ended, textOrEmpty(request, "idempotency_key"), textOrEmpty(request, "digest"), Json::array(), bootTimeNow());
}

void EndpointConnection::sendResult(const ExchangePointer& exchange, RequestResult result)
{
    const EndpointState& state = *this->server.endpoint;
    const bool done = result.code.empty();
    Json body { { "exchange_id", exchange->request.value("exchange_id", Json()) },
        { "outcome", done ? "done" : "not_run" }, { "code", std::move(result.code) },
        { "results", std::move(result.results) }, { "term", toJson(state.term()) },
        { "position", done ? result.position : state.position() }, { "first_position", state.firstPosition() },
        { "promised", toJson(state.promised()) }, { "role", state.isPrimary() ? "primary" : "replica" },
        { "primary", state.primaryAddress() }, { "replayed", result.replayed },
        { "lag_ms", std::chrono::duration_cast<std::chrono::milliseconds>(state.lag(bootTimeNow())).count() } };
    if (!result.message.empty())
        body["message"] = std::move(result.message);
    this->sendTrafficResponse(exchange, body.dump());
}

void EndpointConnection::sendTrafficResponse(const ExchangePointer& exchange, std::string body)
{
    EndpointSwitches& switches = this->server.switches;
    if (switches.answersToDrop) {
        --switches.answersToDrop;
        exchange->respond = nullptr; // closes the connection
        return;
    }
    if (std::exchange(switches.crossNextAnswer, false)) {
        if (this->server.previousAnswer.empty())
            this->server.previousAnswer = R"({"exchange_id":"crossed","outcome":"done","code":"","results":[]})";
        body.swap(this->server.previousAnswer);
    } else
        this->server.previousAnswer = body;
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
    this->isClosed = true;
    this->transaction.reset();
    if (std::exchange(this->isCounted, false) && !this->serverLifetime.expired())
        --this->server.trafficConnections;
}

HttpResponse EndpointConnection::makeErrorResponse(unsigned status, const std::string& reason)
{
    return makeJsonResponse(
        status, Json { { "outcome", "not_run" }, { "code", "bad_request" }, { "message", reason } }.dump());
}

} // namespace Lavendervane::StandIn
