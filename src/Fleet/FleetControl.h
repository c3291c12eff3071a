#pragma once

#include "Core/RandomGenerator.h"
#include "Fleet/ConfirmationPeers.h"
#include "Fleet/Directory.h"
#include "Fleet/DirectoryFeed.h"
#include "Fleet/DrainClock.h"
#include "Fleet/EvacuationTracker.h"
#include "Fleet/FeedMonitor.h"
#include "Fleet/FleetMembership.h"
#include "Fleet/RegistryFilter.h"
#include "Fleet/TableStore.h"
#include "Limits/ShareLeaseManager.h"
#include "Promotion/PromotionCoordinator.h"
#include "Promotion/ReplicaRecorder.h"
#include "Runtime/StructuredLog.h"
#include "Runtime/Timers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

class SessionMetrics;

struct FleetControlSettings {
    FleetMember self;
    std::string runId; ///< identifies this run of the process
    uint64_t seed = 0; ///< seed of the random delays in renewing the share
    FleetMembershipSettings membership;
    ShareLeaseSettings shares;
    PromotionCoordinatorSettings promotion;
    ReplicaRecorderSettings replicaRecorder;
    FeedMonitorSettings feedMonitor;
    /// Time after which an endpoint with a lapsed registration is removed. Registrations that lapse while the store is
    /// unavailable are renewed within two seconds of its return.
    Duration lapseGrace = std::chrono::milliseconds(2500);
    /// Time for which an endpoint gets new work after it has begun to drain. A promotion takes less than 3 s.
    Duration drainLimit = std::chrono::seconds(5);
    EvacuationLimits evacuation = EvacuationLimits::makeFor(std::chrono::seconds(5));
    std::map<DataCentre, std::string> regions; ///< region of each data centre
};

/// Interface of FleetControl to the traffic thread. Calls return immediately; the work is done on the traffic thread.
class TrafficPort {
public:
    virtual ~TrafficPort() = default;

    virtual void setDirectory(std::shared_ptr<const Directory>) = 0;
    virtual void applyShare(uint32_t share, Instant expiry) = 0;

    virtual void setPeers(std::vector<FleetMember>) = 0;
    virtual void announcePromotion(const AnnouncePromotion&) = 0;

    /// Announces this VM to others.
    virtual void announceMember(const AnnounceMember&) = 0;

    /// Tells other VMs what this VM knows of the tables.
    virtual void confirmTables(const TablesConfirmed&, const std::vector<std::string>& addresses) = 0;

    /// Starts to obtain a lease on primaries. Called once, after the VM has joined the fleet.
    virtual void startPrimaryLease(std::vector<PrimaryRevocation> stored) = 0;

    // The callbacks of these functions are called on the control thread.
    virtual void pollReachability(const PollReachability&, std::function<void(ReachabilityPolled)>) = 0;
    virtual void queryStatuses(const QueryEndpointStatuses&, std::function<void(EndpointStatusesReceived)>) = 0;
    virtual void revokePrimary(const RevokePrimary&, std::function<void(PrimaryRevocationFinished)>) = 0;
    virtual void stepDown(const StepDownPrimary&, std::function<void(StepDownAnswered)>) = 0;
};

/// Control plane of one VM. Merges configuration and registry into directories for the traffic thread, renews the VM's
/// share of the limits and runs the promotion coordinator. Used on the control thread only.
class FleetControl : public DirectoryListener {
public:
    FleetControl(
        FleetControlSettings, Timers&, TableStore&, PromotionOrders&, TrafficPort&, StructuredLog&, SessionMetrics&);
    ~FleetControl() override;

    FleetControl(const FleetControl&) = delete;
    FleetControl& operator=(const FleetControl&) = delete;

    /// Starts to join the fleet.
    void start();

    /// Starts to follow the feed and to monitor it. The feed must outlive this object.
    void follow(DirectoryFeed&);

    void onConfigurationRead(SessionConfiguration) override;
    void onEvacuationsRead(const EvacuationsRead&) override;
    bool onRegistryRead(const RegistryRead&) override;
    void onSourceAvailabilityChanged(const std::string& reason) override;
    void onFeedStep(const FeedStep&) override;
    void onTableAnswered(const TableAnswered&) override;

    /// True once the VM has a configuration, a registry and a share of the limits, so that it can serve callers.
    bool ready() const { return this->configuration && this->hasRegistry && this->hasShares; }

    /// Another VM has joined the fleet.
    void onMemberAnnounced(const FleetMember&);

    /// Another VM has told what it knows of the tables.
    void onTablesConfirmed(const TablesConfirmed&);

    /// The traffic thread has learnt of a revocation.
    void onPrimaryRevoked(const PrimaryRevocation&);

    /// Passes an event to the promotion coordinator and executes the resulting effects.
    void handlePromotionEvent(const PromotionEvent&);

    /// Returns the share of the limits, then calls `done`.
    void stop(std::function<void()> done);

private:
    /// Until when a run of an endpoint is slow.
    struct ColdTime {
        uint64_t startedAt = 0; ///< tells the runs of an endpoint apart
        Instant until {};
    };

    void handleTableRestore(uint64_t generation);
    void publishDirectory();
    void handleEvacuationChanges(const EvacuationChanges&);
    void reportLostGroups(const std::vector<RegisteredEndpoint>&);
    void updateRegistry(std::vector<RegisteredEndpoint>, const RegistryRead&);
    void updateColdTimes(const std::vector<RegistryEntry>&);
    void logDraining(const RegisteredEndpoint&);

    /// Logs the organisations whose limits differ between two versions of the configuration.
    void logLimitChanges(const SessionConfiguration& before, const SessionConfiguration& after);
    void dropLapsedEndpoints();
    void handleMembershipEvent(const MembershipEvent&);
    void executeMembershipEffect(const MembershipEffect&);
    void handleMemberList(const PublishMembers&);
    std::vector<FleetMember> mergeKnownMembers(std::vector<FleetMember>) const;
    void handleFleetChange(const PublishMembers&);
    void startShareLease();
    void updateShareHolding(const std::vector<FleetMember>&);
    bool usesRevocations() const;
    void readStoredRevocationsIfNeeded();
    void readStoredRevocations();
    void noteRevocation(const PrimaryRevocation&);
    void recordRevocationsAgain();
    void scheduleRevocationRecords(Duration delay);
    void executeShareEffects(std::vector<ShareEffect>);
    void executePromotionEffect(PromotionEffect&);
    void recordLeadership(const GroupId&, const LeadershipRecord&, const TableRow& current, uint64_t generation);
    void readRowForLeadership(const GroupId&, const LeadershipRecord&);
    void handleRecorderEvent(const RecorderEvent&);
    void executeRecorderEffect(const RecorderEffect&);
    void handleFeedMonitorEvent(const FeedMonitorEvent&);
    void executeFeedMonitorEffect(const FeedMonitorEffect&);
    void onShareTimer();
    void setShareTimer(Instant when);

    FleetControlSettings settings;
    Timers& timers;
    TableStore& table;
    PromotionOrders& orders;
    TrafficPort& traffic;
    StructuredLog& log;
    SessionMetrics& metrics;
    FleetMembership membership;
    /// Present while this VM holds a share of the limits, or is to hold one.
    std::optional<ShareLeaseManager> shareLeaseManager;
    std::set<VmId> shareHolders; ///< VMs that are to hold shares
    std::optional<PublishMembers> memberList; ///< newest list of VMs
    std::optional<Timers::Handle> membershipTimer;
    std::optional<Timers::Handle> memberListTimer; ///< ends the wait for further changes of the list
    PromotionCoordinator promotionCoordinator;
    std::map<GroupId, LeadershipRecord> leaderships; ///< newest promotion of each group that this VM has ordered
    std::set<GroupId> blockedGroups; ///< groups whose promotion waits for a replica
    ReplicaRecorder replicaRecorder;
    std::optional<Timers::Handle> recorderTimer;
    std::map<GroupId, PrimaryRevocation> revocations; ///< newest known revocation of each group
    std::optional<Timers::Handle> revocationTimer;
    RandomGenerator random;
    std::string digestKey;
    std::shared_ptr<const SessionConfiguration> configuration;
    RegistryFilter registryFilter;
    std::map<EndpointId, RegisteredEndpoint> registry;
    DrainClock drainClock;
    std::map<EndpointId, ColdTime> coldTimes;
    EvacuationTracker evacuations;
    std::vector<GroupId> lostGroups; ///< groups that evacuations have left without an endpoint
    std::optional<Timers::Handle> evacuationTimer;
    std::map<EndpointId, Instant> lapseTimes;
    DirectoryFeed* feed = nullptr; ///< null until `follow`
    FeedMonitor feedMonitor;
    ConfirmationPeers confirmationPeers;
    std::optional<Timers::Handle> feedMonitorTimer;
    bool hasRegistry = false;
    bool hasShares = false;
    bool hasJoinedFleet = false; ///< true once the ledger lists this VM
    bool readsStoredRevocations = false; ///< the stored revocations have been read, or are being read
    FleetPosition position;
    uint64_t directoryNumber = 0;
    std::optional<Timers::Handle> shareTimer;
    std::optional<Timers::Handle> lapseTimer;
    std::function<void()> onStopped;
    std::shared_ptr<int> lifetime; ///< callbacks hold a weak reference and do nothing after destruction
};

} // namespace Lavendervane
