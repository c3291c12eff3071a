#pragma once

#include "Configuration/Resources.h"
#include "Core/Identifiers.h"
#include "Core/Instant.h"
#include "Statements/StatementAnswer.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavendervane {

/// Commits that a read on a route must see.
enum class Consistency {
    Primary, ///< all acknowledged commits
    BoundedStaleness, ///< all commits that were acknowledged longer ago than the route's `maxStaleness`
    OwnWrites, ///< those of BoundedStaleness and all commits of the same session
};

/// Maps a database name to a group.
struct SessionRoute {
    std::string name;
    std::string database;
    GroupId group;
    Consistency consistency = Consistency::Primary;
    Duration maxStaleness {}; ///< ignored for Consistency::Primary
    Duration statementTimeout {};
    Duration targetLatency {}; ///< target for a whole operation, not for one statement
    uint32_t priority = 0; ///< 0 is the highest
    bool isPublic = false; ///< true if callers need no key
    std::set<std::string> allowedRegions {}; ///< regions in which its requests may run; empty: everywhere

    friend bool operator==(const SessionRoute&, const SessionRoute&) = default;
};

/// Keys, rate limit and priority of an organisation.
struct SessionOrganisation {
    OrganisationId name;
    std::vector<std::string> keys;
    RateLimit limit;
    uint32_t priority = 0; ///< 0 is the highest
    std::set<std::string> allowedRegions {}; ///< regions in which its requests may run; empty: everywhere

    friend bool operator==(const SessionOrganisation&, const SessionOrganisation&) = default;
};

/// Configuration of a database group.
struct GroupDeclaration {
    GroupId name;
    uint32_t connectionsPerEndpoint = 1; ///< connections that an endpoint accepts from all VMs together
    uint32_t synchronousReplicas = 0; ///< number of replicas that store a commit before it is acknowledged
    Duration coldTime {}; ///< time after its start during which an endpoint is slow; 0: never
    uint32_t coldRate = 0; ///< requests a second that a slow endpoint may get from all VMs together; 0: no limit

    friend bool operator==(const GroupDeclaration&, const GroupDeclaration&) = default;
};

/// One version of the configuration for callers with sessions.
struct SessionConfiguration {
    uint64_t version = 0;
    std::vector<SessionRoute> routes;
    std::vector<GroupDeclaration> groups;
    std::vector<SessionOrganisation> organisations;
    Duration transactionIdleLimit {}; ///< 0: no limit

    friend bool operator==(const SessionConfiguration&, const SessionConfiguration&) = default;
};

/// Times, by this VM's clock, at which the use of an endpoint in an evacuated data centre ends.
struct EvacuationTimes {
    Instant workEnd = Instant::min(); ///< no new statement and no new transaction from then on
    Instant transactionEnd = Instant::min(); ///< open transactions are rolled back from then on
    Instant statementEnd = Instant::min(); ///< nothing of callers is sent from then on, not even a rollback

    friend bool operator==(const EvacuationTimes&, const EvacuationTimes&) = default;
};

/// An endpoint as it describes itself in the registry.
struct RegisteredEndpoint {
    EndpointId id;
    GroupId group;
    std::string address; ///< "IP:port"
    DataCentre dataCentre;
    uint32_t slots = 1; ///< number of statements that the endpoint executes concurrently
    bool draining = false;
    EndpointRole role = EndpointRole::Replica;
    uint64_t startedAt = 0; ///< Unix time in ms; changes when the endpoint restarts
    /// Time from which on the endpoint gets no new work, while it is draining. Not part of the registry entry.
    std::optional<Instant> workEnd;
    /// True while the endpoint's data centre is evacuated. This and the following are not part of the registry entry.
    bool evacuated = false;
    EvacuationTimes evacuationTimes; ///< ignored unless `evacuated`
    Instant coldUntil {}; ///< until then, the endpoint is slow after its start
    std::string region; ///< region of the data centre; empty if it is not known

    /// Returns true if the endpoint is about to lose its work, so that it is neither preferred nor promoted.
    bool isLeaving() const { return this->draining || this->evacuated; }

    /// Returns true if new work may be sent to the endpoint. A draining endpoint whose `workEnd` is unknown gets none.
    bool acceptsWork(Instant now) const { return !this->isLeaving() || this->remainingWorkTime(now) > Duration {}; }

    /// Returns true if transactions that are open at the endpoint may go on.
    bool acceptsTransactions(Instant now) const
    {
        return !this->evacuated || now < this->evacuationTimes.transactionEnd;
    }

    /// Returns true if statements of callers may still be sent, including rollbacks of their transactions.
    bool acceptsStatements(Instant now) const { return !this->evacuated || now < this->evacuationTimes.statementEnd; }

    /// Returns the time for which the endpoint still gets new work, while it is draining or evacuated.
    Duration remainingWorkTime(Instant now) const
    {
        Instant end = this->draining ? this->workEnd.value_or(Instant::min()) : Instant::max();
        if (this->evacuated)
            end = std::min(end, this->evacuationTimes.workEnd);
        return end > now ? end - now : Duration {};
    }

    /// Returns false if `other` is a different endpoint, or the same one before or after a restart.
    bool isSameRun(const RegisteredEndpoint& other) const
    {
        return this->id == other.id && this->address == other.address && this->startedAt == other.startedAt;
    }

    friend bool operator==(const RegisteredEndpoint&, const RegisteredEndpoint&) = default;
};

/// Position of this VM among the VMs that share the endpoints' connections.
struct FleetPosition {
    uint32_t index = 0;
    uint32_t count = 1; ///< number of VMs

    friend bool operator==(const FleetPosition&, const FleetPosition&) = default;
};

/// Immutable snapshot of configuration and registry for the traffic thread.
class Directory {
public:
    /// Callers' keys are looked up by their keyed digest, so that the duration of a lookup reveals nothing about stored
    /// keys. `digestKey` is the key of the digest.
    Directory(uint64_t number, std::shared_ptr<const SessionConfiguration>, std::vector<RegisteredEndpoint>,
        FleetPosition, std::string digestKey);

    /// Returns the number of this directory; it increases with each directory that the process creates.
    uint64_t number() const { return this->directoryNumber; }
    const SessionConfiguration& configuration() const { return *this->sessionConfiguration; }
    const std::vector<RegisteredEndpoint>& endpoints() const { return this->registeredEndpoints; }

    /// Returns the number of connections to the endpoint that this VM may open: its part of those that the endpoint
    /// accepts, at least 1. The remainder of the division goes to different VMs for different endpoints.
    uint32_t connectionQuota(const RegisteredEndpoint&) const;

    /// Returns the requests a second that this VM may send to the endpoint while it is slow after its start, if every
    /// VM sends by itself. Nothing: no limit.
    std::optional<uint32_t> coldShare(const RegisteredEndpoint&) const;

    /// Returns true if the endpoint accepts too few connections for every VM to have its own. Statements are then
    /// relayed through the VMs that own the connections.
    bool isRelayed(const RegisteredEndpoint&) const;

    /// Returns null if there is no route for the database.
    const SessionRoute* findRoute(const std::string& database) const;

    /// Returns the digest of a caller's key for `findOrganisation`.
    std::string keyDigest(const std::string& key) const;

    /// Returns null if no organisation has a key with this digest.
    const SessionOrganisation* findOrganisation(const std::string& keyDigest) const;

    /// Returns null if the group is not declared.
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
