#include "Control/Reducer.h"

#include "Configuration/Configuration.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Lavendervane {

Effects reduce(ControlState& state, const ControlEvent& event) { return Reducer(state).run(event); }

Reducer::Reducer(ControlState& state)
    : state(state)
{
}

/// Returns true and sets `last` to `now` if `interval` has passed since `last`, or if `last` is not set.
static bool updateIfDue(std::optional<Instant>& last, Instant now, Duration interval)
{
    if (last && now - *last < interval)
        return false;
    last = now;
    return true;
}

Effects Reducer::run(const ControlEvent& event)
{
    std::visit([this](const auto& alternative) { this->handle(alternative); }, event);
    if (this->snapshotChanged)
        this->effects.emplace_back(PublishSnapshot {});
    return std::move(this->effects);
}

void Reducer::handle(const ControlTick& tick)
{
    this->now = tick.now;
    this->handle(MembershipEvent(MembershipTick { tick.now, tick.seed }));
    this->handle(GroupEvent(GroupTick { tick.now, tick.seed }));
    this->handle(ChainEvent(ChainTick { tick.now, this->shouldReadConfiguration() }));
    if (this->state.localVms.empty())
        this->updateLocalVms();
    this->handle(HolderEvent(HolderTick { tick.now }));
    this->handle(AllocatorEvent(AllocatorTick { tick.now }));
    this->updateKeyValidity();
    this->probeSeedsIfDue();
    this->fetchVmListIfDue();
}

void Reducer::fetchVmListIfDue()
{
    const ControlSettings& settings = this->state.settings;
    const bool fetchOften = this->state.membership.members().empty() || this->shouldReadConfiguration();
    const Duration interval = fetchOften ? settings.vmListInterval : settings.vmListRepeatInterval;
    if (updateIfDue(this->state.lastVmListFetch, this->now, interval))
        this->effects.emplace_back(FetchVmList {});
}

bool Reducer::shouldReadConfiguration() const
{
    const Member& self = this->state.membership.self();
    const auto readers = this->state.placement.configurationReaders(self.dataCentre);
    if (std::find(readers.begin(), readers.end(), self.vm) != readers.end())
        return true;
    // Gossip does not carry the age of a configuration. A VM with an age limit therefore reads from the platform itself
    // when half of the limit has passed.
    const Duration maxAge = this->state.settings.maxConfigurationAge;
    return maxAge.count() && this->now - this->state.chain.confirmedAt() > maxAge / 2;
}

void Reducer::updateKeyValidity()
{
    const Duration maxAge = this->state.settings.maxConfigurationAge;
    const bool valid = !maxAge.count() || this->now - this->state.chain.confirmedAt() <= maxAge;
    if (std::exchange(this->state.keysValid, valid) != valid)
        this->markSnapshotChanged();
}

void Reducer::probeSeedsIfDue()
{
    const auto& settings = this->state.settings;
    if (settings.seedPeers.empty() || this->state.leaving)
        return;
    const auto& members = this->state.membership.members();
    const bool noPeerAlive = std::none_of(
        members.begin(), members.end(), [](const auto& entry) { return entry.second.state == MemberState::Alive; });
    const Duration interval = noPeerAlive ? settings.seedInterval : settings.seedRepeatInterval;
    if (!updateIfDue(this->state.lastSeedProbe, this->now, interval))
        return;
    for (const std::string& address : settings.seedPeers) {
        if (address != settings.self.address)
            this->effects.emplace_back(ProbeSeed { address, this->makeGossipMessage({}) });
    }
}

void Reducer::handle(const ProbeArrived& probe)
{
    this->now = probe.now;
    this->handle(MembershipEvent(ProbeReceived { probe.now, probe.message.from, probe.message.updates }));
    this->mergeGossip(probe.now, probe.message);
    this->effects.emplace_back(
        AnswerProbe { probe.call, this->makeGossipMessage(this->state.membership.takeUpdates()) });
}

void Reducer::handle(const PeerAnswered& answer)
{
    this->now = answer.now;
    this->handle(MembershipEvent(ProbeAnswered { answer.now, answer.message.from, answer.message.updates }));
    this->mergeGossip(answer.now, answer.message);
}

void Reducer::handle(const TrafficObserved& event)
{
    this->now = event.now;
    if (const auto* higher = std::get_if<HigherTermObserved>(&event.observation)) {
        const GroupView view { higher->group, higher->term, higher->primary };
        this->handle(GroupEvent(GroupViewLearnt { event.now, view }));
    } else if (const auto* shortage = std::get_if<TokenShortageObserved>(&event.observation))
        this->handle(HolderEvent(ShortageObserved { event.now, shortage->organisation }));
}

void Reducer::handle(const ChainEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    for (auto& effect : this->state.chain.handle(event))
        std::visit([this](auto& alternative) { this->handleEffect(std::move(alternative)); }, effect);
}

void Reducer::handleEffect(FetchChangesFromPeer&& fetch)
{
    // If the peer is not a member yet, its next probe triggers the fetch again.
    if (const Member* peer = this->findMember(fetch.peer))
        this->effects.emplace_back(FetchChanges { *peer, fetch.fromVersion });
}

void Reducer::handleEffect(ConfigurationAdvanced&&)
{
    const auto previous = std::exchange(this->state.configuration, this->state.chain.current());
    if (previous->groups != this->state.configuration->groups)
        this->configureGroups(*previous);
    if (previous->organisations != this->state.configuration->organisations
        || previous->dataCentres != this->state.configuration->dataCentres)
        this->configureLimits();
    this->updateKeyValidity();
    this->markSnapshotChanged();
    this->pushGossip({});
}

// Recomputes placement and watch ranks. The caller compares the groups first, because most changes concern only keys.
void Reducer::configureGroups(const Configuration& previous)
{
    for (const auto& [name, group] : previous.groups) {
        const DatabaseGroup* current = this->state.configuration->findGroup(name);
        if (current && *current == group)
            continue;
        this->state.placement.dropRankings(group);
        if (!current)
            this->state.latestViews.erase(name);
    }
    std::vector<DatabaseGroup> groups;
    groups.reserve(this->state.configuration->groups.size());
    for (const auto& [name, group] : this->state.configuration->groups)
        groups.push_back(group);
    this->handle(GroupEvent(GroupsConfigured { this->now, std::move(groups) }));
    this->updateWatchRanks();
}

void Reducer::handle(const MembershipEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    if (std::holds_alternative<LeaveRequested>(event))
        this->state.leaving = true;
    for (auto& effect : this->state.membership.handle(event))
        std::visit([this](auto& alternative) { this->handleEffect(std::move(alternative)); }, effect);
}

void Reducer::handle(const GroupEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    for (auto& effect : this->state.groups.handle(event))
        std::visit([this](auto& alternative) { this->handleEffect(std::move(alternative)); }, effect);
}

void Reducer::handleEffect(SendProbe&& probe)
{
    this->effects.emplace_back(
        ProbePeer { std::move(probe.target), std::move(probe.via), this->makeGossipMessage(std::move(probe.updates)) });
}

void Reducer::handleEffect(MembersChanged&&)
{
    this->updatePlacement();
    this->updateLocalVms();
    this->markSnapshotChanged();
}

void Reducer::handleEffect(GroupChanged&& change)
{
    this->markSnapshotChanged();
    GroupView& latest = this->state.latestViews[change.view.group];
    const bool isNewer = std::pair(latest.term, latest.primary.has_value())
        < std::pair(change.view.term, change.view.primary.has_value());
    latest = change.view;
    // Each VM passes a newer view on once, so that it reaches all VMs although each VM sends it only to a few.
    if (isNewer || change.announce)
        this->pushGossip({ change.view });
}

void Reducer::mergeGossip(Instant time, const GossipMessage& message)
{
    this->handle(ChainEvent(PeerVersionSeen { time, message.from.vm, message.configurationVersion }));
    for (const GroupView& view : message.views) {
        const GroupView* known = this->state.groups.findView(view.group);
        if (known && (known->term < view.term || (known->term == view.term && !known->primary && view.primary)))
            this->handle(GroupEvent(GroupViewLearnt { time, view }));
    }
}

void Reducer::pushGossip(const std::vector<GroupView>& views)
{
    std::vector<const Member*> candidates;
    for (const auto& [vm, member] : this->state.membership.members()) {
        if (member.state != MemberState::Dead)
            candidates.push_back(&member);
    }
    const size_t count = std::min(this->state.settings.pushFanOut, candidates.size());
    for (size_t index = 0; index < count; ++index) {
        const size_t swapIndex = index + this->state.random.below(candidates.size() - index);
        std::swap(candidates[index], candidates[swapIndex]);
        const GossipMessage message { this->state.membership.self(), {}, this->state.configuration->version, views };
        this->effects.emplace_back(PushGossip { *candidates[index], message });
    }
}

GossipMessage Reducer::makeGossipMessage(std::vector<Member> updates)
{
    return { this->state.membership.self(), std::move(updates), this->state.configuration->version,
        this->nextViewsToSend() };
}

// Probes repeat all views in turn, so that a VM that missed a push still learns each view.
std::vector<GroupView> Reducer::nextViewsToSend()
{
    const auto& allViews = this->state.latestViews;
    const size_t count = std::min(this->state.settings.viewsPerMessage, allViews.size());
    std::vector<GroupView> views;
    views.reserve(count);
    auto next = allViews.upper_bound(this->state.lastSentViewGroup);
    while (views.size() < count) {
        if (next == allViews.end())
            next = allViews.begin();
        views.push_back(next->second);
        ++next;
    }
    if (!views.empty())
        this->state.lastSentViewGroup = views.back().group;
    return views;
}

void Reducer::updatePlacement()
{
    std::map<VmId, DataCentre> active;
    const Member& self = this->state.membership.self();
    const auto& members = this->state.membership.members();
    for (const VmId& vm : this->state.membership.activeVms()) {
        if (vm == self.vm)
            active.emplace(vm, self.dataCentre);
        else if (const auto found = members.find(vm); found != members.end())
            active.emplace(vm, found->second.dataCentre);
    }
    if (this->state.placement.setVms(active))
        this->updateWatchRanks();
}

void Reducer::updateWatchRanks()
{
    const VmId& self = this->state.membership.self().vm;
    std::map<GroupId, uint32_t> ranks;
    for (const auto& [name, group] : this->state.configuration->groups) {
        const auto watchers = this->state.placement.watchers(group);
        const auto found = std::find(watchers.begin(), watchers.end(), self);
        if (found != watchers.end())
            ranks.emplace(name, static_cast<uint32_t>(found - watchers.begin()));
    }
    const auto previous = std::exchange(this->state.watchRanks, ranks);
    for (const auto& [name, rank] : previous) {
        if (!ranks.contains(name))
            this->handle(GroupEvent(WatchRankChanged { this->now, name, std::nullopt }));
    }
    for (const auto& [name, rank] : ranks) {
        const auto previousRank = previous.find(name);
        if (previousRank == previous.end() || previousRank->second != rank)
            this->handle(GroupEvent(WatchRankChanged { this->now, name, rank }));
    }
}

void Reducer::markSnapshotChanged() { this->snapshotChanged = true; }

} // namespace Lavendervane
