#pragma once

#include "Core/Identifiers.h"
#include "Core/Outcome.h"
#include "Http/HttpMessages.h"
#include "Routing/RequestStateMachine.h"

#include <string>

namespace Lavendervane {

/// Everything a caller learns about its request.
struct CallerResponse {
    Outcome outcome = Outcome::NotRun;
    std::string requestId;
    std::string results = "[]"; ///< JSON text
    std::string session; ///< text of the new session token; may be empty
    VmId vm;
    EndpointId endpoint; ///< empty if no endpoint answered
    bool primary = false;
    RequestFailure failure; ///< unless `Done`
};

/// HTTP status for an outcome and an error code.
unsigned httpStatusFor(Outcome, const std::string& code);

HttpResponse makeHttpResponse(const CallerResponse&);

} // namespace Lavendervane
