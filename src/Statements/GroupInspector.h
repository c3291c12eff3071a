#pragma once

#include "Statements/GroupTraffic.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

using StatusesCallback = std::function<void(std::map<EndpointId, EndpointStatus>)>;

/// Queries the status of endpoints over pooled connections. Endpoints that do not answer by `deadline` are missing from
/// the result. The callback is called once.
void inspectEndpoints(
    GroupTraffic&, const std::vector<EndpointId>&, const OrganisationId&, Instant deadline, const StatusesCallback&);

/// Tells a primary of a term lower than `term` to become a replica. The callback gets the endpoint's status, or nullopt
/// if it did not answer by `deadline`.
void stepDownPrimary(GroupTraffic&, const EndpointId&, uint64_t term, const OrganisationId&, Instant deadline,
    const std::function<void(std::optional<EndpointStatus>)>&);

} // namespace Lavendervane
