#include "Load/LoadRunCall.h"

#include "Runtime/BootTime.h"

#include <utility>

namespace Lavendervane {

using Json = nlohmann::json;

static int64_t now() { return bootTimeNow().time_since_epoch().count(); }

LoadRun::Call::Call(LoadRun& run, Organisation& organisation, std::unique_ptr<Session> session, PlannedRequest plan)
    : run(run)
    , organisation(organisation)
    , session(std::move(session))
    , plan(std::move(plan))
{
    if (isWrite(this->plan.operation))
        this->idempotencyKey
            = run.settings.run + "-" + organisation.load.name + "-" + std::to_string(++organisation.writes);
    this->planSteps();
}

void LoadRun::Call::planSteps()
{
    const char* access = isWrite(this->plan.operation) ? "write" : "read";
    Json statements = makeStatements(this->plan);
    if (!this->plan.interactive) {
        this->steps.push_back({ "/v1/execute",
            { { "group", this->plan.group }, { "access", access }, { "statements", std::move(statements) } } });
        return;
    }
    this->steps.push_back({ "/v1/begin", { { "group", this->plan.group }, { "access", access } } });
    for (Json& statement : statements) {
        Json list = Json::array();
        list.push_back(std::move(statement));
        this->steps.push_back({ "/v1/statement", { { "statements", std::move(list) } } });
    }
    this->steps.push_back({ "/v1/commit", Json::object() });
}

void LoadRun::Call::start()
{
    ++this->attempt;
    this->step = 0;
    this->vm = this->session->nextVm++ % this->run.pool.vmCount();
    this->connection = this->run.pool.take(this->vm);
    this->event = {};
    this->event.start = now();
    this->event.session = this->session->id;
    this->event.organisation = this->organisation.load.name;
    this->event.vm = this->connection->address();
    this->event.group = this->plan.group;
    this->event.operation = this->plan.operation;
    this->event.key = this->plan.key;
    this->event.value = this->plan.value;
    this->event.idempotencyKey = this->idempotencyKey;
    this->event.attempt = this->attempt;
    this->event.interactive = this->plan.interactive;
    this->event.results = Json::array();
    this->sendStep();
}

LoadRequest LoadRun::Call::makeRequest(const Step& step) const
{
    LoadRequest request { step.target, step.body.dump(), {} };
    request.headers.emplace_back("Lavendervane-Timeout-Ms", std::to_string(this->run.settings.timeout.count()));
    if (!this->organisation.load.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + this->organisation.load.key);
    if (!this->session->token.empty())
        request.headers.emplace_back("Lavendervane-Session", this->session->token);
    if (!this->idempotencyKey.empty() && (step.target == "/v1/execute" || step.target == "/v1/commit"))
        request.headers.emplace_back("Idempotency-Key", this->idempotencyKey);
    return request;
}

void LoadRun::Call::sendStep()
{
    constexpr auto timeoutMargin = std::chrono::milliseconds(1000); // lets the VM's timeout response arrive first
    this->connection->send(this->makeRequest(this->steps[this->step]), this->run.settings.timeout + timeoutMargin,
        [self = this->shared_from_this()](const LoadResponse& response) { self->handleResponse(response); });
}

void LoadRun::Call::handleResponse(const LoadResponse& response)
{
    if (response.status != ExchangeStatus::Answered) {
        // Only a failed connection attempt proves that the request was not sent. A transaction that has not reached its
        // commit has not written anything either, but no response of the VM confirms it.
        const bool nothingSent = response.status == ExchangeStatus::ConnectFailed;
        this->event.outcome = nothingSent ? Outcome::NotRun : Outcome::Unknown;
        this->event.code = nothingSent                    ? "connect_failed"
            : response.status == ExchangeStatus::TimedOut ? "timeout"
                                                          : "connection_broken";
        this->endAttempt(response.status);
        return;
    }
    if (!response.sessionToken.empty())
        this->session->token = response.sessionToken;
    try {
        this->parseResponse(response);
    } catch (const std::exception&) {
        this->event.outcome = Outcome::Unknown;
        this->event.code = "malformed_answer";
    }
    if (this->event.outcome == Outcome::Done && ++this->step < this->steps.size())
        this->sendStep();
    else
        this->endAttempt(response.status);
}

void LoadRun::Call::parseResponse(const LoadResponse& response)
{
    const Json answer = Json::parse(response.body);
    this->event.outcome = parseOutcome(answer.at("outcome").get<std::string>());
    this->event.requestId = answer.value("request_id", "");
    this->event.token = response.sessionToken;
    if (const auto error = answer.find("error"); error != answer.end() && error->is_object())
        this->event.code = error->value("code", "");
    if (const auto served = answer.find("served_by"); served != answer.end() && served->is_object()) {
        this->event.endpoint = served->value("endpoint", this->event.endpoint);
        this->event.role = served->value("role", this->event.role);
    }
    if (const auto position = answer.find("position"); position != answer.end() && position->is_number_unsigned())
        this->event.position = position->get<uint64_t>();
    if (const auto results = answer.find("results"); results != answer.end() && results->is_array())
        this->event.results.insert(this->event.results.end(), results->begin(), results->end());
}

bool LoadRun::Call::canRetry(ExchangeStatus status) const
{
    if (this->attempt > 1 || status == ExchangeStatus::Answered)
        return false;
    // Broken interactive transactions are not retried: steps after the begin may already have run.
    return !this->plan.interactive || status == ExchangeStatus::ConnectFailed;
}

void LoadRun::Call::endAttempt(ExchangeStatus status)
{
    this->event.end = now();
    this->run.sink(this->event);
    // The VM ends an unfinished transaction when its connection closes, so that connection is not reused.
    const bool ended = !this->plan.interactive || this->step == this->steps.size();
    if (ended)
        this->run.pool.release(this->vm, std::move(this->connection));
    if (this->canRetry(status))
        this->start();
    else
        this->finish();
}

void LoadRun::Call::finish()
{
    constexpr size_t maxRecentWrites = 8;
    auto& recentWrites = this->session->recentWrites;
    if (isWrite(this->plan.operation) && this->event.outcome == Outcome::Done) {
        recentWrites.push_back(this->plan);
        if (recentWrites.size() > maxRecentWrites)
            recentWrites.erase(recentWrites.begin());
    }
    this->organisation.idle.push_back(std::move(this->session));
    this->run.onRequestEnded();
}

} // namespace Lavendervane
