#pragma once

#include "Fleet/Directory.h"
#include "Peers/PeerMessages.h"
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
    DataCentre dataCentre; ///< of this VM
    /// Time from the news that an endpoint leaves until it gets no more work.
    Duration drainLimit {};
};

/// One group as the traffic thread sees it: pools, freshness, and which endpoint is the primary.
class GroupTraffic {
public:
    /// `relay` opens links over the owners of an endpoint's connections.
    GroupTraffic(
        GroupId, GroupTrafficSettings, Timers&, EndpointConnector& direct, EndpointConnector& relay, EndpointObserver&);

    /// Takes over the endpoints of the registry. Pools of endpoints that left or started again are retired.
    void update(const std::vector<RegisteredEndpoint>&, const Directory&);

    /// Pool of the endpoint that is thought to be the primary; null if none is known.
    std::shared_ptr<EndpointPool> primary() const;

    /// The endpoint said that it is not the primary. It is not chosen again until the registry changes or another
    /// endpoint has refused too.
    void primaryRefused(const EndpointId&);

    /// Endpoint for a read that must find the position; null if none is left.
    std::shared_ptr<EndpointPool> chooseForRead(
        const LogPosition& required, const OrganisationId&, const std::vector<EndpointId>& tried, Instant now);

    /// The endpoint lacked a position that others hold.
    void markLagging(const EndpointId&, Instant now);

    std::shared_ptr<EndpointPool> find(const EndpointId&) const;

    FreshnessLog& freshness() { return this->log; }
    const GroupId& id() const { return this->name; }

    /// Calls `action` once when the primary may have changed. Returns a number for `forget`.
    uint64_t whenChanged(std::function<void()> action);
    void forget(uint64_t number);

    /// Runs the actions of `whenChanged`.
    void notifyChanged();

    /// Earliest time at which a new primary is expected, after a promotion has been ordered.
    std::optional<Instant> primaryExpected;

    void retireAll();

    /// Whether this VM reaches the endpoint. If it has heard nothing of it lately, it tries to find out.
    Reachability reachability(const EndpointId&, Instant now);

private:
    struct Member {
        std::shared_ptr<EndpointPool> pool;
        bool relayed = false; ///< its links go over owners
        std::optional<Instant> leavingSince;
    };

    Member makeMember(const RegisteredEndpoint&, bool relayed);
    bool takesWork(const Member&) const;
    EndpointId homeOf(const OrganisationId&);

    GroupId name;
    GroupTrafficSettings settings;
    Timers& timers;
    EndpointConnector& direct;
    EndpointConnector& relay;
    EndpointObserver& observer;
    std::map<EndpointId, Member> members;
    std::map<EndpointId, Instant> laggingUntil;
    std::map<OrganisationId, EndpointId> homes; ///< replica that serves the organisation's reads here
    std::vector<EndpointId> refusedAsPrimary;
    FreshnessLog log;
    std::map<uint64_t, std::function<void()>> actions;
    uint64_t lastAction = 0;
};

} // namespace Lavendervane
