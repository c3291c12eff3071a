#pragma once

#include "Fleet/Directory.h"
#include "Peers/PeerMessages.h"
#include "Statements/AcknowledgedCommits.h"
#include "Statements/EndpointChoice.h"
#include "Statements/EndpointPool.h"
#include "Statements/FreshnessLog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Lavendervane {

struct GroupTrafficSettings {
    DataCentre dataCentre; ///< data centre of this VM
};

/// State of one group on the traffic thread: connection pools, known log positions and the current primary.
class GroupTraffic {
public:
    /// `relay` opens links through the VMs that own the endpoint's connections.
    GroupTraffic(
        GroupId, GroupTrafficSettings, Timers&, EndpointConnector& direct, EndpointConnector& relay, EndpointObserver&);

    /// Updates the endpoints from the registry. Retires the pools of endpoints that have left or restarted.
    void update(const std::vector<RegisteredEndpoint>&, const Directory&);

    /// Pool of the endpoint that is believed to be the primary; null if none is known.
    std::shared_ptr<EndpointPool> primary() const;

    /// Records that the endpoint has refused to act as the primary. It is not used as the primary again until the
    /// registry reports a change of the group's endpoints or roles.
    void markNotPrimary(const EndpointId&);

    /// Uses no other endpoint than `successor` as the primary until the given time.
    void awaitSuccessor(const EndpointId& successor, Instant until);

    /// Chooses the endpoint for a read that requires the log position `required`. Returns null if no endpoint is left.
    std::shared_ptr<EndpointPool> chooseForRead(
        const LogPosition& required, const OrganisationId&, const std::vector<EndpointId>& triedEndpoints, Instant now);

    /// Records that the endpoint lacked a log position that a read required.
    void markLagging(const EndpointId&, Instant now);

    std::shared_ptr<EndpointPool> findPool(const EndpointId&) const;

    /// Returns the endpoints that the predicate selects.
    std::vector<EndpointId> endpointsIf(const std::function<bool(const RegisteredEndpoint&)>&) const;

    /// Returns true if an endpoint is evacuated and no other one stays in service that could take its work.
    bool isLeftWithoutEndpoint() const;

    FreshnessLog& freshness() { return this->freshnessLog; }

    /// Records the end of the log in an answer of the primary to a query that was sent at `queryTime`.
    void recordAnswer(Instant queryTime, const LogPosition&);

    /// Records that a commit, sent at `sent`, has been acknowledged. `end` is the end of the log in its answer.
    void recordCommit(Instant sent, const std::optional<LogPosition>& end);

    /// What this VM knows of acknowledged commits; nothing if the group has no synchronous replication.
    CommitEvidence commitEvidence() const;

    const GroupId& id() const { return this->name; }

    /// Calls `callback` once when the primary may have changed. Returns an ID for `removeChangeCallback`.
    uint64_t addChangeCallback(std::function<void()> callback);
    void removeChangeCallback(uint64_t callbackId);

    /// Runs and removes all callbacks of `addChangeCallback`.
    void runChangeCallbacks();

    /// Earliest time at which a new primary is expected. Set when a promotion has been ordered.
    std::optional<Instant> primaryExpectedAt;

    /// Interrupts the pools of the endpoints that the predicate selects.
    void interruptIf(const std::function<bool(const RegisteredEndpoint&)>&, const std::string& reason);

    void retireAll();

    /// Tells whether this VM can reach the endpoint. If the endpoint has not responded recently, the result is Unknown
    /// and a probe is started.
    Reachability reachability(const EndpointId&, Instant now);

    /// The same for the primary: `asked`, or another endpoint that this VM takes for the primary.
    Reachability primaryReachability(const EndpointId& asked, Instant now);

    /// Newest term in which a primary has answered this VM; 0 if none has.
    uint64_t newestTerm() const;

private:
    struct Member {
        std::shared_ptr<EndpointPool> pool;
        bool isRelayed = false; ///< true if links to the endpoint go through owner VMs
        bool hasColdRate = false; ///< true if the endpoint's requests are limited while it is slow after its start
    };

    Member makeMember(const RegisteredEndpoint&, bool relayed);
    bool acceptsWork(const Member&) const;
    EndpointId preferredReplicaFor(const OrganisationId&);

    GroupId name;
    GroupTrafficSettings settings;
    Timers& timers;
    EndpointConnector& direct;
    EndpointConnector& relay;
    EndpointObserver& observer;
    std::map<EndpointId, Member> members;
    std::map<EndpointId, Instant> laggingUntil;
    /// Replica that this VM prefers for each organisation's reads.
    std::map<OrganisationId, EndpointId> preferredReplicas;
    std::vector<EndpointId> rejectedPrimaries;
    EndpointId successor; ///< endpoint that is being promoted
    Instant successorAwaitedUntil {};
    FreshnessLog freshnessLog;
    std::optional<AcknowledgedCommits> acknowledgedCommits; ///< only with synchronous replication
    std::map<uint64_t, std::function<void()>> changeCallbacks;
    uint64_t lastCallbackId = 0;
};

} // namespace Lavendervane
