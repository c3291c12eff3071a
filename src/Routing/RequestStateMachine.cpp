#include "Routing/RequestStateMachine.h"

#include <algorithm>
#include <cassert>

namespace Lavendervane {

using namespace std::chrono_literals;

static constexpr Duration firstBackoff = 10ms;
static constexpr Duration longestBackoff = 160ms;

RequestStateMachine::RequestStateMachine(RequestPlan plan, Router& router, RetryBudget& budget)
    : request(std::move(plan))
    , router(router)
    , budget(budget)
    , lastFailure { "no_primary", "route", "", "the group has no known primary", 0 }
    , backoff(firstBackoff)
{
}

RequestAction RequestStateMachine::start(Instant now)
{
    this->budget.recordRequest();
    return this->proceed(now);
}

// An attempt that is ambiguous, or that was given up and has not reported, excludes the outcome not_run.
bool RequestStateMachine::mayHaveRun() const
{
    return this->ambiguous || this->active.has_value() || !this->abandoned.empty();
}

RequestAction RequestStateMachine::finish(Outcome outcome, uint32_t number, RequestFailure failure)
{
    this->over = true;
    if (outcome == Outcome::NotRun && this->mayHaveRun())
        outcome = Outcome::Unknown;
    return FinishRequest { outcome, number, std::move(failure) };
}

RequestAction RequestStateMachine::wait(Instant now)
{
    this->waitingUntil = std::min(this->request.deadline, now + this->backoff);
    this->backoff = std::min(longestBackoff, 2 * this->backoff);
    return WaitUntil { this->waitingUntil };
}

std::optional<RouteChoice> RequestStateMachine::choose(Instant now)
{
    if (this->request.access == Access::Write || this->preferPrimary) {
        auto primary = this->router.choosePrimary(this->request.group, now);
        if (primary || this->request.access == Access::Write)
            return primary;
    }
    return this->router.chooseRead(this->request.group, this->request.requirements, this->excluded, now);
}

RequestAction RequestStateMachine::proceed(Instant now)
{
    assert(!this->active);
    if (now >= this->request.deadline)
        return this->finish(Outcome::NotRun, 0, this->lastFailure);
    const bool write = this->request.access == Access::Write;
    if (write && !this->router.isMajorityReachable(this->request.group) && !this->mayHaveRun())
        return this->finish(Outcome::NotRun, 0,
            { "no_majority", "route", "", "no majority of the group has been reachable for 2 s", 1000 });

    auto choice = this->choose(now);
    if (!choice) {
        this->excluded.clear();
        return this->wait(now);
    }
    this->active = Attempt { ++this->lastNumber, *choice };
    return SendAttempt { this->lastNumber, std::move(*choice) };
}

RequestAction RequestStateMachine::retry(Instant now, bool atOnce)
{
    // A spent budget delays a retry; the deadline bounds the delay.
    if (!atOnce || !this->budget.tryTake(now))
        return this->wait(now);
    return this->proceed(now);
}

bool RequestStateMachine::answersTheRead(const AttemptResult& result) const
{
    const ReadRequirements& requirements = this->request.requirements;
    if (this->request.access == Access::Write)
        return true;
    if (requirements.primaryOnly && !result.primaryRole)
        return false;
    if (requirements.maxStaleness)
        return result.primaryRole || result.lag <= *requirements.maxStaleness;
    return !requirements.required || (result.applied && result.applied->covers(*requirements.required));
}

RequestAction RequestStateMachine::handleNotRun(const Attempt& attempt, const AttemptResult& result, Instant now)
{
    const std::string& code = result.failure.code;
    if (code == "not_covered") {
        // The way to a covering endpoint is part of a normal read and does not use the budget.
        this->preferPrimary = !attempt.choice.primary;
        if (attempt.choice.primary)
            return this->wait(now);
        this->excluded.push_back(attempt.choice.endpoint);
        return this->proceed(now);
    }
    if (code == "wrong_term" || code == "not_primary") {
        const bool newTerm = this->router.term(this->request.group) > attempt.choice.term;
        return this->retry(now, newTerm);
    }
    if (code == "busy" || code == "too_many_connections" || code == "endpoint_unreachable" || code == "peer_unreachable"
        || code == "endpoint_leaving") {
        const bool elsewhere = this->request.access == Access::Read && !attempt.choice.primary;
        this->preferPrimary = this->preferPrimary && elsewhere;
        if (elsewhere && !result.vmFailed)
            this->excluded.push_back(attempt.choice.endpoint);
        return this->retry(now, elsewhere || result.vmFailed);
    }
    return this->finish(Outcome::NotRun, attempt.number, result.failure);
}

RequestAction RequestStateMachine::onAttemptEnd(uint32_t number, const AttemptResult& result, Instant now)
{
    assert(!this->over);
    const auto given = std::find_if(this->abandoned.begin(), this->abandoned.end(),
        [number](const Attempt& attempt) { return attempt.number == number; });
    const bool late = given != this->abandoned.end();
    assert(late || (this->active && this->active->number == number));
    const Attempt attempt = late ? *given : *this->active;
    if (late)
        this->abandoned.erase(given);
    else
        this->active.reset();

    if (result.vmFailed)
        this->router.avoidVm(attempt.choice.vm, now);
    if (result.endpointFailed)
        this->router.avoidEndpoint(attempt.choice.endpoint, now);
    if (result.outcome == Outcome::Done && this->answersTheRead(result))
        return this->finish(Outcome::Done, number, {});
    this->ambiguous = this->ambiguous || result.outcome == Outcome::Unknown;
    if (late)
        return KeepWaiting {};

    if (result.outcome == Outcome::Done) {
        // The read ran, but at an endpoint that must not answer it. It is repeated at the primary.
        this->ambiguous = true;
        this->lastFailure = { "not_covered", "read", attempt.choice.endpoint.str(), "the answer was too old", 0 };
        this->preferPrimary = true;
        return attempt.choice.primary ? this->wait(now) : this->proceed(now);
    }
    this->lastFailure = result.failure;
    if (result.outcome == Outcome::NotRun)
        return this->handleNotRun(attempt, result, now);
    if (this->request.access == Access::Read && !attempt.choice.primary && !result.vmFailed)
        this->excluded.push_back(attempt.choice.endpoint);
    return this->retry(now, this->lastNumber < 3);
}

RequestAction RequestStateMachine::onRoutingChange(Instant now)
{
    assert(!this->over);
    if (!this->active) {
        this->backoff = firstBackoff;
        return this->proceed(now);
    }
    const RouteChoice& choice = this->active->choice;
    const bool superseded = choice.primary && this->router.term(this->request.group) > choice.term;
    const bool unreachable = !choice.primary && !this->router.isReachable(choice.endpoint);
    if (!superseded && !unreachable)
        return KeepWaiting {};
    // The old endpoint may not answer before its timeout. A write is repeated with its key, so it runs once.
    this->excluded.push_back(choice.endpoint);
    this->abandoned.push_back(std::move(*this->active));
    this->active.reset();
    return this->proceed(now);
}

RequestAction RequestStateMachine::onTimer(Instant now)
{
    assert(!this->over);
    if (now >= this->request.deadline) {
        if (this->active)
            this->lastFailure = { "deadline", "wait for the endpoint", this->active->choice.endpoint.str(),
                "no answer within the deadline", 0 };
        return this->finish(Outcome::NotRun, 0, this->lastFailure);
    }
    if (this->active || now < this->waitingUntil)
        return KeepWaiting {};
    if (this->lastNumber && !this->budget.tryTake(now))
        return this->wait(now);
    return this->proceed(now);
}

} // namespace Lavendervane
