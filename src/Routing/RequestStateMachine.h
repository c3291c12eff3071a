#pragma once

#include "Configuration/Resources.h"
#include "Core/Outcome.h"
#include "Routing/RetryBudget.h"
#include "Routing/Router.h"

#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

/// One request as the state machine sees it. Every write carries an idempotency key.
struct RequestPlan {
    GroupId group;
    Access access = Access::Read;
    ReadRequirements requirements;
    Instant deadline;
};

/// Explanation of an outcome other than `Done`, as the caller receives it.
struct RequestFailure {
    std::string code;
    std::string step;
    std::string peer;
    std::string message;
    uint32_t retryAfterMs = 0;

    friend bool operator==(const RequestFailure&, const RequestFailure&) = default;
};

/// How one attempt ended. `Unknown`: it may have run, or may still run.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    RequestFailure failure;
    std::optional<AppliedPosition> applied;
    Duration lag {};
    bool primaryRole = false; ///< the endpoint answered as primary
    bool vmFailed = false; ///< the VM that owns the endpoint did not answer
    bool endpointFailed = false; ///< the endpoint did not answer
};

/// Nothing to do now.
struct KeepWaiting {
    friend bool operator==(const KeepWaiting&, const KeepWaiting&) = default;
};

/// Start attempt `number`.
struct SendAttempt {
    uint32_t number = 0;
    RouteChoice choice;

    friend bool operator==(const SendAttempt&, const SendAttempt&) = default;
};

/// Call onTimer() at this time unless another event comes first.
struct WaitUntil {
    Instant until;

    friend bool operator==(const WaitUntil&, const WaitUntil&) = default;
};

/// The request is over. With `Done`, attempt `number` has the response.
struct FinishRequest {
    Outcome outcome = Outcome::NotRun;
    uint32_t number = 0;
    RequestFailure failure;

    friend bool operator==(const FinishRequest&, const FinishRequest&) = default;
};

using RequestAction = std::variant<KeepWaiting, SendAttempt, WaitUntil, FinishRequest>;

/// Attempts, retries and outcome of one request (docs/design.md, 5.1, 5.3, 5.4). After FinishRequest it takes no more
/// events.
class RequestStateMachine {
public:
    RequestStateMachine(RequestPlan, Router&, RetryBudget&);

    RequestAction start(Instant now);
    RequestAction onAttemptEnd(uint32_t number, const AttemptResult&, Instant now);

    /// A snapshot arrived or a higher term was learnt.
    RequestAction onRoutingChange(Instant now);

    /// The time of a WaitUntil or the deadline has come.
    RequestAction onTimer(Instant now);

    bool isFinished() const { return this->over; }
    uint32_t attempts() const { return this->lastNumber; }
    const RequestPlan& plan() const { return this->request; }

private:
    struct Attempt {
        uint32_t number = 0;
        RouteChoice choice;
    };

    RequestAction proceed(Instant now);
    std::optional<RouteChoice> choose(Instant now);
    RequestAction retry(Instant now, bool atOnce);
    RequestAction wait(Instant now);
    RequestAction handleNotRun(const Attempt&, const AttemptResult&, Instant now);
    RequestAction finish(Outcome, uint32_t number, RequestFailure);
    bool mayHaveRun() const;
    bool answersTheRead(const AttemptResult&) const;

    RequestPlan request;
    Router& router;
    RetryBudget& budget;
    std::optional<Attempt> active;
    /// Attempts given up because the group moved to a higher term; each may still run.
    std::vector<Attempt> abandoned;
    std::vector<EndpointId> excluded;
    RequestFailure lastFailure;
    Duration backoff;
    Instant waitingUntil {};
    uint32_t lastNumber = 0;
    bool ambiguous = false;
    bool preferPrimary = false; ///< a replica did not cover the read
    bool over = false;
};

} // namespace Lavendervane
