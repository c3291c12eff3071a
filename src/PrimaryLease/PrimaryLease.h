#pragma once

#include "Core/RandomGenerator.h"
#include "Fleet/Directory.h"
#include "Limits/ShareLedger.h"
#include "Peers/PeerTransport.h"
#include "PrimaryLease/RevocationTable.h"
#include "Runtime/Timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

struct PrimaryLeaseSettings {
    /// Time after its confirmation for which a VM may use primaries. Zero if the endpoints give up the lead by
    /// themselves when another one is promoted; VMs then need no lease.
    Duration duration {};
    /// Interval at which a lease is renewed. A lease survives the loss of three consecutive renewals.
    Duration renewInterval = std::chrono::milliseconds(300);
    /// Interval at which a revocation is repeated to VMs that have not confirmed it.
    Duration revocationRetryInterval = std::chrono::milliseconds(100);
    /// Time limit for a majority of VMs to confirm a revocation.
    Duration revocationTimeout = std::chrono::seconds(3);
};

/// Receives changes of the permission to use primaries.
class PrimaryLeaseListener {
public:
    virtual ~PrimaryLeaseListener() = default;

    /// The lease has been obtained, renewed after it had expired, or has expired.
    virtual void primaryLeaseChanged() = 0;

    /// The endpoint must not be used as the primary any more.
    virtual void primaryRevoked(const PrimaryRevocation&) = 0;

    /// Returns what this VM knows of acknowledged commits. Called after `primaryRevoked`, when it acknowledges no more.
    virtual CommitEvidence commitEvidence(const GroupId&) = 0;
};

/// Permission of this VM to use the primaries of all groups, limited in time. It guarantees that no other endpoint is
/// promoted while this VM uses a primary, even if the old primary does not notice the promotion and this VM is cut off.
///
/// A lease is based on a confirmation by a majority of the VMs that they know of no other revocations than the ones
/// that are reported with it. One VM of each data centre, the keeper, asks the majority; the others ask the keeper for
/// the age of its confirmation. Ages are counted from the time at which a question was sent, so a delayed answer cannot
/// extend a lease. A promotion first obtains the confirmation of its revocation by a majority and then waits until all
/// VMs have confirmed it or the leases that were granted before have expired.
class PrimaryLease {
public:
    PrimaryLease(
        Timers&, PeerTransport&, VmId self, DataCentre, PrimaryLeaseSettings, uint64_t seed, PrimaryLeaseListener&);
    ~PrimaryLease();

    PrimaryLease(const PrimaryLease&) = delete;
    PrimaryLease& operator=(const PrimaryLease&) = delete;

    /// Starts to obtain a lease, if VMs need one. `revocations` are those stored in the platform's table after this VM
    /// has been listed as a member of the fleet.
    void start(const std::vector<PrimaryRevocation>& revocations);

    void setMembers(const std::vector<FleetMember>&);

    /// Groups whose primaries may be revoked although VMs need no lease. They are not used before `start`.
    void setGuardedGroups(std::set<GroupId> groups) { this->guardedGroups = std::move(groups); }

    /// Returns true if this VM may use the endpoint as the primary of its group now.
    bool mayUse(const RegisteredEndpoint&) const;

    /// Called with true once no VM can hold permission to use the revoked endpoint any more, or with false if no
    /// majority has confirmed the revocation in time; if VMs need no lease, with false if any VM has not.
    /// `lastAcknowledged` is the position behind which nothing was acknowledged, if all VMs together know it.
    using RevocationCallback = std::function<void(bool complete, const std::optional<LogPosition>& lastAcknowledged)>;

    /// Revokes the endpoint at all `members`.
    void revoke(const PrimaryRevocation&, const std::vector<FleetMember>& members, RevocationCallback);

    void handle(const std::string& sender, const LeaseRequest&);
    void handle(const std::string& sender, const LeaseReply&);
    void handle(const std::string& sender, const ConfirmationRequest&);
    void handle(const std::string& sender, const ConfirmationReply&);
    void handle(const std::string& sender, const RevocationRequest&);
    void handle(const std::string& sender, const RevocationReply&);

private:
    /// Question to a majority of the VMs.
    struct Poll {
        Instant sentAt;
        std::set<std::string> asked; ///< addresses that have not answered
        uint32_t confirmations = 1; ///< including this VM
        uint32_t fleetSize = 1; ///< largest fleet size known to any VM that answered
    };

    /// Question to the keeper.
    struct Question {
        Instant sentAt;
        std::string keeper;
    };

    /// Revocation by this VM that is not complete.
    struct Revoking {
        PrimaryRevocation revocation;
        std::set<std::string> unconfirmed; ///< addresses
        uint32_t confirmations = 1; ///< including this VM
        uint32_t fleetSize = 1; ///< largest fleet size known to any VM that confirmed
        bool hasMajority = false;
        Instant startedAt;
        std::vector<CommitEvidence> commits; ///< of the VMs that have confirmed
        RevocationCallback callback;
        Instant giveUpAt;
        std::optional<Timers::Handle> retryTimer;
        std::optional<Timers::Handle> expiryTimer;
    };

    bool isEnabled() const { return this->settings.duration > Duration {}; }
    bool hasLease() const;
    void renew();
    void askKeeper();
    void askMajority();
    void adopt(const std::vector<PrimaryRevocation>&);
    void confirm(Instant confirmedAt);
    void scheduleExpiry();
    void reportChange();
    std::vector<PrimaryRevocation> recentRevocations() const;
    void sendRevocations(uint64_t requestId, Revoking&);
    void checkRevocation(uint64_t requestId, Revoking&);
    void finishRevocation(uint64_t requestId, bool complete);

    Timers& timers;
    PeerTransport& transport;
    VmId self;
    DataCentre dataCentre;
    PrimaryLeaseSettings settings;
    RandomGenerator random;
    PrimaryLeaseListener& listener;
    RevocationTable revocations;
    std::set<GroupId> guardedGroups;
    std::vector<std::string> peerAddresses; ///< other VMs
    std::vector<std::string> keepers; ///< addresses in order of preference; empty for this VM
    size_t keeperIndex = 0;
    uint32_t renewalsWithKeeper = 0; ///< renewals since the current keeper was chosen
    bool started = false;
    bool wasValid = false; ///< state that was last reported to the listener
    bool askAll = false; ///< the last poll did not reach a majority
    std::optional<Instant> confirmedAt;
    Instant keeperUntil {}; ///< until then other VMs rely on this VM as their keeper
    uint64_t lastRequestId = 0;
    std::map<uint64_t, Poll> polls;
    std::map<uint64_t, Question> questions;
    std::map<uint64_t, Revoking> revoking;
    std::optional<Timers::Handle> renewTimer;
    std::optional<Timers::Handle> expiryTimer;
};

} // namespace Lavendervane
