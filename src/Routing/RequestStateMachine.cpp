#include "Routing/RequestStateMachine.h"

#include <algorithm>
#include <cassert>

namespace Lavendervane {

using namespace std::chrono_literals;

static constexpr Duration initialBackoff = 10ms;
static constexpr Duration maxBackoff = 160ms;

// After an attempt with an unknown result, the next one follows without a backoff up to this attempt.
static constexpr uint32_t maxImmediateAttempts = 3;

RequestStateMachine::RequestStateMachine(RequestPlan plan, Router& router, RetryBudget& budget)
    : request(std::move(plan))
    , router(router)
    , budget(budget)
    , lastFailure { "no_primary", "route", "", "the group has no known primary", 0 }
    , backoff(initialBackoff)
{
}

RequestAction RequestStateMachine::start(Instant now)
{
    this->budget.recordRequest();
    return this->attemptNext(now);
}

// An ambiguous attempt, or one that still runs or was abandoned without a result, excludes the outcome not_run.
bool RequestStateMachine::mayHaveRun() const
{
    return this->anyAmbiguous || this->activeAttempt.has_value() || !this->abandonedAttempts.empty();
}

RequestAction RequestStateMachine::finish(Outcome outcome, uint32_t number, RequestFailure failure)
{
    this->hasFinished = true;
    if (outcome == Outcome::NotRun && this->mayHaveRun())
        outcome = Outcome::Unknown;
    return FinishRequest { outcome, number, std::move(failure) };
}

RequestAction RequestStateMachine::wait(Instant now)
{
    this->waitingUntil = std::min(this->request.deadline, now + this->backoff);
    this->backoff = std::min(maxBackoff, 2 * this->backoff);
    return WaitUntil { this->waitingUntil };
}

std::optional<RouteChoice> RequestStateMachine::chooseRoute(Instant now)
{
    if (this->request.access == Access::Write || this->preferPrimary) {
        auto primary = this->router.choosePrimary(this->request.group, now);
        if (primary || this->request.access == Access::Write)
            return primary;
    }
    return this->router.chooseRead(this->request.group, this->request.requirements, this->excludedEndpoints, now);
}

RequestAction RequestStateMachine::attemptNext(Instant now)
{
    assert(!this->activeAttempt);
    if (now >= this->request.deadline)
        return this->finish(Outcome::NotRun, 0, this->lastFailure);
    const bool write = this->request.access == Access::Write;
    if (write && !this->router.isMajorityReachable(this->request.group) && !this->mayHaveRun())
        return this->finish(Outcome::NotRun, 0,
            { "no_majority", "route", "", "no majority of the group has been reachable for 2 s", 1000 });

    auto choice = this->chooseRoute(now);
    if (!choice) {
        this->excludedEndpoints.clear();
        return this->wait(now);
    }
    this->activeAttempt = Attempt { ++this->lastAttemptNumber, *choice };
    return SendAttempt { this->lastAttemptNumber, std::move(*choice) };
}

RequestAction RequestStateMachine::retry(Instant now, bool immediately)
{
    // A spent budget delays the retry; the request's deadline bounds the delay.
    if (!immediately || !this->budget.tryTake(now))
        return this->wait(now);
    return this->attemptNext(now);
}

bool RequestStateMachine::meetsReadRequirements(const AttemptResult& result) const
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
        // Moving on to an endpoint that covers the required position is part of a normal read and does not use the
        // retry budget.
        this->preferPrimary = !attempt.choice.primary;
        if (attempt.choice.primary)
            return this->wait(now);
        this->excludedEndpoints.push_back(attempt.choice.endpoint);
        return this->attemptNext(now);
    }
    if (code == "wrong_term" || code == "not_primary") {
        const bool newTermKnown = this->router.term(this->request.group) > attempt.choice.term;
        return this->retry(now, newTermKnown);
    }
    if (code == "busy" || code == "too_many_connections" || code == "endpoint_unreachable" || code == "peer_unreachable"
        || code == "endpoint_leaving") {
        const bool replicaRead = this->request.access == Access::Read && !attempt.choice.primary;
        this->preferPrimary = this->preferPrimary && replicaRead;
        if (replicaRead && !result.vmFailed)
            this->excludedEndpoints.push_back(attempt.choice.endpoint);
        return this->retry(now, replicaRead || result.vmFailed);
    }
    return this->finish(Outcome::NotRun, attempt.number, result.failure);
}

RequestAction RequestStateMachine::onAttemptEnd(uint32_t number, const AttemptResult& result, Instant now)
{
    assert(!this->hasFinished);
    const auto abandonedAttempt = std::find_if(this->abandonedAttempts.begin(), this->abandonedAttempts.end(),
        [number](const Attempt& attempt) { return attempt.number == number; });
    const bool wasAbandoned = abandonedAttempt != this->abandonedAttempts.end();
    assert(wasAbandoned || (this->activeAttempt && this->activeAttempt->number == number));
    const Attempt attempt = wasAbandoned ? *abandonedAttempt : *this->activeAttempt;
    if (wasAbandoned)
        this->abandonedAttempts.erase(abandonedAttempt);
    else
        this->activeAttempt.reset();

    if (result.vmFailed)
        this->router.avoidVm(attempt.choice.vm, now);
    if (result.endpointFailed)
        this->router.avoidEndpoint(attempt.choice.endpoint, now);
    if (result.outcome == Outcome::Done && this->meetsReadRequirements(result))
        return this->finish(Outcome::Done, number, {});
    this->anyAmbiguous = this->anyAmbiguous || result.outcome == Outcome::Unknown;
    if (wasAbandoned)
        return KeepWaiting {};

    if (result.outcome == Outcome::Done) {
        // The endpoint ran the read but does not meet its requirements, so the read is repeated at the primary.
        this->anyAmbiguous = true;
        this->lastFailure = { "not_covered", "read", attempt.choice.endpoint.str(),
            "the endpoint's data are older than the read requires", 0 };
        this->preferPrimary = true;
        return attempt.choice.primary ? this->wait(now) : this->attemptNext(now);
    }
    this->lastFailure = result.failure;
    if (result.outcome == Outcome::NotRun)
        return this->handleNotRun(attempt, result, now);
    if (this->request.access == Access::Read && !attempt.choice.primary && !result.vmFailed)
        this->excludedEndpoints.push_back(attempt.choice.endpoint);
    return this->retry(now, this->lastAttemptNumber < maxImmediateAttempts);
}

RequestAction RequestStateMachine::onRoutingChange(Instant now)
{
    assert(!this->hasFinished);
    if (!this->activeAttempt) {
        this->backoff = initialBackoff;
        return this->attemptNext(now);
    }
    const RouteChoice& choice = this->activeAttempt->choice;
    const bool superseded = choice.primary && this->router.term(this->request.group) > choice.term;
    const bool unreachable = !choice.primary && !this->router.isReachable(choice.endpoint);
    if (!superseded && !unreachable)
        return KeepWaiting {};
    // The previous endpoint might not answer until its timeout, so its attempt is abandoned. A write is repeated with
    // its idempotency key, so it runs only once.
    this->excludedEndpoints.push_back(choice.endpoint);
    this->abandonedAttempts.push_back(std::move(*this->activeAttempt));
    this->activeAttempt.reset();
    return this->attemptNext(now);
}

RequestAction RequestStateMachine::onTimer(Instant now)
{
    assert(!this->hasFinished);
    if (now >= this->request.deadline) {
        if (this->activeAttempt)
            this->lastFailure = { "deadline", "wait for the endpoint", this->activeAttempt->choice.endpoint.str(),
                "no answer within the deadline", 0 };
        return this->finish(Outcome::NotRun, 0, this->lastFailure);
    }
    if (this->activeAttempt || now < this->waitingUntil)
        return KeepWaiting {};
    if (this->lastAttemptNumber && !this->budget.tryTake(now))
        return this->wait(now);
    return this->attemptNext(now);
}

} // namespace Lavendervane
