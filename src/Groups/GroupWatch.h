#pragma once

#include "Core/RandomGenerator.h"
#include "Groups/GroupSettings.h"
#include "Groups/MemberWatch.h"
#include "Groups/Promotion.h"

#include <optional>
#include <vector>

namespace Lavendervane {

/// Data outside a GroupWatch that it reads and changes while it handles an event.
struct WatchContext {
    const GroupSettings& settings;
    const VmId& self;
    RandomGenerator& random;
    Instant now;
    GroupView& view;
    std::vector<GroupEffect>& effects;
    bool viewChanged = false; ///< true if the event changed the view
    bool announce = false; ///< true if the changed view must be sent to peers at once
};

/// Watches one database group: polls its members, starts a promotion when the group needs a new primary and makes the
/// other members follow it. Each event costs O(members of the group).
class GroupWatch {
public:
    GroupWatch(std::vector<GroupMember>, uint32_t rank, Instant now);

    void setRank(uint32_t newRank) { this->rank = newRank; }

    /// Replaces the members. A member keeps its state if its name and address are unchanged.
    void updateMembers(std::vector<GroupMember>, Instant now);

    void on(const StatusReceived&, WatchContext&);
    void on(const EndpointFailed&, WatchContext&);
    void on(const FenceAnswered&, WatchContext&);
    void on(const PromoteAnswered&, WatchContext&);
    void on(const FollowAnswered&, WatchContext&);

    /// Resets the timers that depend on the view. To be called after the view was changed outside this class.
    void onViewChanged(const WatchContext&);

    /// Sends due queries and commands, starts or finishes a promotion and reports changes. To be called after each
    /// event and at each tick.
    void advance(WatchContext&);

    const std::vector<MemberWatch>& members() const { return this->watches; }
    const MemberWatch* find(const EndpointId&) const;
    /// False if the majority was last reported as unreachable.
    bool isMajorityReachable() const { return this->lastPublished.majority; }
    /// False if the endpoint was last reported as unreachable.
    bool isReachable(const EndpointId&) const;

    friend bool operator==(const GroupWatch&, const GroupWatch&) = default;

private:
    enum class PromotionReason : uint8_t {
        PrimaryUnreachable, ///< by this VM, or by a majority of the members
        PrimaryLeaving, ///< the configuration declares the primary as leaving
        NoPrimary, ///< no member is known to be primary in the highest term
    };

    /// A promotion that starts at `startAt` unless the reason disappears or the highest term changes before.
    struct PendingPromotion {
        Term highest;
        Instant startAt;

        friend bool operator==(const PendingPromotion&, const PendingPromotion&) = default;
    };

    /// Reachability of the members and of a majority as last reported in GroupChanged.
    struct PublishedReachability {
        std::vector<bool> unreachable;
        bool majority = true;

        friend bool operator==(const PublishedReachability&, const PublishedReachability&) = default;
    };

    MemberWatch* find(const EndpointId&);
    /// Number of members that form a majority.
    size_t majority() const { return majoritySize(this->watches.size()); }
    size_t countAnswering(Instant now) const;
    /// Highest term of the view and of the members that answer.
    Term highestTerm(const WatchContext&) const;
    std::optional<EndpointId> findEndpointByAddress(const std::string& address) const;
    void raiseHighestCounter(const Term&);
    /// Replaces the view if the given one has a higher term, or adds the missing primary of the same term.
    void adoptView(const GroupView&, WatchContext&, bool announce);

    std::optional<PromotionReason> reasonToPromote(const WatchContext&, const Term& highest);
    std::optional<PromotionReason> reasonToReplacePrimary(const MemberWatch& primary, const WatchContext&);
    bool replicasLostPrimary(const MemberWatch& primary, const WatchContext&) const;
    std::optional<PromotionReason> reasonWhenPrimaryUnknown(const WatchContext&, const Term& highest) const;
    bool replicasHearPrimary(const WatchContext&, const Term&) const;
    bool canReplaceLeavingPrimary(const MemberWatch& primary, Instant now) const;

    void pollMembers(WatchContext&);
    void finishPromotion(WatchContext&);
    void startPromotionIfNeeded(WatchContext&);
    void startPromotion(WatchContext&, PromotionReason, const Term& highest);
    void sendFollowCommands(WatchContext&);
    void sendFollowCommand(MemberWatch&, const MemberWatch& primary, WatchContext&);
    void publishChanges(WatchContext&);

    std::vector<MemberWatch> watches; ///< one per member, in the order of the declaration
    uint32_t rank = 0; ///< rank of this VM among the watchers of the group
    uint64_t highestCounter = 0; ///< highest counter of all terms that were seen or used
    Instant viewChangedAt; ///< when the view last changed, or when the watch started
    /// When the primary of the highest term last answered; `viewChangedAt` until its first answer.
    Instant primaryLastSeen;
    Instant majorityLastSeen; ///< when a majority of the members last answered, or when the watch started
    std::optional<PendingPromotion> pendingPromotion;
    std::optional<Promotion> promotion;
    uint32_t failedAttempts = 0; ///< consecutive failed promotions
    Instant backoffUntil; ///< no promotion starts before
    PublishedReachability lastPublished;
};

} // namespace Lavendervane
