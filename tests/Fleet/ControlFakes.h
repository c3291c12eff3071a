#pragma once

#include "Fleet/FleetControl.h"
#include "Fleet/TableStore.h"
#include "Promotion/PromotionMessages.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Lavendervane {

/// Records what control tells the traffic thread. No question to other VMs is answered.
class RecordingTraffic : public TrafficPort {
public:
    void setDirectory(std::shared_ptr<const Directory> published) override
    {
        this->directory = std::move(published);
        if (this->onDirectory)
            this->onDirectory(this->directory);
    }
    void applyShare(uint32_t newShare, Instant) override { this->share = newShare; }
    void setPeers(std::vector<FleetMember>) override { }
    void announcePromotion(const AnnouncePromotion&) override { }
    void announceMember(const AnnounceMember&) override { }
    void confirmTables(const TablesConfirmed&, const std::vector<std::string>&) override { }
    void startPrimaryLease(std::vector<PrimaryRevocation>) override { this->hasStartedLease = true; }
    void pollReachability(const PollReachability&, std::function<void(ReachabilityPolled)>) override { }
    void queryStatuses(const QueryEndpointStatuses&, std::function<void(EndpointStatusesReceived)>) override { }
    void revokePrimary(const RevokePrimary&, std::function<void(PrimaryRevocationFinished)>) override { }
    void stepDown(const StepDownPrimary&, std::function<void(StepDownAnswered)>) override { }

    std::shared_ptr<const Directory> directory;
    std::function<void(std::shared_ptr<const Directory>)> onDirectory; ///< called with each directory
    std::optional<uint32_t> share;
    bool hasStartedLease = false;
};

/// Fails the test if a promotion is ordered.
class NoPromotions : public PromotionOrders {
public:
    void promote(
        const GroupId&, const EndpointId&, const VmId&, uint64_t, std::function<void(PromotionOrderStatus)>) override
    {
        BOOST_ERROR("a promotion was ordered");
    }
};

/// Table that cannot be reached: no call is answered.
class SilentTable : public TableStore {
public:
    void readRow(const std::string&, TableReplyCallback) override { }
    void readRows(const std::string&, TableReplyCallback) override { }
    void transact(const TableTransaction&, TableReplyCallback) override { }
    void onRestored(TableRestoredCallback) override { }
};

} // namespace Lavendervane
