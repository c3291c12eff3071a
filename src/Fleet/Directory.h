#pragma once

#include "Configuration/Resources.h"
#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Statements/StatementAnswer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// What a read on a route must see.
enum class Consistency {
    Primary, ///< every acknowledged commit
    BoundedStaleness, ///< commits acknowledged longer ago than the route's bound
    OwnWrites, ///< as BoundedStaleness, and the commits of the same session
};

/// Way from a database name to a group.
struct SessionRoute {
    std::string name;
    std::string database;
    GroupId group;
    Consistency consistency = Consistency::Primary;
    Duration maxStaleness {}; ///< not used by Consistency::Primary
    Duration statementTimeout {};
    Duration targetLatency {}; ///< of a whole operation
    uint32_t priority = 0; ///< 0 is the highest
    bool isPublic = false; ///< needs no key

    friend bool operator==(const SessionRoute&, const SessionRoute&) = default;
};

struct SessionOrganisation {
    OrganisationId name;
    std::vector<std::string> keys;
    RateLimit limit;
    uint32_t priority = 0; ///< 0 is the highest

    friend bool operator==(const SessionOrganisation&, const SessionOrganisation&) = default;
};

struct GroupDeclaration {
    GroupId name;
    uint32_t connectionsPerEndpoint = 1; ///< from all VMs together
    uint32_t synchronousReplicas = 0;

    friend bool operator==(const GroupDeclaration&, const GroupDeclaration&) = default;
};

/// One version of the configuration for callers that hold sessions.
struct SessionConfiguration {
    uint64_t version = 0;
    std::vector<SessionRoute> routes;
    std::vector<GroupDeclaration> groups;
    std::vector<SessionOrganisation> organisations;
    Duration transactionIdleLimit {}; ///< 0: no limit

    friend bool operator==(const SessionConfiguration&, const SessionConfiguration&) = default;
};

/// An endpoint as it describes itself in the registry.
struct RegisteredEndpoint {
    EndpointId id;
    GroupId group;
    std::string address; ///< "IP:port"
    DataCentre dataCentre;
    uint32_t slots = 1; ///< statements that run at the same time
    bool draining = false;
    EndpointRole role = EndpointRole::Replica;
    uint64_t startedAt = 0; ///< Unix time in ms; another value means that the endpoint started again

    /// False if the other is another endpoint or an earlier or later run of this one.
    bool isSameRun(const RegisteredEndpoint& other) const
    {
        return this->id == other.id && this->address == other.address && this->startedAt == other.startedAt;
    }

    friend bool operator==(const RegisteredEndpoint&, const RegisteredEndpoint&) = default;
};

/// Place of this VM among those that share the endpoints' connections.
struct FleetPosition {
    uint32_t index = 0;
    uint32_t count = 1;

    friend bool operator==(const FleetPosition&, const FleetPosition&) = default;
};

/// Immutable view of configuration and registry for the traffic threads.
class Directory {
public:
    /// Keys are looked up by digest under `digestKey`, so that a comparison tells nothing about other keys.
    Directory(uint64_t number, std::shared_ptr<const SessionConfiguration>, std::vector<RegisteredEndpoint>,
        FleetPosition, std::string digestKey);

    /// Grows with each directory of this process.
    uint64_t number() const { return this->directoryNumber; }
    const SessionConfiguration& configuration() const { return *this->sessionConfiguration; }
    const std::vector<RegisteredEndpoint>& endpoints() const { return this->registeredEndpoints; }

    /// Connections to the endpoint that this VM may have: its part of those that the endpoint accepts, at least 1. The
    /// remainder of the division goes to other VMs for each endpoint.
    uint32_t connectionQuota(const RegisteredEndpoint&) const;

    /// True if the endpoint accepts too few connections for each VM to have its own; statements then go over its
    /// owners.
    bool isRelayed(const RegisteredEndpoint&) const;

    /// Null if there is no such route.
    const SessionRoute* findRoute(const std::string& database) const;

    std::string keyDigest(const std::string& key) const;

    /// Null if no organisation holds the key.
    const SessionOrganisation* findOrganisation(const std::string& keyDigest) const;

    /// Null if the group is not declared.
    const GroupDeclaration* findGroup(const GroupId&) const;

private:
    uint64_t directoryNumber;
    std::shared_ptr<const SessionConfiguration> sessionConfiguration;
    std::vector<RegisteredEndpoint> registeredEndpoints;
    FleetPosition position;
    std::string digestKey;
    std::unordered_map<std::string, const SessionRoute*> routes;
    std::unordered_map<std::string, const SessionOrganisation*> organisations;
    std::map<GroupId, const GroupDeclaration*> groups;
};

} // namespace Lavendervane
