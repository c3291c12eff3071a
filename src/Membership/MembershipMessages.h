#pragma once

#include "Core/Instant.h"
#include "Membership/Member.h"

#include <optional>
#include <variant>
#include <vector>

namespace Lavendervane {

/// Periodic event, every 100 ms.
struct MembershipTick {
    Instant now;
    uint64_t seed = 0;
};

/// A probe of another VM arrived. The answer carries `Membership::takeUpdates()`.
struct ProbeReceived {
    Instant now;
    Member from;
    std::vector<Member> updates;
};

/// A direct or indirect probe was answered by `from`.
struct ProbeAnswered {
    Instant now;
    Member from;
    std::vector<Member> updates;
};

/// A probe, direct or through the VM `via`, was not answered in time.
struct ProbeFailed {
    Instant now;
    VmId target;
    std::optional<VmId> via;
};

/// The platform's list of VMs was received. It adds VMs and marks VMs as leaving, but never removes any.
struct VmListReceived {
    Instant now;
    std::vector<Member> vms;
};

/// This VM is about to stop and has to announce that it leaves.
struct LeaveRequested {
    Instant now;
};

using MembershipEvent
    = std::variant<MembershipTick, ProbeReceived, ProbeAnswered, ProbeFailed, VmListReceived, LeaveRequested>;

/// Sends a probe to `target`, through `via` if given. The probe fails after 300 ms without an answer.
struct SendProbe {
    Member target;
    std::optional<Member> via;
    std::vector<Member> updates;

    friend bool operator==(const SendProbe&, const SendProbe&) = default;
};

/// The set of known VMs, or the state of some of them, changed.
struct MembersChanged {
    std::vector<VmId> vms; ///< VMs that joined, left, restarted or changed state; sorted, without duplicates

    friend bool operator==(const MembersChanged&, const MembersChanged&) = default;
};

using MembershipEffect = std::variant<SendProbe, MembersChanged>;

} // namespace Lavendervane
