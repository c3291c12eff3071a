#include "Bench/RankingMeasurements.h"

#include "Bench/FleetOfVms.h"
#include "Bench/Measurement.h"
#include "Core/Rendezvous.h"

namespace Lavendervane {

namespace {

/// Measures the selection of the two owners of an endpoint among all VMs.
class RankingWorkload : public Workload {
public:
    explicit RankingWorkload(size_t size)
        : size(size)
    {
    }

    void buildState() override
    {
        for (const Member& member : makeFleet(this->size))
            this->vms.push_back(member.vm);
    }

    void handleEvent(size_t index) override
    {
        this->checksum += rankByRendezvous(this->vms, "db-" + std::to_string(index), 2).size();
    }

private:
    size_t size;
    size_t checksum = 0;
    std::vector<VmId> vms;
};

} // namespace

void addRankingMeasurements(std::vector<Measurement>& measurements)
{
    measurements.push_back({ "rendezvous: rank all VMs for one key", "VMs", { 20, 100, 500, 1000, 2500, 5000, 7600 },
        [](size_t size) { return std::make_unique<RankingWorkload>(size); } });
}

} // namespace Lavendervane
