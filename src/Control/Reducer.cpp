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

static bool isDue(std::optional<Instant>& last, Instant now, Duration interval)
{
    if (last && now - *last < interval)
        return false;
    last = now;
    return true;
}

Effects Reducer::run(const ControlEvent& event)
{
    std::visit([this](const auto& alternative) { this->handle(alternative); }, event);
    if (this->published)
        this->effects.emplace_back(PublishSnapshot {});
    return std::move(this->effects);
}

void Reducer::handle(const ControlTick& tick)
{
    this->now = tick.now;
    this->handle(MembershipEvent(MembershipTick { tick.now, tick.seed }));
    this->handle(GroupEvent(GroupTick { tick.now, tick.seed }));
    this->handle(ChainEvent(ChainTick { tick.now, this->readsConfiguration() }));
    if (this->state.localVms.empty())
        this->updateLocalVms();
    this->handle(HolderEvent(HolderTick { tick.now }));
    this->handle(AllocatorEvent(AllocatorTick { tick.now }));
    this->checkConfigurationAge();
    this->probeSeeds();
    this->fetchVmList();
}

void Reducer::fetchVmList()
{
    const ControlSettings& settings = this->state.settings;
    const bool often = this->state.membership.members().empty() || this->readsConfiguration();
    const Duration interval = often ? settings.vmListInterval : settings.vmListRepeatInterval;
    if (isDue(this->state.lastVmListFetch, this->now, interval))
        this->effects.emplace_back(FetchVmList {});
}

bool Reducer::readsConfiguration() const
{
    const Member& self = this->state.membership.self();
    const auto readers = this->state.placement.configurationReaders(self.dataCentre);
    if (std::find(readers.begin(), readers.end(), self.vm) != readers.end())
        return true;
    // Peers do not say how old their configuration is, so a VM with an age limit asks the platform itself in time.
    const Duration limit = this->state.settings.maxConfigurationAge;
    return limit.count() && this->now - this->state.chain.confirmedAt() > limit / 2;
}

void Reducer::checkConfigurationAge()
{
    const Duration limit = this->state.settings.maxConfigurationAge;
    const bool valid = !limit.count() || this->now - this->state.chain.confirmedAt() <= limit;
    if (std::exchange(this->state.keysValid, valid) != valid)
        this->publish();
}

void Reducer::probeSeeds()
{
    const auto& settings = this->state.settings;
    if (settings.seedPeers.empty() || this->state.leaving)
        return;
    const auto& members = this->state.membership.members();
    const bool alone = std::none_of(
        members.begin(), members.end(), [](const auto& entry) { return entry.second.state == MemberState::Alive; });
    const Duration interval = alone ? settings.seedInterval : settings.seedRepeatInterval;
    if (!isDue(this->state.lastSeedProbe, this->now, interval))
        return;
    for (const std::string& address : settings.seedPeers) {
        if (address != settings.self.address)
            this->effects.emplace_back(ProbeSeed { address, this->makeNews({}) });
    }
}

void Reducer::handle(const ProbeArrived& probe)
{
    this->now = probe.now;
    this->handle(MembershipEvent(ProbeReceived { probe.now, probe.message.from, probe.message.updates }));
    this->learn(probe.now, probe.message);
    this->effects.emplace_back(AnswerProbe { probe.call, this->makeNews(this->state.membership.takeUpdates()) });
}

void Reducer::handle(const PeerAnswered& answer)
{
    this->now = answer.now;
    this->handle(MembershipEvent(ProbeAnswered { answer.now, answer.message.from, answer.message.updates }));
    this->learn(answer.now, answer.message);
}

void Reducer::handle(const TrafficObserved& observed)
{
    this->now = observed.now;
    if (const auto* higher = std::get_if<HigherTermObserved>(&observed.observation)) {
        const GroupView view { higher->group, higher->term, higher->primary };
        this->handle(GroupEvent(GroupViewLearnt { observed.now, view }));
    } else if (const auto* shortage = std::get_if<TokenShortageObserved>(&observed.observation))
        this->handle(HolderEvent(ShortageObserved { observed.now, shortage->organisation }));
}

void Reducer::handle(const ChainEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    for (auto& effect : this->state.chain.handle(event))
        std::visit([this](auto& alternative) { this->carryOut(std::move(alternative)); }, effect);
}

void Reducer::carryOut(FetchChangesFromPeer&& fetch)
{
    // A fetch from a VM that is not a member yet is repeated with its next probe.
    if (const Member* peer = this->findMember(fetch.peer))
        this->effects.emplace_back(FetchChanges { *peer, fetch.fromVersion });
}

void Reducer::carryOut(ConfigurationAdvanced&&)
{
    const auto previous = std::exchange(this->state.configuration, this->state.chain.current());
    if (previous->groups != this->state.configuration->groups)
        this->configureGroups(*previous);
    if (previous->organisations != this->state.configuration->organisations
        || previous->dataCentres != this->state.configuration->dataCentres)
        this->configureLimits();
    this->checkConfigurationAge();
    this->publish();
    this->push({});
}

// Most changes concern keys, so the groups are compared before anything is computed for them.
void Reducer::configureGroups(const Configuration& previous)
{
    for (const auto& [name, group] : previous.groups) {
        const DatabaseGroup* current = this->state.configuration->findGroup(name);
        if (current && *current == group)
            continue;
        this->state.placement.forget(group);
        if (!current)
            this->state.pushedViews.erase(name);
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
        std::visit([this](auto& alternative) { this->carryOut(std::move(alternative)); }, effect);
}

void Reducer::handle(const GroupEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    for (auto& effect : this->state.groups.handle(event))
        std::visit([this](auto& alternative) { this->carryOut(std::move(alternative)); }, effect);
}

void Reducer::carryOut(SendProbe&& probe)
{
    this->effects.emplace_back(
        ProbePeer { std::move(probe.target), std::move(probe.via), this->makeNews(std::move(probe.updates)) });
}

void Reducer::carryOut(MembersChanged&&)
{
    this->updatePlacement();
    this->updateLocalVms();
    this->publish();
}

void Reducer::carryOut(GroupChanged&& change)
{
    this->publish();
    GroupView& pushed = this->state.pushedViews[change.view.group];
    const bool raised = std::pair(pushed.term, pushed.primary.has_value())
        < std::pair(change.view.term, change.view.primary.has_value());
    pushed = change.view;
    // Each VM passes a raised term on once, so that it reaches all VMs although each tells only a few.
    if (raised || change.announce)
        this->push({ change.view });
}

void Reducer::learn(Instant time, const GossipMessage& news)
{
    this->handle(ChainEvent(PeerVersionSeen { time, news.from.vm, news.configurationVersion }));
    for (const GroupView& view : news.views) {
        const GroupView* known = this->state.groups.findView(view.group);
        if (known && (known->term < view.term || (known->term == view.term && !known->primary && view.primary)))
            this->handle(GroupEvent(GroupViewLearnt { time, view }));
    }
}

void Reducer::push(const std::vector<GroupView>& views)
{
    std::vector<const Member*> candidates;
    for (const auto& [vm, member] : this->state.membership.members()) {
        if (member.state != MemberState::Dead)
            candidates.push_back(&member);
    }
    const size_t count = std::min(this->state.settings.pushFanOut, candidates.size());
    for (size_t chosen = 0; chosen < count; ++chosen) {
        const size_t other = chosen + this->state.random.below(candidates.size() - chosen);
        std::swap(candidates[chosen], candidates[other]);
        const GossipMessage news { this->state.membership.self(), {}, this->state.configuration->version, views };
        this->effects.emplace_back(PushGossip { *candidates[chosen], news });
    }
}

GossipMessage Reducer::makeNews(std::vector<Member> updates)
{
    return { this->state.membership.self(), std::move(updates), this->state.configuration->version, this->nextViews() };
}

// Probes repeat all views in turn, so that a VM that missed a push learns of it.
std::vector<GroupView> Reducer::nextViews()
{
    const auto& all = this->state.pushedViews;
    const size_t count = std::min(this->state.settings.viewsPerMessage, all.size());
    std::vector<GroupView> views;
    views.reserve(count);
    auto next = all.upper_bound(this->state.lastRepeatedView);
    while (views.size() < count) {
        if (next == all.end())
            next = all.begin();
        views.push_back(next->second);
        ++next;
    }
    if (!views.empty())
        this->state.lastRepeatedView = views.back().group;
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
        const auto before = previous.find(name);
        if (before == previous.end() || before->second != rank)
            this->handle(GroupEvent(WatchRankChanged { this->now, name, rank }));
    }
}

void Reducer::publish() { this->published = true; }

} // namespace Lavendervane
