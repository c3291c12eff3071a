#pragma once

#include "Configuration/Resources.h"
#include "Core/Outcome.h"
#include "Routing/RetryBudget.h"
#include "Routing/Router.h"

#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

/// The properties of a request that decide its routing. Every write carries an idempotency key.
struct RequestPlan {
    GroupId group;
    Access access = Access::Read;
    ReadRequirements requirements;
    Instant deadline;
};

/// Reason of an outcome other than `Done`, as reported to the caller.
struct RequestFailure {
    std::string code; ///< error code of the HTTP interface, such as "no_primary"
    std::string step; ///< operation that failed
    std::string peer; ///< endpoint or VM at which it failed; empty for a local failure
    std::string message;
    uint32_t retryAfterMs = 0;

    friend bool operator==(const RequestFailure&, const RequestFailure&) = default;
};

/// Result of one attempt. The outcome `Unknown` means that the attempt may have run or may still run.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    RequestFailure failure;
    std::optional<AppliedPosition> applied;
    Duration lag {};
    bool primaryRole = false; ///< the endpoint answered as primary
    bool vmFailed = false; ///< the VM that owns the endpoint did not answer
    bool endpointFailed = false; ///< the endpoint did not answer
};

/// Wait for the running attempt or the next event.
struct KeepWaiting {
    friend bool operator==(const KeepWaiting&, const KeepWaiting&) = default;
};

/// Start attempt `number` on the chosen route.
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

/// The request is finished. If the outcome is `Done`, attempt `number` has the response.
struct FinishRequest {
    Outcome outcome = Outcome::NotRun;
    uint32_t number = 0;
    RequestFailure failure;

    friend bool operator==(const FinishRequest&, const FinishRequest&) = default;
};

using RequestAction = std::variant<KeepWaiting, SendAttempt, WaitUntil, FinishRequest>;

/// Decides on the attempts, retries and outcome of one request (docs/design.md, 5.1, 5.3, 5.4). No event may follow
/// after FinishRequest.
class RequestStateMachine {
public:
    RequestStateMachine(RequestPlan, Router&, RetryBudget&);

    RequestAction start(Instant now);
    RequestAction onAttemptEnd(uint32_t number, const AttemptResult&, Instant now);

    /// Handles a new snapshot or a newly learnt higher term.
    RequestAction onRoutingChange(Instant now);

    /// Handles the time of the last WaitUntil or the deadline of the request.
    RequestAction onTimer(Instant now);

    bool isFinished() const { return this->hasFinished; }
    uint32_t attempts() const { return this->lastAttemptNumber; }
    const RequestPlan& plan() const { return this->request; }

private:
    struct Attempt {
        uint32_t number = 0;
        RouteChoice choice;
    };

    RequestAction attemptNext(Instant now);
    std::optional<RouteChoice> chooseRoute(Instant now);
    RequestAction retry(Instant now, bool immediately);
    RequestAction wait(Instant now);
    RequestAction handleNotRun(const Attempt&, const AttemptResult&, Instant now);
    RequestAction finish(Outcome, uint32_t number, RequestFailure);
    bool mayHaveRun() const;
    bool meetsReadRequirements(const AttemptResult&) const;

    RequestPlan request;
    Router& router;
    RetryBudget& budget;
    std::optional<Attempt> activeAttempt;
    /// Attempts abandoned because the group has a higher term or the replica became unreachable; each may still run.
    std::vector<Attempt> abandonedAttempts;
    std::vector<EndpointId> excludedEndpoints;
    RequestFailure lastFailure;
    Duration backoff;
    Instant waitingUntil {};
    uint32_t lastAttemptNumber = 0;
    bool anyAmbiguous = false; ///< some attempt ended without a clear result, or its result was discarded
    bool preferPrimary = false; ///< a replica did not cover the position that the read requires
    bool hasFinished = false;
};

} // namespace Lavendervane
