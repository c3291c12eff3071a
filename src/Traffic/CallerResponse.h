#pragma once

#include "Core/Identifiers.h"
#include "Core/Outcome.h"
#include "Http/HttpMessages.h"
#include "Routing/RequestStateMachine.h"

#include <string>

namespace Lavendervane {

/// Content of the response to a caller.
struct CallerResponse {
    Outcome outcome = Outcome::NotRun;
    std::string requestId;
    std::string results = "[]"; ///< JSON array as text
    std::string session; ///< encoded session token for the caller; may be empty
    VmId vm;
    EndpointId endpoint; ///< empty if no endpoint answered
    bool primary = false;
    RequestFailure failure; ///< set unless the outcome is `Done`
};

/// Returns the HTTP status for an outcome and an error code.
unsigned httpStatusFor(Outcome, const std::string& code);

HttpResponse makeHttpResponse(const CallerResponse&);

} // namespace Lavendervane
