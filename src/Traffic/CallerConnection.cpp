#include "Traffic/CallerConnection.h"

#include "Configuration/Configuration.h"
#include "Limits/Admission.h"
#include "Runtime/BootTime.h"
#include "Security/Digest.h"
#include "Traffic/CallerAuthentication.h"
#include "Traffic/CallerError.h"
#include "Traffic/EndpointProtocol.h"
#include "Traffic/JsonText.h"
#include "Traffic/TrafficShared.h"
#include "Traffic/TrafficThread.h"
#include "Traffic/TransactionChannel.h"

#include <glog/logging.h>

#include <algorithm>

namespace Lavendervane {

using namespace std::chrono_literals;

// Bounds of the pause between two attempts to take a rate-limit token.
static constexpr Duration minAdmissionPause = 1ms;
static constexpr Duration maxAdmissionPause = 20ms;

CallerConnection::CallerConnection(TrafficThread& thread)
    : thread(thread)
    , admissionTimer(thread.context())
    , stepTimer(thread.context())
{
}

CallerConnection::~CallerConnection() = default;

void CallerConnection::handleClosed()
{
    this->connectionClosed = true;
    this->admissionTimer.cancel();
    this->stepTimer.cancel();
    if (this->transaction)
        this->transaction->channel->close();
    this->transaction.reset();
}

HttpResponse CallerConnection::makeErrorResponse(unsigned status, const std::string& reason)
{
    CallerResponse response;
    response.requestId = this->thread.makeRequestId();
    if (this->thread.snapshot())
        response.vm = this->thread.snapshot()->self;
    const char* code = status == 413 ? "body_too_large" : status == 431 ? "header_too_large" : "bad_request";
    response.failure = { code, "read the request", "", reason, 0 };
    this->thread.shared().metrics.recordRequest(Outcome::NotRun, code, Duration {});
    return makeHttpResponse(response);
}

void CallerConnection::handle(HttpRequest request, HttpRespond respond)
{
    auto call = std::make_shared<Call>();
    call->started = bootTimeNow();
    call->requestId = this->thread.makeRequestId();
    call->respond = std::move(respond);
    call->runningGuard = std::make_unique<RunningRequestGuard>(this->thread.shared());
    try {
        this->start(call, std::move(request));
    } catch (const CallerError& error) {
        this->reject(call, Outcome::NotRun, { error.code(), error.step(), error.peer(), error.message(), 0 });
    }
}

void CallerConnection::start(const CallPointer& call, HttpRequest request)
{
    const auto key = takeCallerKey(request);
    call->request = parseCallerRequest(request, this->thread.shared().settings);
    if (!this->thread.snapshot())
        throw CallerError("not_ready", "start", "the VM has no configuration yet");
    if (call->request.action == CallerAction::Execute || call->request.action == CallerAction::Begin)
        this->startRequest(call, key);
    else
        this->startTransactionStep(call, key);
}

void CallerConnection::openSession(const CallPointer& call, const GroupId& group, bool needsRoom) const
{
    const TrafficSettings& settings = this->thread.shared().settings;
    try {
        if (call->request.session.empty())
            call->session.emplace(call->organisation);
        else
            call->session = SessionToken::parse(call->request.session, settings.sessionSecret, call->organisation);
    } catch (const Error& error) {
        throw CallerError("invalid_session", error.step(), error.message());
    }
    if (needsRoom && !call->session->hasRoomFor(group))
        throw CallerError("session_too_large", "check the session", "the session has used 64 groups already");
}

void CallerConnection::startRequest(const CallPointer& call, const std::optional<std::string>& key)
{
    const CallerRequest& request = call->request;
    call->organisation = authenticate(this->thread, key, request.group, request.access);
    this->openSession(call, request.group, request.access == Access::Write || request.primaryOnly);
    if (request.action == CallerAction::Begin && this->transaction)
        throw CallerError("transaction_open", "begin", "a transaction is open on this connection");
    this->admit(call);
}

void CallerConnection::startTransactionStep(const CallPointer& call, const std::optional<std::string>& key)
{
    if (!this->transaction)
        throw CallerError("no_transaction", "find the transaction", "no transaction is open on this connection");
    const OpenTransaction& open = *this->transaction;
    call->organisation = authenticate(this->thread, key, open.group, open.access);
    if (call->organisation != open.organisation)
        throw CallerError("not_allowed", "check the key", "the transaction belongs to another organisation");
    this->openSession(call, open.group, false);
    // Commit and rollback need no token, because ending a transaction frees capacity.
    if (call->request.action == CallerAction::Statement)
        this->admit(call);
    else
        this->runTransactionStep(call);
}

void CallerConnection::admit(const CallPointer& call)
{
    TrafficShared& shared = this->thread.shared();
    const Instant now = bootTimeNow();
    if (shared.admission.tryTakeToken(call->organisation, now)) {
        call->admitted = true;
        if (call->request.action == CallerAction::Statement)
            this->runTransactionStep(call);
        else
            this->run(call);
        return;
    }
    const Duration retryAfter = shared.admission.retryAfter(call->organisation, now);
    const Duration remaining = call->started + shared.settings.admissionWait - now;
    if (!std::exchange(call->shortageReported, true))
        shared.observer.observe(TokenShortageObserved { call->organisation });
    if (remaining <= Duration {}) {
        const auto retryMs = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
        this->reject(call, Outcome::NotRun,
            { "rate_limited", "admission", "", "the organisation's rate is used up", static_cast<uint32_t>(retryMs) });
        return;
    }
    this->admissionTimer.expires_after(
        std::min(remaining, std::clamp(retryAfter, minAdmissionPause, maxAdmissionPause)));
    this->admissionTimer.async_wait([self = this->shared_from_this(), call](boost::system::error_code error) {
        if (!error && !self->connectionClosed)
            self->admit(call);
    });
}

uint32_t CallerConnection::weightOf(const OrganisationId& organisation) const
{
    const Organisation* declared = this->thread.snapshot()->configuration->findOrganisation(organisation);
    return declared ? declared->weight : 1;
}

static std::string coverageMembers(const LogPosition& required, std::chrono::milliseconds wait)
{
    return ",\"cover\":{\"term\":" + termToJson(required.term) + ",\"position\":" + std::to_string(required.position)
        + "},\"cover_wait_ms\":" + std::to_string(wait.count());
}

RunnerPlan CallerConnection::makePlan(const Call& call) const
{
    const CallerRequest& request = call.request;
    RunnerPlan plan;
    plan.request = { request.group, request.access, {}, call.started + request.timeout };
    plan.requestId = call.requestId;
    plan.organisation = call.organisation;
    plan.weight = this->weightOf(call.organisation);
    plan.begin = request.action == CallerAction::Begin;
    plan.bodyMembers = "\"organisation\":" + quoteJson(call.organisation.str()) + ",\"access\":\""
        + std::string(toString(request.access)) + "\"";
    if (!plan.begin)
        plan.bodyMembers += ",\"statements\":" + request.statements;
    if (request.access == Access::Write) {
        if (plan.begin)
            return plan;
        const std::string& key = request.idempotencyKey.empty() ? call.requestId : request.idempotencyKey;
        plan.bodyMembers += ",\"idempotency_key\":" + quoteJson(key) + ",\"digest\":\""
            + toHex(keyedDigest(request.group.str(), request.statements)) + "\"";
        return plan;
    }
    ReadRequirements& requirements = plan.request.requirements;
    requirements.primaryOnly = request.primaryOnly;
    requirements.maxStaleness = request.maxStaleness;
    if (const LogPosition* required = call.session->find(request.group); required && !requirements.maxStaleness) {
        requirements.required = *required;
        plan.bodyMembers += coverageMembers(*required, this->thread.shared().settings.coverageWait);
    }
    return plan;
}

void CallerConnection::run(const CallPointer& call)
{
    const auto runner = std::make_shared<RequestRunner>(this->thread, this->makePlan(*call),
        [self = this->shared_from_this(), call](RunnerResult result) { self->handleRunEnd(call, std::move(result)); });
    runner->start();
}

void CallerConnection::handleRunEnd(const CallPointer& call, RunnerResult result)
{
    if (result.outcome != Outcome::Done) {
        this->reject(call, result.outcome, std::move(result.failure));
        return;
    }
    const CallerRequest& request = call->request;
    const bool begin = request.action == CallerAction::Begin;
    if (begin && this->connectionClosed) {
        result.transaction->close();
        return;
    }
    if (begin) {
        OpenTransaction open;
        open.channel = std::move(result.transaction);
        open.runningGuard = std::make_unique<RunningRequestGuard>(this->thread.shared());
        open.organisation = call->organisation;
        open.group = request.group;
        open.access = request.access;
        open.choice = result.choice;
        this->transaction = std::move(open);
    } else if (request.access == Access::Read)
        this->thread.shared().metrics.countRead(result.answer->primaryRole);
    // Ordinary reads do not raise the session's position, because later reads would then wait for other callers'
    // writes.
    const bool merge = !begin && (request.access == Access::Write || request.primaryOnly);
    this->answer(call, *result.answer, result.choice, request.group, merge);
}

std::string CallerConnection::makeStepBody(const Call& call) const
{
    const OpenTransaction& open = *this->transaction;
    std::string body = "{\"organisation\":" + quoteJson(open.organisation.str())
        + ",\"term\":" + termToJson(open.choice.term) + ",\"access\":\"" + std::string(toString(open.access)) + "\"";
    if (call.request.action == CallerAction::Statement)
        body += ",\"statements\":" + call.request.statements;
    if (call.request.action == CallerAction::Commit && open.access == Access::Write) {
        const std::string& key = call.request.idempotencyKey.empty() ? call.requestId : call.request.idempotencyKey;
        body += ",\"idempotency_key\":" + quoteJson(key) + ",\"digest\":\"" + toHex(open.digest) + "\"";
    }
    return body + "}";
}

void CallerConnection::runTransactionStep(const CallPointer& call)
{
    static constexpr auto deadlineReportGrace = 30ms; // same value as in RequestRunner.cpp
    OpenTransaction& open = *this->transaction;
    if (call->request.action == CallerAction::Statement)
        open.digest = keyedDigest(open.group.str() + open.digest, call->request.statements);
    EndpointTask task;
    task.requestId = call->requestId;
    task.endpoint = open.choice.endpoint;
    task.organisation = open.organisation;
    task.weight = this->weightOf(open.organisation);
    task.path = call->request.action == CallerAction::Statement ? "/statement"
        : call->request.action == CallerAction::Commit          ? "/commit"
                                                                : "/rollback";
    task.body = this->makeStepBody(*call);
    task.deadline = call->started + call->request.timeout;
    task.confirm = open.choice.primary && call->request.action != CallerAction::Rollback;

    const auto answered = std::make_shared<bool>(false);
    const auto onEnd = [self = this->shared_from_this(), call, answered](EndpointResult result) {
        if (!std::exchange(*answered, true))
            self->handleStepEnd(call, std::move(result));
    };
    this->stepTimer.expires_after(std::max(Duration {}, task.deadline + deadlineReportGrace - bootTimeNow()));
    this->stepTimer.async_wait([onEnd, endpoint = task.endpoint](boost::system::error_code error) {
        if (!error)
            onEnd(makeUnknown("deadline", "wait for the endpoint", endpoint.str(), "no answer within the deadline"));
    });
    open.channel->exchange(std::move(task), onEnd);
}

void CallerConnection::handleStepEnd(const CallPointer& call, EndpointResult result)
{
    this->stepTimer.cancel();
    if (!this->transaction)
        return; // the caller has closed the connection
    const RouteChoice choice = this->transaction->choice;
    const GroupId group = this->transaction->group;
    const bool write = this->transaction->access == Access::Write;
    if (result.answer)
        this->thread.learnFromAnswer(group, choice.endpoint, *result.answer);
    const bool commit = call->request.action == CallerAction::Commit;
    if (result.outcome != Outcome::Done || call->request.action != CallerAction::Statement) {
        this->transaction->channel->close();
        this->transaction.reset();
    }
    if (result.outcome == Outcome::Done)
        this->answer(call, *result.answer, choice, group, commit && write);
    else
        this->reject(call, result.outcome, std::move(result.failure));
}

void CallerConnection::answer(const CallPointer& call, const EndpointAnswer& answer, const RouteChoice& choice,
    const GroupId& group, bool mergePosition)
{
    CallerResponse response;
    response.outcome = Outcome::Done;
    response.results = answer.results;
    response.endpoint = choice.endpoint;
    response.primary = answer.primaryRole;
    if (mergePosition)
        call->session->merge(group, answer.applied);
    if (mergePosition || call->request.session.empty())
        response.session = call->session->encode(this->thread.shared().settings.sessionSecret);
    else
        response.session = call->request.session;
    this->send(call, std::move(response));
}

void CallerConnection::reject(const CallPointer& call, Outcome outcome, RequestFailure failure)
{
    if (call->admitted && outcome == Outcome::NotRun)
        this->thread.shared().admission.returnToken(call->organisation);
    CallerResponse response;
    response.outcome = outcome;
    response.session = call->session ? call->request.session : "";
    response.failure = std::move(failure);
    if (httpStatusFor(outcome, response.failure.code) >= 500) {
        LOG_EVERY_T(WARNING, 1) << "request failed request_id=" << call->requestId
                                << " organisation=" << call->organisation << " outcome=" << toString(outcome)
                                << " code=" << response.failure.code << " step=\"" << response.failure.step
                                << "\" peer=" << response.failure.peer << " message=\"" << response.failure.message
                                << '"';
    }
    this->send(call, std::move(response));
}

void CallerConnection::send(const CallPointer& call, CallerResponse response)
{
    response.requestId = call->requestId;
    if (this->thread.snapshot())
        response.vm = this->thread.snapshot()->self;
    this->thread.shared().metrics.recordRequest(response.outcome, response.failure.code, bootTimeNow() - call->started);
    call->runningGuard.reset();
    const auto respond = std::exchange(call->respond, nullptr);
    if (respond)
        respond(makeHttpResponse(response));
}

} // namespace Lavendervane
