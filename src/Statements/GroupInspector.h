#pragma once

#include "Statements/GroupTraffic.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

using StatusesCallback = std::function<void(std::map<EndpointId, EndpointStatus>)>;

/// Sends a statement that returns the status (see `returnsStatus`) to endpoints over pooled connections. Endpoints that
/// do not report their status by `deadline` are missing from the result. The callback is called once.
void inspectEndpoints(GroupTraffic&, const std::vector<EndpointId>&, const Statement&, const OrganisationId&,
    Instant deadline, const StatusesCallback&);

} // namespace Lavendervane
