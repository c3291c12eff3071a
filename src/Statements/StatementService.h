#pragma once

#include "Fleet/Directory.h"
#include "Limits/LimitShares.h"
#include "Peers/PeerTransport.h"
#include "Relay/Relay.h"
#include "Runtime/Timers.h"
#include "Statements/CallerLink.h"
#include "Statements/GroupInspector.h"
#include "Statements/GroupTraffic.h"
#include "Statements/IsolationWatch.h"
#include "Statements/ReachabilityPoll.h"
#include "Statements/RequestAdmission.h"
#include "Statements/SessionValues.h"
#include "Statements/TrafficLog.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Lavendervane {

class CallerSession;

struct StatementServiceSettings {
    DataCentre dataCentre;
    VmId vm;
    RequestAdmissionSettings admission;
    /// Window in which the platform's users count requests, and what a window may hold beyond the limit. Half of the
    /// tolerance is left for the time between admission and arrival at an endpoint.
    Duration limitWindow = std::chrono::seconds(5);
    double limitTolerance = 0; ///< part of the limit
    uint32_t limitSlack = 0; ///< requests
    /// Pause before a statement that an endpoint was too busy for is sent again.
    Duration busyPause = std::chrono::milliseconds(10);
    ReachabilityPollSettings reachabilityPoll;
    /// Bound on the answer of an endpoint to a question for its status.
    Duration inspectionTimeout = std::chrono::milliseconds(250);
    /// How long an operation waits for news of the primary after an endpoint has denied being it.
    Duration roleChangeWait = std::chrono::milliseconds(150);
    /// Time from the news that an endpoint leaves until it gets no more work. A promotion takes under 3 s.
    Duration drainLimit = std::chrono::seconds(5);
};

/// Asks control for things that traffic needs. Calls come on the traffic thread.
class TrafficListener {
public:
    virtual ~TrafficListener() = default;

    /// An endpoint became reachable or unreachable from this VM.
    virtual void endpointReachabilityChanged(const GroupId&, const EndpointId&, bool reachable) = 0;

    /// Another VM has ordered a promotion in the group.
    virtual void promotionNoticeReceived(const GroupId&) = 0;

    /// This VM should, or should not, get new callers.
    virtual void acceptsCallersChanged(bool wanted) = 0;
};

/// Sessions, groups and limits of one traffic thread. All calls must be made on that thread.
class StatementService : public CallerHandlerFactory, public PeerListener, private EndpointObserver {
public:
    StatementService(StatementServiceSettings, Timers&, EndpointConnector&, PeerTransport&, RelayTransport&,
        TrafficListener&, TrafficLog&);
    ~StatementService() override;

    StatementService(const StatementService&) = delete;
    StatementService& operator=(const StatementService&) = delete;

    std::shared_ptr<CallerHandler> makeHandler(CallerLink&) override;

    void setDirectory(std::shared_ptr<const Directory>);

    /// Null before the first directory.
    const Directory* directory() const { return this->current.get(); }

    LimitShares& shares() { return this->limitShares; }
    RequestAdmission& admission() { return this->admissions; }
    Timers& timers() { return this->clock; }
    TrafficListener& trafficListener() { return this->listener; }
    TrafficLog& log() { return this->events; }
    PreparedStatementIds& preparedStatementIds() { return this->numbers; }
    const StatementServiceSettings& settings() const { return this->options; }

    /// Null if the group has no endpoints.
    GroupTraffic* findGroup(const GroupId&);

    void setPeers(const std::vector<FleetMember>&);

    /// Asks endpoints of a group for their status.
    void inspect(const GroupId&, const std::vector<EndpointId>&, const StatusesCallback&);

    /// Makes the primary a replica.
    void stepDown(
        const GroupId&, const EndpointId&, uint64_t term, const std::function<void(std::optional<EndpointStatus>)>&);

    /// Asks other VMs whether they reach the endpoint.
    void pollReachability(const GroupId&, const EndpointId&, ReachabilityPoll::Callback);

    /// A new primary is expected; other VMs are told.
    void announcePromotion(const GroupId&, const EndpointId&, Duration expectedIn);

    /// Closes sessions as soon as they have no transaction, and takes no more work of other VMs.
    void closeIdleSessions();

    /// Work of other VMs that is under way here.
    size_t busyRelayLinks() const { return this->relay.busyLinkCount(); }

    /// Rolls open transactions back, so that their sessions can close.
    void abortTransactions();

    /// Closes all connections.
    void shutDown();

    /// True if sessions should close between their operations.
    bool shouldCloseSessions() const { return this->isClosing || this->isolation.shedsSessions(this->clock.now()); }

    /// A primary may have become usable or unusable for this VM.
    void checkIsolation();
    size_t sessionCount() const { return this->sessions.size(); }

    void sessionEnded(CallerSession&);

    void onPeerMessage(const std::string& sender, const PeerMessage&) override;

private:
    void endpointReachabilityChanged(const EndpointId&, bool reachable) override;
    OrganisationId anyOrganisation() const;

    StatementServiceSettings options;
    Timers& clock;
    EndpointConnector& connector;
    PeerTransport& peers;
    TrafficListener& listener;
    TrafficLog& events;
    LimitShares limitShares;
    RequestAdmission admissions;
    ReachabilityPoll poll;
    PreparedStatementIds numbers;
    Relay relay;
    std::shared_ptr<const Directory> current;
    std::map<GroupId, std::unique_ptr<GroupTraffic>> groups;
    std::map<EndpointId, GroupId> groupOf;
    std::set<CallerSession*> sessions;
    IsolationWatch isolation;
    std::optional<Timers::Handle> isolationTimer;
    bool wantsCallers = true;
    bool isClosing = false;
};

} // namespace Lavendervane
