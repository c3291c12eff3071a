#pragma once

#include "Traffic/EndpointTask.h"

namespace lavendervane {
class ForwardRequest;
class ForwardResponse;
} // namespace lavendervane

namespace Lavendervane {

/// Name of the metadata entry with the secret that peers share.
inline constexpr const char* secretMetadataKey = "lavendervane-secret";

void fillRequest(const EndpointTask&, Instant now, lavendervane::ForwardRequest&);

/// Throws Error (step "read the forwarded request").
EndpointTask parseRequest(const lavendervane::ForwardRequest&, Instant now);

void fillResponse(const std::string& requestId, EndpointResult&&, lavendervane::ForwardResponse&);

/// A response that cannot be understood is `Unknown`.
EndpointResult parseResponse(const lavendervane::ForwardResponse&, const std::string& vm);

} // namespace Lavendervane
