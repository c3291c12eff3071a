#include "Groups/GroupWatch.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

GroupWatch::GroupWatch(std::vector<GroupMember> members, uint32_t rank, Instant now)
    : rank(rank)
    , viewChangedAt(now)
    , primaryLastSeen(now)
    , majorityLastSeen(now)
    , backoffUntil(now)
{
    for (GroupMember& member : members)
        this->watches.emplace_back(std::move(member), now);
    this->lastPublished.unreachable.resize(this->watches.size());
}

void GroupWatch::updateMembers(std::vector<GroupMember> members, Instant now)
{
    std::vector<MemberWatch> updatedWatches;
    bool sameMembers = members.size() == this->watches.size();
    for (GroupMember& member : members) {
        const MemberWatch* old = this->find(member.endpoint);
        if (old && old->member().address == member.address) {
            updatedWatches.push_back(*old);
            updatedWatches.back().setMember(std::move(member));
        } else {
            updatedWatches.emplace_back(std::move(member), now);
            sameMembers = false;
        }
    }
    this->watches = std::move(updatedWatches);
    this->lastPublished.unreachable.assign(this->watches.size(), false);
    if (!sameMembers)
        this->promotion.reset();
}

const MemberWatch* GroupWatch::find(const EndpointId& endpoint) const
{
    const auto found = std::find_if(this->watches.begin(), this->watches.end(),
        [&endpoint](const MemberWatch& watch) { return watch.member().endpoint == endpoint; });
    return found == this->watches.end() ? nullptr : &*found;
}

MemberWatch* GroupWatch::find(const EndpointId& endpoint)
{
    return const_cast<MemberWatch*>(std::as_const(*this).find(endpoint));
}

bool GroupWatch::isReachable(const EndpointId& endpoint) const
{
    for (size_t index = 0; index < this->watches.size(); ++index) {
        if (this->watches[index].member().endpoint == endpoint)
            return !this->lastPublished.unreachable[index];
    }
    return true;
}

void GroupWatch::on(const StatusReceived& event, WatchContext& context)
{
    MemberWatch* watch = this->find(event.endpoint);
    if (!watch || !watch->acceptStatus(event.now, event.status))
        return;
    this->raiseHighestCounter(event.status.promised);
    this->raiseHighestCounter(event.status.term);
    const EndpointStatus& status = event.status;
    std::optional<EndpointId> primary;
    if (status.primary)
        primary = event.endpoint;
    else if (status.promised == status.term)
        // If the endpoint has promised a higher term, the address may be that of the higher term's primary.
        primary = this->findEndpointByAddress(status.primaryAddress);
    // A replica enters a term only when its primary has been promoted.
    this->adoptView({ context.view.group, status.term, std::move(primary) }, context, this->rank == 0);
}

void GroupWatch::on(const EndpointFailed& event, WatchContext& context)
{
    MemberWatch* watch = this->find(event.endpoint);
    if (!watch)
        return;
    // The event does not state which command failed, so every pending command counts as failed.
    watch->onFailure(event.now);
    watch->onFollowFinished(event.now);
    if (this->promotion)
        this->promotion->onEndpointFailed(event.endpoint, event.now, context.effects);
}

void GroupWatch::on(const FenceAnswered& event, WatchContext& context)
{
    this->raiseHighestCounter(event.promised);
    if (this->promotion)
        this->promotion->on(event, context.effects);
}

void GroupWatch::on(const PromoteAnswered& event, WatchContext& context)
{
    if (this->promotion)
        this->promotion->on(event);
    // The endpoint is primary even if the promotion was abandoned because this answer was late.
    if (event.accepted && this->find(event.endpoint))
        this->adoptView({ context.view.group, event.term, event.endpoint }, context, true);
}

void GroupWatch::on(const FollowAnswered& event, WatchContext& context)
{
    if (MemberWatch* watch = this->find(event.endpoint); watch && event.term == context.view.term)
        watch->onFollowFinished(event.now);
}

void GroupWatch::raiseHighestCounter(const Term& term)
{
    this->highestCounter = std::max(this->highestCounter, term.counter);
}

std::optional<EndpointId> GroupWatch::findEndpointByAddress(const std::string& address) const
{
    for (const MemberWatch& watch : this->watches) {
        if (!address.empty() && watch.member().address == address)
            return watch.member().endpoint;
    }
    return std::nullopt;
}

void GroupWatch::adoptView(const GroupView& learnt, WatchContext& context, bool announce)
{
    GroupView& view = context.view;
    const bool addsPrimary = learnt.term == view.term && learnt.primary && !view.primary;
    if (learnt.term <= view.term && !addsPrimary)
        return;
    view = learnt;
    context.announce = context.announce || announce;
    this->onViewChanged(context);
    context.viewChanged = true;
}

void GroupWatch::onViewChanged(const WatchContext& context)
{
    this->raiseHighestCounter(context.view.term);
    this->viewChangedAt = context.now;
    this->primaryLastSeen = context.now;
    for (MemberWatch& watch : this->watches)
        watch.pollSoon(context.now);
}

size_t GroupWatch::countAnswering(Instant now) const
{
    return static_cast<size_t>(std::count_if(this->watches.begin(), this->watches.end(),
        [now](const MemberWatch& watch) { return watch.isAnswering(now); }));
}

Term GroupWatch::highestTerm(const WatchContext& context) const
{
    Term highest = context.view.term;
    for (const MemberWatch& watch : this->watches) {
        if (watch.isAnswering(context.now))
            highest = std::max({ highest, watch.status()->promised, watch.status()->term });
    }
    return highest;
}

void GroupWatch::advance(WatchContext& context)
{
    if (this->promotion)
        this->promotion->tick(context.now, context.effects);
    this->finishPromotion(context);
    this->startPromotionIfNeeded(context);
    this->sendFollowCommands(context);
    this->pollMembers(context);
    this->publishChanges(context);
}

void GroupWatch::pollMembers(WatchContext& context)
{
    for (MemberWatch& watch : this->watches) {
        if (auto query = watch.takeDueQuery(context.now, context.settings.pollInterval))
            context.effects.emplace_back(std::move(*query));
    }
}

std::optional<GroupWatch::PromotionReason> GroupWatch::reasonToPromote(const WatchContext& context, const Term& highest)
{
    const GroupView& view = context.view;
    const MemberWatch* primary = view.term == highest && view.primary ? this->find(*view.primary) : nullptr;
    const bool answering = primary && primary->isAnswering(context.now);
    if (answering && primary->status()->primary && primary->status()->term == highest) {
        this->primaryLastSeen = context.now;
        return this->reasonToReplacePrimary(*primary, context);
    }
    if (this->countAnswering(context.now) < this->majority())
        return std::nullopt;
    if (!primary)
        return this->reasonWhenPrimaryUnknown(context, highest);
    if (answering)
        return primary->hasAnsweredSince(this->viewChangedAt) ? std::optional(PromotionReason::NoPrimary)
                                                              : std::nullopt;
    if (primary->failures() < context.settings.failuresUntilSuspected)
        return std::nullopt;
    const bool unreachableTooLong = context.now - this->primaryLastSeen >= context.settings.unreachableLimit;
    if (unreachableTooLong || !this->replicasHearPrimary(context, highest))
        return PromotionReason::PrimaryUnreachable;
    return std::nullopt;
}

std::optional<GroupWatch::PromotionReason> GroupWatch::reasonToReplacePrimary(
    const MemberWatch& primary, const WatchContext& context)
{
    if (primary.member().leaving && this->canReplaceLeavingPrimary(primary, context.now))
        return PromotionReason::PrimaryLeaving;
    if (this->replicasLostPrimary(primary, context))
        return PromotionReason::PrimaryUnreachable;
    if (!primary.member().leaving)
        this->failedAttempts = 0;
    return std::nullopt;
}

bool GroupWatch::replicasLostPrimary(const MemberWatch& primary, const WatchContext& context) const
{
    // A primary that answers this VM but has lost a majority of its replicas cannot confirm writes.
    if (context.now - this->viewChangedAt < context.settings.unreachableLimit)
        return false;
    size_t lost = 0;
    for (const MemberWatch& watch : this->watches) {
        const bool isAnsweringReplica = &watch != &primary && watch.isAnswering(context.now);
        if (isAnsweringReplica && watch.status()->primaryHeard >= context.settings.unreachableLimit)
            ++lost;
    }
    return lost >= this->majority();
}

std::optional<GroupWatch::PromotionReason> GroupWatch::reasonWhenPrimaryUnknown(
    const WatchContext& context, const Term& highest) const
{
    bool allMembersAnswer = true;
    for (const MemberWatch& watch : this->watches) {
        // A member that has not been queried since the view changed may be the primary.
        if (!watch.hasAnsweredSince(this->viewChangedAt) && watch.failures() < context.settings.failuresUntilSuspected)
            return std::nullopt;
        allMembersAnswer = allMembersAnswer && watch.isAnswering(context.now);
    }
    const bool unseenTooLong = context.now - this->primaryLastSeen >= context.settings.unreachableLimit;
    if (!allMembersAnswer && !unseenTooLong && this->replicasHearPrimary(context, highest))
        return std::nullopt;
    return PromotionReason::NoPrimary;
}

bool GroupWatch::replicasHearPrimary(const WatchContext& context, const Term& term) const
{
    return std::any_of(this->watches.begin(), this->watches.end(), [&](const MemberWatch& watch) {
        if (!watch.isAnswering(context.now) || watch.status()->primary)
            return false;
        const EndpointStatus& status = *watch.status();
        // A replica that is catching up has promised the term, but the last entry of its log is from an older term.
        const bool inTerm = status.term == term || (status.promised == term && !status.primaryAddress.empty());
        return inTerm && status.primaryHeard < context.settings.primarySilence;
    });
}

bool GroupWatch::canReplaceLeavingPrimary(const MemberWatch& primary, Instant now) const
{
    // A promotion fences the working primary, so it starts only if it can succeed: either a majority of the members
    // answers and stays, or one staying member has the primary's whole log and a majority answers.
    size_t stayingMembers = 0;
    bool oneIsUpToDate = false;
    for (const MemberWatch& watch : this->watches) {
        if (watch.member().leaving || !watch.isAnswering(now) || watch.status()->term != primary.status()->term)
            continue;
        ++stayingMembers;
        oneIsUpToDate = oneIsUpToDate || watch.status()->position >= primary.status()->position;
    }
    return stayingMembers >= this->majority() || (oneIsUpToDate && this->countAnswering(now) >= this->majority());
}

void GroupWatch::startPromotionIfNeeded(WatchContext& context)
{
    if (this->promotion)
        return;
    const Term highest = this->highestTerm(context);
    const std::optional<PromotionReason> reason = this->reasonToPromote(context, highest);
    if (!reason) {
        this->pendingPromotion.reset();
        return;
    }
    if (!this->pendingPromotion || this->pendingPromotion->highest != highest) {
        const bool rivalIsActive = highest > context.view.term && highest.vm != context.self;
        const auto jitter = static_cast<uint64_t>(context.settings.maxJitter.count());
        const Duration delay = context.settings.rankDelay * this->rank + Duration(context.random.below(jitter + 1))
            + (rivalIsActive ? context.settings.rivalGracePeriod : Duration::zero());
        this->pendingPromotion = PendingPromotion { highest, context.now + delay };
    }
    if (context.now >= std::max(this->pendingPromotion->startAt, this->backoffUntil))
        this->startPromotion(context, *reason, highest);
}

void GroupWatch::startPromotion(WatchContext& context, PromotionReason reason, const Term& highest)
{
    this->raiseHighestCounter(highest);
    ++this->highestCounter;
    std::vector<GroupMember> members;
    for (const MemberWatch& watch : this->watches)
        members.push_back(watch.member());
    this->pendingPromotion.reset();
    this->promotion.emplace(
        Term { this->highestCounter, context.self }, std::move(members), reason != PromotionReason::PrimaryLeaving);
    this->promotion->start(context.now, context.effects);
}

void GroupWatch::finishPromotion(WatchContext& context)
{
    if (!this->promotion)
        return;
    if (this->promotion->state() == Promotion::State::Failed) {
        const Duration backoff = std::min(context.settings.maxBackoff,
            context.settings.initialBackoff * (int64_t { 1 } << std::min(this->failedAttempts, 10U)));
        ++this->failedAttempts;
        // The random part of up to half the backoff keeps two VMs whose promotions collided from colliding again.
        const auto halfBackoff = static_cast<uint64_t>(backoff.count()) / 2;
        this->backoffUntil = context.now + backoff + Duration(context.random.below(halfBackoff + 1));
        this->promotion.reset();
    } else if (this->promotion->state() == Promotion::State::Done) {
        const EndpointId primary = this->promotion->candidate().endpoint;
        const bool stillCurrent = this->promotion->term() == context.view.term;
        this->promotion.reset();
        if (!stillCurrent)
            return;
        const MemberWatch* primaryWatch = this->find(primary);
        for (MemberWatch& watch : this->watches) {
            if (watch.member().endpoint != primary)
                this->sendFollowCommand(watch, *primaryWatch, context);
        }
    }
}

void GroupWatch::sendFollowCommands(WatchContext& context)
{
    const MemberWatch* primary = context.view.primary ? this->find(*context.view.primary) : nullptr;
    if (!primary)
        return;
    for (MemberWatch& watch : this->watches) {
        if (&watch == primary || !watch.isAnswering(context.now) || !watch.hasAnsweredSince(this->viewChangedAt))
            continue;
        const EndpointStatus& status = *watch.status();
        const bool sameAddress = status.primaryAddress.empty() || status.primaryAddress == primary->member().address;
        // The address may be left over from an earlier term of the same primary, so the promised term alone does not
        // prove that the member follows. A member that is catching up gets the command again, which has no effect.
        if (status.term == context.view.term && !status.primary && sameAddress)
            watch.onFollowing();
        else if (status.promised <= context.view.term
            && watch.isFollowDue(context.now, context.settings.rankDelay * this->rank))
            this->sendFollowCommand(watch, *primary, context);
    }
}

void GroupWatch::sendFollowCommand(MemberWatch& watch, const MemberWatch& primary, WatchContext& context)
{
    watch.onFollowSent(context.now);
    context.effects.emplace_back(
        SendFollow { watch.member().endpoint, watch.member().address, context.view.term, primary.member().address });
}

void GroupWatch::publishChanges(WatchContext& context)
{
    if (this->countAnswering(context.now) >= this->majority())
        this->majorityLastSeen = context.now;
    const bool majority = context.now - this->majorityLastSeen < context.settings.majorityLossLimit;
    bool changed = majority != this->lastPublished.majority;
    this->lastPublished.majority = majority;
    for (size_t index = 0; index < this->watches.size(); ++index) {
        const bool unreachable = this->watches[index].failures() >= context.settings.failuresUntilSuspected;
        changed = changed || unreachable != this->lastPublished.unreachable[index];
        this->lastPublished.unreachable[index] = unreachable;
    }
    if (changed || context.viewChanged)
        context.effects.emplace_back(GroupChanged { context.view, context.announce });
}

} // namespace Lavendervane
