#include "LeaseFleet.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

static constexpr Duration step = std::chrono::milliseconds(5);

const GroupId LeaseFleet::group("stock");

/// Timers of one VM on the clock of the fleet.
class LeaseFleet::VmTimers : public Timers {
public:
    explicit VmTimers(const LeaseFleet& fleet)
        : fleet(fleet)
    {
    }

    Instant now() const override { return this->fleet.clock; }
    void run() { this->runDue(this->fleet.clock); }

private:
    void handleEarliestChanged() override { }

    const LeaseFleet& fleet;
};

struct LeaseFleet::Vm : PeerTransport, PrimaryLeaseListener {
    Vm(LeaseFleet& fleet, size_t index)
        : fleet(fleet)
        , index(index)
        , timers(fleet)
    {
    }

    void send(const std::string& address, const PeerMessage& message) override
    {
        this->fleet.send(this->index, address, message);
    }
    void setListener(PeerListener*) override { }
    void primaryLeaseChanged() override { }
    void primaryRevoked(const PrimaryRevocation&) override { }
    CommitEvidence commitEvidence(const GroupId&) override { return this->fleet.evidence; }

    LeaseFleet& fleet;
    size_t index;
    VmTimers timers;
    std::unique_ptr<PrimaryLease> lease; ///< null while the VM does not run
    std::deque<Message> inbox;
    bool paused = false;
};

LeaseFleet::LeaseFleet(size_t dataCentres, size_t vmsPerDataCentre, PrimaryLeaseSettings leaseSettings, uint64_t seed)
    : vmsPerDataCentre(vmsPerDataCentre)
    , settings(leaseSettings)
    , random(seed)
{
    for (size_t vm = 0; vm < dataCentres * vmsPerDataCentre; ++vm) {
        this->vms.push_back(std::make_unique<Vm>(*this, vm));
        this->members.push_back(this->member(vm));
    }
    for (size_t vm = 0; vm < this->vms.size(); ++vm)
        this->restart(vm);
}

LeaseFleet::~LeaseFleet() = default;

FleetMember LeaseFleet::member(size_t vm) const
{
    FleetMember made;
    made.vm = VmId("vm-" + std::to_string(vm));
    made.dataCentre = DataCentre("dc-" + std::to_string(this->dataCentreOf(vm)));
    made.address = std::to_string(vm);
    return made;
}

void LeaseFleet::advance(Duration duration)
{
    const Instant end = this->clock + duration;
    while (this->clock < end) {
        this->clock += step;
        for (size_t vm = 0; vm < this->vms.size(); ++vm) {
            Vm& running = *this->vms[vm];
            if (running.paused || !running.lease)
                continue;
            // A process that wakes up may handle its messages before or after its timers.
            const bool timersFirst = this->random.below(2);
            if (timersFirst)
                running.timers.run();
            std::deque<Message> later;
            for (Message& message : std::exchange(running.inbox, {})) {
                if (message.arrival <= this->clock)
                    this->deliver(vm, message);
                else
                    later.push_back(std::move(message));
            }
            running.inbox.insert(running.inbox.begin(), later.begin(), later.end());
            if (!timersFirst)
                running.timers.run();
        }
    }
}

bool LeaseFleet::mayUse(size_t vm, const EndpointId& id, const std::string& address) const
{
    RegisteredEndpoint endpoint;
    endpoint.id = id;
    endpoint.group = group;
    endpoint.address = address;
    return this->vms[vm]->lease && this->vms[vm]->lease->mayUse(endpoint);
}

size_t LeaseFleet::countUsing(const EndpointId& endpoint) const
{
    size_t count = 0;
    for (size_t vm = 0; vm < this->vms.size(); ++vm)
        count += this->mayUse(vm, endpoint);
    return count;
}

void LeaseFleet::cutDataCentre(size_t dataCentre, bool cut)
{
    if (cut)
        this->cutDataCentres.insert(dataCentre);
    else
        this->cutDataCentres.erase(dataCentre);
}

void LeaseFleet::pause(size_t vm, bool paused) { this->vms[vm]->paused = paused; }

void LeaseFleet::kill(size_t vm)
{
    this->vms[vm]->lease.reset();
    this->vms[vm]->inbox.clear();
}

void LeaseFleet::restart(size_t vm, bool readsTable)
{
    this->kill(vm);
    Vm& started = *this->vms[vm];
    started.paused = false;
    started.lease = std::make_unique<PrimaryLease>(started.timers, started, this->members[vm].vm,
        this->members[vm].dataCentre, this->settings, this->random.next(), started);
    started.lease->setMembers(this->members);
    started.lease->setGuardedGroups({ group });
    if (!readsTable)
        return;
    std::vector<PrimaryRevocation> stored;
    for (const auto& [name, revocation] : this->table)
        stored.push_back(revocation);
    started.lease->start(stored);
}

void LeaseFleet::revoke(size_t vm, const PrimaryRevocation& revocation, std::function<void(bool complete)> callback)
{
    this->table[revocation.group] = revocation;
    this->vms[vm]->lease->revoke(revocation, this->members,
        [this, callback = std::move(callback)](bool complete, const std::optional<LogPosition>& lastAcknowledged) {
            this->lastAcknowledged = lastAcknowledged;
            callback(complete);
        });
}

void LeaseFleet::send(size_t from, const std::string& to, const PeerMessage& message)
{
    const size_t target = std::stoul(to);
    const bool isCut = this->dataCentreOf(from) != this->dataCentreOf(target)
        && (this->cutDataCentres.count(this->dataCentreOf(from))
            || this->cutDataCentres.count(this->dataCentreOf(target)));
    if (isCut || this->random.below(1000) < this->lossPerMille || !this->vms[target]->lease)
        return;
    const auto delay = Duration(
        static_cast<int64_t>(this->random.below(static_cast<uint64_t>(std::max<int64_t>(1, this->maxDelay.count())))));
    this->vms[target]->inbox.push_back({ this->clock + delay, std::to_string(from), message });
}

void LeaseFleet::deliver(size_t vm, const Message& message)
{
    PrimaryLease& lease = *this->vms[vm]->lease;
    std::visit(
        [&lease, &message](const auto& content) {
            if constexpr (requires { lease.handle(message.sender, content); })
                lease.handle(message.sender, content);
        },
        message.content);
}

} // namespace Lavendervane
