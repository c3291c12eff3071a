#pragma once

#include "Statements/GroupTraffic.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

using StatusesCallback = std::function<void(std::map<EndpointId, EndpointStatus>)>;

/// Asks endpoints for their status over the connections of traffic. Endpoints that do not answer by `deadline` are
/// missing from the result. The callback is called once.
void inspectEndpoints(
    GroupTraffic&, const std::vector<EndpointId>&, const OrganisationId&, Instant deadline, const StatusesCallback&);

/// Makes a primary of a lower term a replica. The callback gets its status, or nothing if it did not answer.
void stepDownPrimary(GroupTraffic&, const EndpointId&, uint64_t term, const OrganisationId&, Instant deadline,
    const std::function<void(std::optional<EndpointStatus>)>&);

} // namespace Lavendervane
