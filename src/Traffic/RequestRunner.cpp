#include "Traffic/RequestRunner.h"

#include "Runtime/BootTime.h"
#include "Traffic/EndpointProtocol.h"
#include "Traffic/TrafficShared.h"
#include "Traffic/TrafficThread.h"
#include "Traffic/TransactionChannel.h"

#include <algorithm>

namespace Lavendervane {

// At the deadline the owner reports a task that is still queued as not_run. The runner waits this much longer for the
// report.
static constexpr auto deadlineReportGrace = std::chrono::milliseconds(30);

RequestRunner::RequestRunner(TrafficThread& thread, RunnerPlan plan, Callback callback)
    : thread(thread)
    , plan(std::move(plan))
    , callback(std::move(callback))
    , machine(this->plan.request, thread.router(), thread.retryBudget())
    , timer(thread.context())
{
}

RequestRunner::~RequestRunner() { this->thread.removeRunner(this); }

void RequestRunner::start()
{
    this->thread.addRunner(this->shared_from_this());
    this->perform(this->machine.start(bootTimeNow()));
}

void RequestRunner::handleRoutingChange()
{
    if (!this->machine.isFinished())
        this->perform(this->machine.onRoutingChange(bootTimeNow()));
}

void RequestRunner::perform(const RequestAction& action)
{
    if (const auto* send = std::get_if<SendAttempt>(&action))
        this->send(*send);
    else if (const auto* wait = std::get_if<WaitUntil>(&action))
        this->setTimer(wait->until);
    else if (const auto* finish = std::get_if<FinishRequest>(&action))
        this->finish(*finish);
}

void RequestRunner::setTimer(Instant until)
{
    this->timer.expires_after(std::max(Duration {}, until - bootTimeNow()));
    // Between attempts the timer's handler holds the only reference to the runner.
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->machine.isFinished())
            return;
        const RequestAction action = self->machine.onTimer(bootTimeNow());
        if (std::holds_alternative<KeepWaiting>(action))
            self->setTimer(self->plan.request.deadline + deadlineReportGrace);
        self->perform(action);
    });
}

void RequestRunner::send(const SendAttempt& action)
{
    TrafficShared& shared = this->thread.shared();
    if (action.number > 1)
        shared.metrics.countRetry();
    this->setTimer(this->plan.request.deadline + deadlineReportGrace);
    EndpointTask task;
    task.requestId = this->plan.requestId;
    task.endpoint = action.choice.endpoint;
    task.organisation = this->plan.organisation;
    task.weight = this->plan.weight;
    task.path = this->plan.begin ? "/begin" : "/execute";
    task.body = "{\"term\":" + termToJson(action.choice.term) + "," + this->plan.bodyMembers + "}";
    task.deadline = this->plan.request.deadline;
    task.confirm = action.choice.primary && !this->plan.begin;

    this->thread.router().recordAttemptStart(action.choice.endpoint);
    Attempt& attempt = this->attempts[action.number];
    attempt.choice = action.choice;
    auto onEnd = [self = this->shared_from_this(), number = action.number](
                     EndpointResult result) { self->handleAttemptEnd(number, std::move(result)); };
    if (!this->plan.begin) {
        shared.submit(this->thread, action.choice, std::move(task), std::move(onEnd));
        return;
    }
    attempt.transaction = shared.openTransaction(this->thread, action.choice);
    attempt.transaction->exchange(std::move(task), std::move(onEnd));
}

void RequestRunner::handleAttemptEnd(uint32_t number, EndpointResult result)
{
    const auto found = this->attempts.find(number);
    const RouteChoice choice = found->second.choice;
    this->thread.router().recordAttemptEnd(choice.endpoint);
    AttemptResult attemptResult;
    attemptResult.outcome = result.outcome;
    attemptResult.failure = std::move(result.failure);
    attemptResult.vmFailed = result.vmFailed;
    attemptResult.endpointFailed = result.endpointFailed;
    if (result.answer) {
        attemptResult.applied = result.answer->applied;
        attemptResult.lag = result.answer->lag;
        attemptResult.primaryRole = result.answer->primaryRole;
        this->thread.learnFromAnswer(this->plan.request.group, choice.endpoint, *result.answer);
    }
    if (this->machine.isFinished()) {
        if (found->second.transaction)
            found->second.transaction->close();
        return;
    }
    this->lastAnswer = std::move(result.answer);
    const RequestAction action = this->machine.onAttemptEnd(number, attemptResult, bootTimeNow());
    const auto* finish = std::get_if<FinishRequest>(&action);
    const bool chosen = finish && finish->outcome == Outcome::Done && finish->number == number;
    if (found->second.transaction && !chosen)
        found->second.transaction->close();
    this->perform(action);
}

void RequestRunner::finish(const FinishRequest& action)
{
    this->timer.cancel();
    this->thread.removeRunner(this);
    RunnerResult result;
    result.outcome = action.outcome;
    result.failure = action.failure;
    if (action.outcome == Outcome::Done) {
        Attempt& attempt = this->attempts[action.number];
        result.answer = std::move(this->lastAnswer);
        result.choice = attempt.choice;
        result.transaction = std::move(attempt.transaction);
    }
    auto callback = std::exchange(this->callback, nullptr);
    callback(std::move(result));
}

} // namespace Lavendervane
