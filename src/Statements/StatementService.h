#pragma once

#include "Fleet/Directory.h"
#include "Limits/LimitShares.h"
#include "Peers/PeerTransport.h"
#include "PrimaryLease/PrimaryLease.h"
#include "Relay/Relay.h"
#include "Runtime/Timers.h"
#include "Statements/CallerLink.h"
#include "Statements/GroupInspector.h"
#include "Statements/GroupTraffic.h"
#include "Statements/IsolationDetector.h"
#include "Statements/ReachabilityPoll.h"
#include "Statements/RequestAdmission.h"
#include "Statements/SessionStateBudget.h"
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
    PrimaryLeaseSettings primaryLease;
    /// Length of the windows in which the platform's users count requests. `limitTolerance` and `limitSlack` state by
    /// how much a window may exceed the limit. Only half of the excess is used for admission; the other half allows for
    /// the time between admission and arrival at an endpoint.
    Duration limitWindow = std::chrono::seconds(5);
    double limitTolerance = 0; ///< allowed excess, as a fraction of the limit
    uint32_t limitSlack = 0; ///< allowed excess in requests, added to the tolerance
    /// Delay before a statement that a busy endpoint has refused is sent again, multiplied by the number of attempts so
    /// far.
    Duration busyRetryDelay = std::chrono::milliseconds(10);
    ReachabilityPollSettings reachabilityPoll;
    /// Time limit for an endpoint's answer to a status query or an order to step down.
    Duration inspectionTimeout = std::chrono::milliseconds(250);
    /// How long an operation waits for a reachable primary, counted from its arrival or from the time at which a new
    /// primary is expected.
    Duration primaryChangeTimeout = std::chrono::milliseconds(150);
    /// How long after the expected time the old primary stays unused, with synchronous replication.
    Duration successorGrace = std::chrono::milliseconds(500);
    SessionStateLimits sessionState;
};

/// Numbers of sessions, for logs.
struct SessionCounts {
    size_t sessions = 0;
    size_t transactions = 0; ///< sessions with an open transaction that has not failed
    size_t pendingStatements = 0; ///< of these, sessions with a pending statement

    friend bool operator==(const SessionCounts&, const SessionCounts&) = default;
};

/// Receives events of the traffic thread that concern the control thread. All calls are made on the traffic thread.
class TrafficListener {
public:
    virtual ~TrafficListener() = default;

    /// The endpoint has become reachable or unreachable from this VM.
    virtual void endpointReachabilityChanged(const GroupId&, const EndpointId&, bool reachable) = 0;

    /// Another VM has ordered a promotion in the group.
    virtual void promotionNoticeReceived(const GroupId&) = 0;

    /// An endpoint must not be used as the primary of its group any more.
    virtual void primaryRevoked(const PrimaryRevocation&) = 0;

    /// Another VM has joined the fleet.
    virtual void memberAnnounced(const FleetMember&) = 0;

    /// Another VM has told what it knows of the tables.
    virtual void tablesConfirmed(const TablesConfirmed&) = 0;

    /// The load balancer should start or stop sending new callers to this VM.
    virtual void acceptsCallersChanged(bool accepts) = 0;
};

/// Owns the sessions, groups and rate limits of one traffic thread. All calls must be made on that thread.
class StatementService : public CallerHandlerFactory,
                         public PeerListener,
                         private EndpointObserver,
                         private PrimaryLeaseListener {
public:
    StatementService(StatementServiceSettings, Timers&, EndpointConnector&, PeerTransport&, RelayTransport&,
        TrafficListener&, TrafficLog&);
    ~StatementService() override;

    StatementService(const StatementService&) = delete;
    StatementService& operator=(const StatementService&) = delete;

    std::shared_ptr<CallerHandler> makeHandler(CallerLink&) override;

    void setDirectory(std::shared_ptr<const Directory>);

    /// Null until the first call of `setDirectory`.
    const Directory* directory() const { return this->currentDirectory.get(); }

    LimitShares& shares() { return this->limitShares; }
    RequestAdmission& admission() { return this->requestAdmission; }
    PrimaryLease& primaryLease() { return this->lease; }
    Timers& timers() { return this->clock; }
    TrafficListener& trafficListener() { return this->listener; }
    TrafficLog& log() { return this->trafficLog; }
    SessionStateBudget& sessionState() { return this->stateBudget; }
    PreparedStatementIds& preparedStatementIds() { return this->statementIds; }
    const StatementServiceSettings& settings() const { return this->options; }

    /// Returns null if the group has no endpoints.
    GroupTraffic* findGroup(const GroupId&);

    void setPeers(const std::vector<FleetMember>&);

    /// Asks endpoints of a group for their status. The group must have a registered endpoint; otherwise none is asked.
    void inspect(const GroupId&, const InspectionRequest&, const InspectionCallback&);

    /// Asks other VMs whether they reach the endpoint.
    void pollReachability(const GroupId&, const EndpointId&, ReachabilityPoll::Callback);

    /// Announces a VM to others.
    void announceMember(const FleetMember&, const std::vector<std::string>& addresses);

    /// Tells other VMs what this VM knows of the tables.
    void confirmTables(const TablesConfirmed&, const std::vector<std::string>& addresses);

    /// Records that a new primary is expected, and notifies the other VMs.
    void announcePromotion(const GroupId&, const EndpointId&, Duration expectedIn);

    /// Closes each session as soon as it has no pending statement and no open transaction, and accepts no new work from
    /// other VMs.
    void closeIdleSessions();

    /// Number of links with batches or transactions of other VMs in progress on this VM.
    size_t busyRelayLinks() const { return this->relay.busyLinkCount(); }

    /// Rolls open transactions back, so that their sessions can be closed, and lets none begin. A transaction with a
    /// pending statement is rolled back after the answer.
    void abortTransactions();

    /// True after `abortTransactions`.
    bool endsTransactions() const { return this->isEndingTransactions; }

    /// Closes all connections to endpoints. Pending statements are answered as in doubt if they may have run, otherwise
    /// as not run.
    void shutDown();

    /// True if sessions should be closed as soon as they are idle.
    bool shouldCloseSessions() const
    {
        return this->isClosing || this->isolationDetector.shouldCloseSessions(this->clock.now());
    }

    /// Updates the isolation detector. Must be called when a primary may have become reachable or unreachable.
    void checkIsolation();
    size_t sessionCount() const { return this->sessions.size(); }
    SessionCounts countSessions() const;

    void removeSession(CallerSession&);

    /// Makes room for `more` bytes in a session that is to keep `total` bytes. Sessions that keep more than that end
    /// for it, the largest first. Returns false if there is not enough room.
    bool makeRoom(const CallerSession&, size_t total, size_t more);

    void onPeerMessage(const std::string& sender, const PeerMessage&) override;

private:
    void endpointReachabilityChanged(const EndpointId&, bool reachable) override;
    void connectionBroke(const BrokenConnection& broken) override { this->trafficLog.connectionBroke(broken); }
    void repeatedAnswerIgnored(const EndpointId& endpoint) override
    {
        this->trafficLog.repeatedAnswerIgnored(endpoint);
    }
    void transactionDelayed(const EndpointId& endpoint, const OrganisationId& organisation) override
    {
        this->trafficLog.transactionDelayed(endpoint, organisation);
    }
    void primaryLeaseChanged() override;
    void primaryRevoked(const PrimaryRevocation&) override;
    CommitEvidence commitEvidence(const GroupId&) override;
    bool canUsePrimary(const GroupTraffic&) const;
    void endEvacuatedTransactions();
    void expectPrimary(const GroupId&, const EndpointId&, Duration expectedIn);
    void scheduleTransactionEnd();
    OrganisationId anyOrganisation() const;

    StatementServiceSettings options;
    Timers& clock;
    EndpointConnector& connector;
    PeerTransport& peers;
    TrafficListener& listener;
    TrafficLog& trafficLog;
    LimitShares limitShares;
    SessionStateBudget stateBudget;
    RequestAdmission requestAdmission;
    ReachabilityPoll reachabilityPoll;
    PrimaryLease lease;
    PreparedStatementIds statementIds;
    Relay relay;
    std::shared_ptr<const Directory> currentDirectory;
    std::map<GroupId, std::unique_ptr<GroupTraffic>> groups;
    std::map<EndpointId, GroupId> groupByEndpoint;
    std::set<CallerSession*> sessions;
    IsolationDetector isolationDetector;
    std::optional<Timers::Handle> isolationTimer;
    std::optional<Timers::Handle> transactionEndTimer; ///< next time at which transactions at evacuated endpoints end
    bool acceptsCallers = true;
    bool isClosing = false;
    bool isEndingTransactions = false;
};

} // namespace Lavendervane
