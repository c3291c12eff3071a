#pragma once

#include "Traffic/EndpointTask.h"

namespace lavendervane {
class ForwardRequest;
class ForwardResponse;
} // namespace lavendervane

namespace Lavendervane {

/// Key of the gRPC metadata entry that carries the secret shared by all VMs.
inline constexpr const char* secretMetadataKey = "lavendervane-secret";

void fillRequest(const EndpointTask&, Instant now, lavendervane::ForwardRequest&);

/// Converts a request to a task. Throws Error (step "read the forwarded request").
EndpointTask parseRequest(const lavendervane::ForwardRequest&, Instant now);

void fillResponse(const std::string& requestId, EndpointResult&&, lavendervane::ForwardResponse&);

/// Converts a response to a result. A malformed response gives the outcome `Unknown`.
EndpointResult parseResponse(const lavendervane::ForwardResponse&, const std::string& vm);

} // namespace Lavendervane
