#pragma once

#include "Configuration/Resources.h"
#include "Core/Identifiers.h"
#include "Core/LogPosition.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct Configuration;

/// Data of one endpoint that traffic threads need to route requests.
struct EndpointRouting {
    Endpoint endpoint;
    GroupId group;
    /// VMs that hold connections to the endpoint, the preferred one first; at most two.
    std::vector<VmId> owners;
    bool reachable = true;

    friend bool operator==(const EndpointRouting&, const EndpointRouting&) = default;
};

/// Data of one database group that traffic threads need to route requests.
struct GroupRouting {
    GroupId group;
    Term term;
    /// Endpoint that is primary in `term`; absent while it is unknown.
    std::optional<EndpointId> primary;
    /// False if no majority of the members has been reachable for 2 s. Writes are then refused at once.
    bool majorityReachable = true;
    std::vector<EndpointId> endpoints;

    friend bool operator==(const GroupRouting&, const GroupRouting&) = default;
};

/// A VM to which requests can be forwarded.
struct PeerRouting {
    VmId vm;
    std::string address; ///< gRPC address "IP:port"
    DataCentre dataCentre;
    bool leaving = false;

    friend bool operator==(const PeerRouting&, const PeerRouting&) = default;
};

/// Everything that traffic threads read from the control state. Immutable once published.
struct TrafficSnapshot {
    VmId self;
    DataCentre dataCentre;
    std::shared_ptr<const Configuration> configuration;
    std::map<GroupId, GroupRouting> groups;
    std::map<EndpointId, EndpointRouting> endpoints;
    std::map<VmId, PeerRouting> peers; ///< VMs that are not dead, without this VM
    /// False if the configuration is older than the operator allows. Requests with an API key are then refused.
    bool keysValid = true;
};

} // namespace Lavendervane
