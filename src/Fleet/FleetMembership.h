#pragma once

#include "Core/Instant.h"
#include "Core/RandomGenerator.h"
#include "Fleet/TableStore.h"
#include "Limits/ShareLedger.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Lavendervane {

struct FleetMembershipSettings {
    /// Time after its last renewal for which a VM is listed. VMs serve through a shorter outage of the table.
    uint64_t lifetimeMs = 600'000;
    uint64_t clockErrorMs = 1'000; ///< bound of the error of clock readings
    /// Upper bound of the random delay before a VM is listed for the first time, because VMs often start together.
    Duration joinJitter = std::chrono::milliseconds(1500);
    /// Time after a VM has joined in which announcements of the VMs that join at the same time arrive.
    Duration settleTime = std::chrono::seconds(2);
    /// Interval at which the list is read again, in case an announcement was lost.
    Duration refreshInterval = std::chrono::seconds(120);
    /// Bounds of the delay after a failed call, which doubles with each failure.
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::milliseconds(2000);
};

/// Result of `ReadMembers`.
struct MembersRead {
    TableReply reply;
};

/// Result of `WriteMember`.
struct MemberWritten {
    TableReply reply;
};

/// Another VM has announced itself.
struct MemberAnnounced {
    FleetMember member;
};

/// The timer set by `SetMembershipTimer` has expired.
struct MembershipTimerFired { };

using MembershipEvent = std::variant<MembersRead, MemberWritten, MemberAnnounced, MembershipTimerFired, TableRestored>;

/// Effect: read the rows of all members from the table.
struct ReadMembers { };

/// Effect: write the row of this VM.
struct WriteMember {
    TableTransaction transaction;
};

/// Effect: announce this VM to the others.
struct AnnounceMember {
    FleetMember member;
    std::vector<std::string> addresses;
};

/// Effect: use this list of VMs, which includes this VM. The list is complete unless VMs are joining.
struct PublishMembers {
    std::vector<FleetMember> members;
    /// False until the VMs that started at the same time have had time to announce themselves.
    bool settled = false;
};

/// Effect: send `MembershipTimerFired` at the given time. Replaces the timer that was set before.
struct SetMembershipTimer {
    Instant when;
};

using MembershipEffect = std::variant<ReadMembers, WriteMember, AnnounceMember, PublishMembers, SetMembershipTimer>;

/// State machine that lists this VM in the platform's table and learns of the other VMs. Each VM has a row of its own,
/// so that VMs that start together do not conflict. A VM that joins writes its row, reads all rows, and announces
/// itself to the VMs that it finds: of two VMs that join at the same time, at least one finds the other. When the table
/// has been restored from an older copy, each VM writes its row again if it is missing, and keeps the members that it
/// knows until the others have done so. Performs no I/O.
class FleetMembership {
public:
    FleetMembership(FleetMember self, FleetMembershipSettings, uint64_t seed);

    std::vector<MembershipEffect> start();
    std::vector<MembershipEffect> handle(const MembershipEvent&, Instant now);

    /// Prefix of the keys of the members' rows.
    static constexpr const char* keyPrefix = "member/";

    /// Returns the members whose rows have not expired. Unreadable rows are left out.
    static std::vector<FleetMember> parseRows(
        const std::vector<TableRow>&, uint64_t tableNowMs, const FleetMembershipSettings&);

private:
    using Effects = std::vector<MembershipEffect>;

    Effects onRead(const TableReply&, Instant now);
    Effects onWritten(const TableReply&, Instant now);
    Effects onAnnounced(const FleetMember&);
    Effects onTimer(Instant now);
    Effects onTableRestored(Instant now);
    bool isListed(const std::vector<TableRow>&, uint64_t tableNowMs);
    SetMembershipTimer nextRefresh(Instant now);
    Effects writeRow(Instant now);
    Effects retryLater(Instant now);
    PublishMembers makeList() const;

    FleetMember self;
    FleetMembershipSettings settings;
    RandomGenerator random;
    std::map<VmId, FleetMember> members;
    TableClock clock;
    uint64_t ownExpiryMs = 0; ///< expiry of the own row; 0 if it is not written or differs from `self`
    bool hasRead = false; ///< the list has been read once
    bool mustAnnounce = false; ///< the row has been written and the other VMs do not know this VM
    bool joined = false;
    bool settled = false;
    bool settling = false; ///< the timer ends the settle time
    bool callInProgress = false;
    Instant keepMembersUntil {}; ///< until then the rows of some members may be missing after a restore of the table
    Duration retryDelay {}; ///< last delay after a failed call; 0 after a successful one
};

} // namespace Lavendervane
