#pragma once

#include "Core/RandomGenerator.h"
#include "PrimaryLease/PrimaryLease.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

/// VMs in several data centres that hold leases on primaries, before a network and processes with faults.
class LeaseFleet {
public:
    LeaseFleet(size_t dataCentres, size_t vmsPerDataCentre, PrimaryLeaseSettings, uint64_t seed);
    ~LeaseFleet();

    /// Advances the clock in steps. Paused VMs neither receive messages nor run timers.
    void advance(Duration);

    Instant now() const { return this->clock; }
    size_t size() const { return this->vms.size(); }
    size_t dataCentreOf(size_t vm) const { return vm / this->vmsPerDataCentre; }

    bool mayUse(size_t vm, const EndpointId&, const std::string& address = "") const;
    size_t countUsing(const EndpointId&) const;

    /// Messages between the data centre and the others are lost.
    void cutDataCentre(size_t dataCentre, bool cut);

    void pause(size_t vm, bool paused);

    /// The VM ends without a trace and does not return until `restart`.
    void kill(size_t vm);

    /// Starts the VM anew. Its memory is lost; it reads the revocations in the platform's table if `readsTable`.
    void restart(size_t vm, bool readsTable = true);

    /// Stores a revocation in the platform's table and carries it out.
    void revoke(size_t vm, const PrimaryRevocation&, std::function<void(bool complete)>);

    CommitEvidence evidence; ///< of every VM
    std::optional<LogPosition> lastAcknowledged; ///< reported by the newest revocation that has finished

    /// Probability, in 1/1000, that a message is lost.
    uint32_t lossPerMille = 0;
    Duration maxDelay = std::chrono::milliseconds(5); ///< of a message

    static const GroupId group;

private:
    class VmTimers;
    struct Vm;

    struct Message {
        Instant arrival;
        std::string sender;
        PeerMessage content;
    };

    void send(size_t from, const std::string& to, const PeerMessage&);
    void deliver(size_t vm, const Message&);
    FleetMember member(size_t vm) const;

    size_t vmsPerDataCentre;
    PrimaryLeaseSettings settings;
    RandomGenerator random;
    Instant clock { std::chrono::seconds(1000) };
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<FleetMember> members;
    std::set<size_t> cutDataCentres;
    std::map<GroupId, PrimaryRevocation> table;
};

} // namespace Lavendervane
