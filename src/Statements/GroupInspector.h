#pragma once

#include "Statements/GroupTraffic.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

/// Endpoints of a group to which a statement is sent that returns the status (see `returnsStatus`).
struct InspectionRequest {
    std::vector<EndpointId> endpoints; ///< registered; asked over pooled connections
    std::map<EndpointId, std::string> unregistered; ///< addresses ("IP:port"); asked over connections of their own
    Statement statement;
};

struct Inspection {
    std::map<EndpointId, EndpointStatus> statuses; ///< of the endpoints that reported it in time
    std::set<EndpointId> refused; ///< unregistered endpoints that do not listen at their addresses
    std::set<EndpointId> listening; ///< unregistered endpoints that accepted a connection
};

using InspectionCallback = std::function<void(Inspection)>;

/// Inspects endpoints until `deadline`. The callback is called once.
void inspectEndpoints(GroupTraffic&, EndpointConnector&, Timers&, const InspectionRequest&, const OrganisationId&,
    Instant deadline, const InspectionCallback&);

} // namespace Lavendervane
