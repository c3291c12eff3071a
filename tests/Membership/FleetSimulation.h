#pragma once

#include "Membership/Membership.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>
#include <vector>

namespace Lavendervane::Test {

/// Thrown when the simulated fleet violates an invariant.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Simulates a fleet of VMs in virtual time. Equal seeds give equal runs.
class FleetSimulation {
public:
    /// One recorded call of a reducer: an event, or a call of `takeUpdates` if `event` is empty.
    struct Step {
        std::optional<MembershipEvent> event;
        std::vector<MembershipEffect> effects;
        std::vector<Member> updates;
    };

    using Trace = std::vector<Step>;

    /// If `platformLists` is set, the platform delivers a list of VMs 10 s late; otherwise each VM knows only two
    /// others when it starts.
    FleetSimulation(uint64_t seed, size_t vms, bool platformLists);

    /// Runs with faults, then without, and checks that all VMs agree on the live VMs. Throws InvariantViolation if not.
    void runWithFaults();

    /// Returns the time from the death of one VM until no other VM counts it as active. Throws InvariantViolation
    /// after 20 s.
    Duration detectionTime();

    const Trace& trace() const { return this->recordedTrace; }
    const Membership& firstVm() const { return *this->vms.front().reducer; }
    const Member& firstSelf() const { return this->recordedSelf; }

private:
    struct Vm {
        Member self;
        std::optional<Membership> reducer;
        bool up = true;
        bool paused = false;
        std::vector<std::function<void()>> deferredActions;
    };

    struct Timer {
        Instant at;
        uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator<(const Timer& left, const Timer& right)
        {
            return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
        }
    };

    using AnswerHandler = std::function<void(const Member&, const std::vector<Member>&)>;

    void after(Duration, std::function<void()>);
    void runUntil(Instant);
    bool chance(uint64_t percent) { return this->random.below(100) < percent; }
    size_t indexOf(const VmId&) const;

    void startVm(size_t);
    void tick(size_t);
    void deliverList();
    void handleEvent(size_t, MembershipEvent);
    std::vector<Member> takeUpdates(size_t);
    void sendProbe(size_t, const SendProbe&);
    /// Delivers a message by running `action`, unless the message is lost, the link is cut or the receiver is down.
    void deliver(size_t from, size_t to, const std::function<void()>&);
    void probe(size_t from, size_t to, const std::vector<Member>& updates, const AnswerHandler&);

    void injectFault();
    void resume(size_t);
    void checkInvariants(size_t, const std::vector<MembershipEffect>&);
    std::vector<VmId> liveVms() const;
    void checkConverged() const;

    RandomGenerator random;
    Instant now;
    uint64_t sequence = 0;
    bool faultsEnabled = true;
    bool platformLists;
    std::vector<Vm> vms;
    std::set<std::pair<size_t, size_t>> cutLinks;
    std::priority_queue<Timer> timers;
    std::vector<std::map<VmId, uint64_t>> seenIncarnations;
    Member recordedSelf;
    Trace recordedTrace;
};

} // namespace Lavendervane::Test
