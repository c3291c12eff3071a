#pragma once

#include "Core/RandomGenerator.h"
#include "Membership/MembershipMessages.h"
#include "Membership/ProbeCandidates.h"
#include "Membership/UpdateQueue.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lavendervane {

struct MembershipSettings {
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration suspicionTimeout = std::chrono::seconds(2);
    /// How long a dead VM is remembered, so that outdated updates do not bring it back.
    Duration deadRetention = std::chrono::seconds(60);
    size_t updatesPerMessage = 10;
    /// Members asked to probe a target that did not answer a direct probe.
    size_t indirectProbes = 3;

    friend bool operator==(const MembershipSettings&, const MembershipSettings&) = default;
};

/// Reducer that keeps the list of VMs with a SWIM-style protocol (docs/design.md, 5.10).
///
/// Costs, with n known VMs: a tick, or a probe or answer without updates, is O(log n); merging one update is O(log n);
/// a VM list of m entries is O(m log n). Only `activeVms` reads all members.
class Membership {
public:
    Membership(MembershipSettings, Member self);

    std::vector<MembershipEffect> handle(const MembershipEvent&);

    const Member& self() const;

    /// All known VMs except this one. Dead VMs are included until `deadRetention` has passed.
    const std::map<VmId, Member>& members() const;

    /// Alive and suspect VMs, including this one unless it is leaving; sorted by name.
    std::vector<VmId> activeVms() const;

    /// Alive and suspect VMs of one data centre, including this one unless it is leaving; sorted by name.
    std::vector<VmId> activeVms(const DataCentre&) const;

    /// Returns the queued updates with the fewest sends for the next message and counts them as sent. Free entries are
    /// filled with other members in turn, so that a VM that missed updates, or started without the platform, learns of
    /// all members.
    std::vector<Member> takeUpdates();

    friend bool operator==(const Membership&, const Membership&) = default;

private:
    struct Deadline {
        Instant at;
        VmId vm;
        uint64_t incarnation = 0;

        friend bool operator==(const Deadline&, const Deadline&) = default;
    };

    void on(const MembershipTick&);
    void on(const ProbeReceived&);
    void on(const ProbeAnswered&);
    void on(const ProbeFailed&);
    void on(const VmListReceived&);
    void on(const LeaveRequested&);

    void merge(const Member& update, Instant now);
    void mergeOwn(const Member& update);
    void mergeListed(const Member& listed, Instant now);
    void mergeOwnListed(const Member& listed);
    void storeMember(const Member&, Instant now, bool queueUpdate);
    void markChanged(const VmId&);

    void extendSuspicionsAfterPause(Instant now);
    void expireSuspicions(Instant now);
    void expireDead(Instant now);
    void probeMembers(Instant now);
    void sendProbe(const VmId& target, std::optional<Member> via);
    void markSuspect(const VmId&, Instant now);
    /// Probes a few random members immediately, so that a change found on this VM does not wait for the next probe.
    void disseminate(const VmId& subject);

    std::optional<VmId> selectProbeTarget();
    std::vector<VmId> selectRandomMembers(const VmId& excluded);
    std::vector<Member> takeUpdates(size_t count, const VmId& excluded);

    MembershipSettings settings;
    Member own;
    std::map<VmId, Member> otherMembers;

    ProbeCandidates candidates;
    UpdateQueue pendingUpdates;
    RandomGenerator random { 0 };
    bool leaveRequested = false;
    std::optional<Instant> lastTick;
    Instant nextProbe;
    /// Last member used to fill free entries of a message.
    VmId fillCursor;
    /// Number of indirect probes that have not failed yet, by target.
    std::map<VmId, size_t> pendingIndirectProbes;
    /// Members that did not answer this VM's probes. They are probed again until the suspicion ends.
    std::set<VmId> localSuspicions;
    /// Suspicion timeouts, ordered by time because the timeout is constant. Outdated entries are skipped.
    std::deque<Deadline> suspicions;
    /// Retention deadlines of dead members, ordered by time because the retention is constant. Outdated entries are
    /// skipped.
    std::deque<Deadline> deadExpiries;
    /// VMs in the platform's latest list.
    std::set<VmId> listedVms;

    /// Effects of the event being handled; empty between events.
    std::vector<MembershipEffect> effects;
    /// VMs changed by the event being handled; empty between events.
    std::vector<VmId> changedVms;
};

} // namespace Lavendervane
