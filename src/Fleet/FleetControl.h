#pragma once

#include "Fleet/Directory.h"
#include "Fleet/DirectoryFeed.h"
#include "Fleet/TableStore.h"
#include "Limits/ShareLeaseManager.h"
#include "Promotion/PromotionCoordinator.h"
#include "Runtime/StructuredLog.h"
#include "Runtime/Timers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

class SessionMetrics;

struct FleetControlSettings {
    FleetMember self;
    std::string runId; ///< differs in each run of the process
    uint64_t seed = 0;
    ShareLeaseSettings shares;
    PromotionCoordinatorSettings promotion;
    /// An endpoint whose registration has lapsed counts as gone only after this time, because registrations that lapse
    /// while the store is away are back within two seconds of its return.
    Duration lapseGrace = std::chrono::milliseconds(2500);
};

/// The traffic threads, as control sees them. Calls return at once; the work is done on the traffic thread.
class TrafficPort {
public:
    virtual ~TrafficPort() = default;

    virtual void setDirectory(std::shared_ptr<const Directory>) = 0;
    virtual void applyShare(uint32_t share, Instant expiry) = 0;

    virtual void setPeers(std::vector<FleetMember>) = 0;
    virtual void announcePromotion(const AnnouncePromotion&) = 0;

    /// Calls back on the control thread.
    virtual void pollReachability(const PollReachability&, std::function<void(ReachabilityPolled)>) = 0;
    virtual void queryStatuses(const QueryEndpointStatuses&, std::function<void(EndpointStatusesReceived)>) = 0;
    virtual void stepDown(const StepDownPrimary&, std::function<void(StepDownAnswered)>) = 0;
};

/// Control of one VM: configuration, registry, shares of limits. Runs on the control thread.
class FleetControl : public DirectoryListener {
public:
    FleetControl(
        FleetControlSettings, Timers&, TableStore&, PromotionOrders&, TrafficPort&, StructuredLog&, SessionMetrics&);
    ~FleetControl() override;

    FleetControl(const FleetControl&) = delete;
    FleetControl& operator=(const FleetControl&) = delete;

    void start();

    void onConfigurationRead(SessionConfiguration) override;
    void onRegistryRead(std::vector<RegisteredEndpoint>) override;
    void onSourceAvailabilityChanged(const std::string& reason) override;

    /// True once callers can be served: a configuration, a registry and shares are there.
    bool ready() const { return this->configuration && this->hasRegistry && this->hasShares; }

    /// News from traffic.
    void handlePromotionEvent(const PromotionEvent&);

    /// Gives shares back, then calls `done`.
    void stop(std::function<void()> done);

private:
    void publishDirectory();
    void dropLapsedEndpoints();
    void handleFleetChange(const std::vector<FleetMember>&);
    void run(std::vector<ShareEffect>);
    void execute(PromotionEffect&);
    void onShareTimer();
    void setShareTimer(Instant when);

    FleetControlSettings settings;
    Timers& timers;
    TableStore& table;
    PromotionOrders& orders;
    TrafficPort& traffic;
    StructuredLog& log;
    SessionMetrics& metrics;
    ShareLeaseManager keeper;
    PromotionCoordinator promotionCoordinator;
    std::string digestKey;
    std::shared_ptr<const SessionConfiguration> configuration;
    std::map<EndpointId, RegisteredEndpoint> registry;
    std::map<EndpointId, Instant> lapseTimes;
    bool hasRegistry = false;
    bool hasShares = false;
    FleetPosition position;
    uint64_t directoryNumber = 0;
    std::optional<Timers::Handle> shareTimer;
    std::optional<Timers::Handle> lapseTimer;
    std::function<void()> onStopped;
    std::shared_ptr<int> lifetime; ///< callbacks of calls under way end with this object
};

} // namespace Lavendervane
