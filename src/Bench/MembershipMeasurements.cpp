#include "Bench/MembershipMeasurements.h"

#include "Bench/FleetOfVms.h"
#include "Bench/Measurement.h"
#include "Membership/Membership.h"

#include <optional>
#include <utility>

namespace Lavendervane {

using namespace std::chrono_literals;

namespace {

class MembershipWorkload : public Workload {
public:
    explicit MembershipWorkload(size_t size)
        : fleet(makeFleet(size))
    {
    }

    void buildState() override
    {
        this->membership.emplace(MembershipSettings {}, this->fleet.front());
        this->membership->handle(VmListReceived { this->now, { this->fleet.begin() + 1, this->fleet.end() } });
    }

protected:
    const Member& otherMember(size_t index) const { return this->fleet[1 + index % (this->fleet.size() - 1)]; }

    std::vector<Member> fleet;
    std::optional<Membership> membership;
    Instant now { 1h };
};

/// Measures one tick of 100 ms; every fifth tick sends a probe with 10 updates.
class TickWorkload : public MembershipWorkload {
public:
    using MembershipWorkload::MembershipWorkload;

    void handleEvent(size_t index) override
    {
        this->now += 100ms;
        this->membership->handle(MembershipTick { this->now, index });
    }
};

/// Measures the handling of a probe with 10 updates and the selection of the updates for its response.
class ProbeWorkload : public MembershipWorkload {
public:
    ProbeWorkload(size_t size, bool hasNewIncarnations)
        : MembershipWorkload(size)
        , hasNewIncarnations(hasNewIncarnations)
    {
        for (size_t event = 0; event < events; ++event) {
            ProbeReceived probe { this->now, this->otherMember(event), {} };
            for (size_t update = 0; update < updates; ++update)
                probe.updates.push_back(this->otherMember(event * updates + update));
            this->probes.emplace_back(std::move(probe));
        }
    }

    void handleEvent(size_t index) override
    {
        MembershipEvent& event = this->probes[index % events];
        if (this->hasNewIncarnations) {
            for (Member& update : std::get<ProbeReceived>(event).updates)
                update.incarnation = 2 + index;
        }
        this->membership->handle(event);
        this->membership->takeUpdates();
    }

private:
    static constexpr size_t events = 64;
    static constexpr size_t updates = 10;

    bool hasNewIncarnations;
    std::vector<MembershipEvent> probes;
};

class ActiveVmsWorkload : public MembershipWorkload {
public:
    using MembershipWorkload::MembershipWorkload;

    void handleEvent(size_t) override { this->membership->activeVms(this->fleet.front().dataCentre); }
};

/// Measures the handling of a VM list from the platform that contains no change.
class VmListWorkload : public MembershipWorkload {
public:
    explicit VmListWorkload(size_t size)
        : MembershipWorkload(size)
        , list(VmListReceived { this->now, this->fleet })
    {
    }

    void handleEvent(size_t) override { this->membership->handle(this->list); }

private:
    MembershipEvent list;
};

} // namespace

template <typename Kind, typename... Arguments>
static Measurement makeMeasurement(const std::string& name, Arguments... arguments)
{
    return { name, "VMs", { 20, 100, 500, 1000, 2500, 5000, 7600 },
        [arguments...](size_t size) { return std::make_unique<Kind>(size, arguments...); } };
}

void addMembershipMeasurements(std::vector<Measurement>& measurements)
{
    measurements.push_back(makeMeasurement<TickWorkload>("membership: tick"));
    measurements.push_back(makeMeasurement<ProbeWorkload>("membership: probe, 10 known updates, answer", false));
    measurements.push_back(makeMeasurement<ProbeWorkload>("membership: probe, 10 news, answer", true));
    measurements.push_back(makeMeasurement<ActiveVmsWorkload>("membership: active VMs of one data centre"));
    measurements.push_back(makeMeasurement<VmListWorkload>("membership: list of all VMs"));
}

} // namespace Lavendervane
