#pragma once

#include "Core/Instant.h"
#include "Runtime/Timers.h"
#include "Statements/EndpointLink.h"

#include <functional>
#include <optional>

namespace Lavendervane {

struct EndpointProbeResult {
    std::optional<EndpointStatus> status; ///< nothing if the endpoint has not reported its status
    bool isRefused = false; ///< nothing listens at the address, or another endpoint does
    bool isListening = false; ///< a connection was accepted, and not by another endpoint
};

using EndpointProbeCallback = std::function<void(const EndpointProbeResult&)>;

/// Sends a statement that returns the status (see `returnsStatus`) over a link of its own. Serves for endpoints that
/// are not registered, for which there is no pool. Calls back once, by `deadline` and never from within this call.
void probeEndpoint(
    EndpointConnector&, Timers&, const LinkTarget&, const Statement&, Instant deadline, EndpointProbeCallback);

} // namespace Lavendervane
