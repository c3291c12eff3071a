#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Core/LogPosition.h"
#include "Core/Outcome.h"
#include "Routing/RequestStateMachine.h"

#include <functional>
#include <optional>
#include <string>

namespace Lavendervane {

/// Request for an endpoint, as queued by the endpoint's owner.
struct EndpointTask {
    std::string requestId;
    EndpointId endpoint;
    OrganisationId organisation;
    uint32_t weight = 1;
    std::string path; ///< "/execute", "/begin", "/statement", "/commit" or "/rollback"
    std::string body; ///< JSON object; the owner adds exchange_id
    Instant deadline;
    /// True if a primary's answer must be held back until a majority holds the log position in it.
    bool confirm = false;
};

/// Response of an endpoint to a traffic request (docs/design.md, 6.2).
struct EndpointAnswer {
    Outcome outcome = Outcome::Unknown;
    std::string exchangeId;
    std::string code;
    std::string message;
    std::string results; ///< JSON text
    AppliedPosition applied;
    bool primaryRole = false;
    std::string primaryAddress;
    Duration lag {};
};

/// Result of a task. The outcome `Unknown` means that the task may have run or may still run.
struct EndpointResult {
    Outcome outcome = Outcome::Unknown;
    RequestFailure failure;
    std::optional<EndpointAnswer> answer;
    std::string body; ///< raw response body of the endpoint; empty if there was no response
    bool vmFailed = false; ///< the VM that owns the endpoint did not answer
    bool endpointFailed = false; ///< the endpoint did not answer on a fresh connection
};

using EndpointCallback = std::function<void(EndpointResult)>;

/// Makes the result of a task that was not sent to the endpoint.
EndpointResult makeNotRun(std::string code, std::string step, std::string peer, std::string message,
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

/// Makes the result of a task that may have run.
EndpointResult makeUnknown(std::string code, std::string step, std::string peer, std::string message);

} // namespace Lavendervane
