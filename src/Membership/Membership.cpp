#include "Membership/Membership.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace Lavendervane {

// One probe in ten targets a dead member, so that the two sides of a partition find each other after it heals.
static constexpr uint64_t probesPerDeadProbe = 10;

// Four probes out of five target a member in the data centre of this VM.
static constexpr uint64_t nearProbesPerRound = 4;
static constexpr uint64_t probesPerRound = 5;

// An update reaches all n VMs with high probability if each VM that has it sends it a multiple of log2(n) times.
static constexpr uint32_t sendsPerDoubling = 3;

// Ticks arrive every 100 ms; a longer gap than this means that the process was suspended or starved.
static constexpr Duration pauseThreshold = std::chrono::seconds(1);

Membership::Membership(MembershipSettings settings, Member self)
    : settings(settings)
    , own(std::move(self))
{
}

const Member& Membership::self() const { return this->own; }

const std::map<VmId, Member>& Membership::members() const { return this->otherMembers; }

std::vector<MembershipEffect> Membership::handle(const MembershipEvent& event)
{
    assert(this->effects.empty() && this->changedVms.empty());
    std::visit([this](const auto& content) { this->on(content); }, event);

    std::vector<MembershipEffect> result = std::exchange(this->effects, {});
    std::vector<VmId> changed = std::exchange(this->changedVms, {});
    if (!changed.empty()) {
        std::sort(changed.begin(), changed.end());
        changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
        result.emplace_back(MembersChanged { std::move(changed) });
    }
    return result;
}

static bool isActive(const Member& member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

template <typename Condition>
static std::vector<VmId> selectVms(const std::map<VmId, Member>& others, const Member& own, Condition condition)
{
    std::vector<VmId> vms;
    for (const auto& [vm, member] : others) {
        if (isActive(member) && condition(member))
            vms.push_back(vm);
    }
    if (isActive(own) && condition(own))
        vms.insert(std::lower_bound(vms.begin(), vms.end(), own.vm), own.vm);
    return vms;
}

std::vector<VmId> Membership::activeVms() const
{
    return selectVms(this->otherMembers, this->own, [](const Member&) { return true; });
}

std::vector<VmId> Membership::activeVms(const DataCentre& dataCentre) const
{
    return selectVms(
        this->otherMembers, this->own, [&dataCentre](const Member& member) { return member.dataCentre == dataCentre; });
}

std::vector<Member> Membership::takeUpdates() { return this->takeUpdates(this->settings.updatesPerMessage, VmId()); }

std::vector<Member> Membership::takeUpdates(size_t count, const VmId& excluded)
{
    const auto sendLimit = sendsPerDoubling * static_cast<uint32_t>(std::bit_width(this->otherMembers.size() + 1));
    const std::vector<VmId> queuedVms = this->pendingUpdates.take(count, sendLimit);
    std::vector<Member> updates;
    updates.reserve(count);
    for (const VmId& vm : queuedVms) {
        if (vm == this->own.vm)
            updates.push_back(this->own);
        else if (vm != excluded)
            updates.push_back(this->otherMembers.at(vm));
    }
    const size_t freeEntries = std::min(count - updates.size(), this->otherMembers.size());
    auto next = this->otherMembers.upper_bound(this->fillCursor);
    for (size_t step = 0; step < freeEntries; ++step) {
        if (next == this->otherMembers.end())
            next = this->otherMembers.begin();
        const auto& [vm, member] = *next++;
        if (vm != excluded && std::find(queuedVms.begin(), queuedVms.end(), vm) == queuedVms.end())
            updates.push_back(member);
        if (step + 1 == freeEntries)
            this->fillCursor = vm;
    }
    return updates;
}

void Membership::on(const MembershipTick& tick)
{
    this->random = RandomGenerator(tick.seed);
    if (!this->lastTick) {
        // A random first probe time keeps VMs that start together from probing in lockstep.
        const auto interval = static_cast<uint64_t>(this->settings.probeInterval.count());
        this->nextProbe = tick.now + Duration(interval > 0 ? this->random.below(interval) : 0);
    }
    this->extendSuspicionsAfterPause(tick.now);
    this->lastTick = tick.now;
    this->expireSuspicions(tick.now);
    this->expireDead(tick.now);
    if (tick.now >= this->nextProbe)
        this->probeMembers(tick.now);
}

void Membership::on(const ProbeReceived& probe)
{
    this->merge(probe.from, probe.now);
    for (const Member& update : probe.updates)
        this->merge(update, probe.now);
    const auto found = this->otherMembers.find(probe.from.vm);
    // If this VM holds a different state of the sender, the answer carries it, so that the sender can refute it.
    if (found != this->otherMembers.end() && found->second != probe.from)
        this->pendingUpdates.add(probe.from.vm);
}

void Membership::on(const ProbeAnswered& answer)
{
    this->pendingIndirectProbes.erase(answer.from.vm);
    this->merge(answer.from, answer.now);
    for (const Member& update : answer.updates)
        this->merge(update, answer.now);
    // A suspected member must refute with a higher incarnation, because other VMs hold the suspicion too. A leaving
    // member is suspected on this VM only, so any answer clears the suspicion.
    const auto found = this->otherMembers.find(answer.from.vm);
    if (found != this->otherMembers.end() && found->second.state == MemberState::Leaving)
        this->localSuspicions.erase(answer.from.vm);
}

void Membership::on(const ProbeFailed& failure)
{
    const auto found = this->otherMembers.find(failure.target);
    if (found == this->otherMembers.end() || found->second.state == MemberState::Dead
        || this->localSuspicions.contains(failure.target))
        return;
    if (!failure.via) {
        const std::vector<VmId> helpers = this->selectRandomMembers(failure.target);
        if (helpers.empty()) {
            this->markSuspect(failure.target, failure.now);
            return;
        }
        this->pendingIndirectProbes[failure.target] = helpers.size();
        for (const VmId& helper : helpers)
            this->sendProbe(failure.target, this->otherMembers.at(helper));
        return;
    }
    const auto pending = this->pendingIndirectProbes.find(failure.target);
    if (pending == this->pendingIndirectProbes.end() || --pending->second > 0)
        return;
    this->pendingIndirectProbes.erase(pending);
    this->markSuspect(failure.target, failure.now);
}

void Membership::on(const VmListReceived& list)
{
    this->listedVms.clear();
    for (const Member& member : list.vms) {
        if (member.state == MemberState::Dead)
            continue;
        this->listedVms.insert(member.vm);
        this->mergeListed(member, list.now);
    }
}

void Membership::on(const LeaveRequested&)
{
    if (this->leaveRequested)
        return;
    this->leaveRequested = true;
    this->own.state = MemberState::Leaving;
    this->pendingUpdates.add(this->own.vm);
    this->markChanged(this->own.vm);
    this->disseminate(this->own.vm);
}

static bool supersedes(const Member& update, const Member& current)
{
    return update.incarnation > current.incarnation
        || (update.incarnation == current.incarnation && update.state > current.state);
}

void Membership::merge(const Member& update, Instant now)
{
    if (update.vm == this->own.vm) {
        this->mergeOwn(update);
        return;
    }
    const auto found = this->otherMembers.find(update.vm);
    if (found == this->otherMembers.end()) {
        // Adding a dead member that this VM has already forgotten would let its death circulate for ever.
        if (update.state != MemberState::Dead)
            this->storeMember(update, now, true);
        return;
    }
    const Member& current = found->second;
    if (!supersedes(update, current))
        return;
    // Incarnation 0 marks a VM known only from the platform's list. Learning its incarnation is not disseminated;
    // otherwise a starting VM would pass on the whole list.
    const bool onlyConfirms = current.incarnation == 0 && current.state == update.state
        && current.address == update.address && current.dataCentre == update.dataCentre;
    if (onlyConfirms)
        found->second.incarnation = update.incarnation;
    else
        this->storeMember(update, now, true);
}

void Membership::mergeOwn(const Member& update)
{
    if (update.incarnation < this->own.incarnation)
        return;
    const bool sameIncarnation = update.incarnation == this->own.incarnation;
    if (sameIncarnation && update.state <= this->own.state)
        return;
    if (sameIncarnation && update.state == MemberState::Leaving) {
        // Another VM read in the platform's list that this VM is going to be stopped.
        this->own.state = MemberState::Leaving;
        this->markChanged(this->own.vm);
    } else {
        // The update is a suspicion or death to refute, or stems from a previous process of this VM whose clock was
        // ahead.
        this->own.incarnation = update.incarnation + 1;
    }
    this->pendingUpdates.add(this->own.vm);
}

void Membership::mergeListed(const Member& listed, Instant now)
{
    if (listed.vm == this->own.vm) {
        this->mergeOwnListed(listed);
        return;
    }
    const auto found = this->otherMembers.find(listed.vm);
    if (found == this->otherMembers.end()) {
        this->storeMember(listed, now, false);
    } else if (listed.state == MemberState::Leaving && isActive(found->second)) {
        Member leaving = found->second;
        leaving.state = MemberState::Leaving;
        this->storeMember(leaving, now, true);
    }
}

void Membership::mergeOwnListed(const Member& listed)
{
    if (this->leaveRequested || this->own.state == listed.state)
        return;
    // The list no longer marks this VM as leaving. Returning to Alive needs a higher incarnation, because Leaving wins
    // over Alive at equal incarnations.
    if (listed.state != MemberState::Leaving)
        ++this->own.incarnation;
    this->own.state = listed.state;
    this->pendingUpdates.add(this->own.vm);
    this->markChanged(this->own.vm);
}

void Membership::storeMember(const Member& member, Instant now, bool queueUpdate)
{
    this->otherMembers[member.vm] = member;
    this->localSuspicions.erase(member.vm);
    this->pendingIndirectProbes.erase(member.vm);
    if (member.state == MemberState::Dead)
        this->candidates.assign(member.vm, ProbeClass::Dead);
    else
        this->candidates.assign(
            member.vm, member.dataCentre == this->own.dataCentre ? ProbeClass::Near : ProbeClass::Far);
    if (member.state == MemberState::Suspect)
        this->suspicions.push_back({ now + this->settings.suspicionTimeout, member.vm, member.incarnation });
    if (member.state == MemberState::Dead)
        this->deadExpiries.push_back({ now + this->settings.deadRetention, member.vm, member.incarnation });
    if (queueUpdate)
        this->pendingUpdates.add(member.vm);
    this->markChanged(member.vm);
}

void Membership::markChanged(const VmId& vm) { this->changedVms.push_back(vm); }

void Membership::extendSuspicionsAfterPause(Instant now)
{
    if (!this->lastTick || now - *this->lastTick < pauseThreshold)
        return;
    // A process that did not run could not receive refutations, so the suspicion timeouts exclude the pause.
    const Duration pause = now - *this->lastTick;
    for (Deadline& deadline : this->suspicions)
        deadline.at = std::min(deadline.at + pause, now + this->settings.suspicionTimeout);
}

void Membership::expireSuspicions(Instant now)
{
    while (!this->suspicions.empty() && this->suspicions.front().at <= now) {
        const Deadline due = std::move(this->suspicions.front());
        this->suspicions.pop_front();
        const auto found = this->otherMembers.find(due.vm);
        if (found == this->otherMembers.end() || found->second.incarnation != due.incarnation)
            continue;
        const MemberState state = found->second.state;
        const bool leavingAndSuspectedHere = state == MemberState::Leaving && this->localSuspicions.contains(due.vm);
        if (state != MemberState::Suspect && !leavingAndSuspectedHere)
            continue;
        const bool suspectedHere = this->localSuspicions.contains(due.vm);
        Member dead = found->second;
        dead.state = MemberState::Dead;
        this->storeMember(dead, now, true);
        if (suspectedHere)
            this->disseminate(due.vm);
    }
}

void Membership::expireDead(Instant now)
{
    while (!this->deadExpiries.empty() && this->deadExpiries.front().at <= now) {
        Deadline due = std::move(this->deadExpiries.front());
        this->deadExpiries.pop_front();
        const auto found = this->otherMembers.find(due.vm);
        if (found == this->otherMembers.end() || found->second.state != MemberState::Dead
            || found->second.incarnation != due.incarnation)
            continue;
        if (this->listedVms.contains(due.vm)) {
            // A VM that the platform still lists is kept as dead. If it were forgotten, the next list would add it as
            // alive. After a long partition, probes to dead members are the only way to find it again.
            due.at = now + this->settings.deadRetention;
            this->deadExpiries.push_back(std::move(due));
            continue;
        }
        this->candidates.remove(due.vm);
        this->pendingUpdates.remove(due.vm);
        this->otherMembers.erase(found);
        this->markChanged(due.vm);
    }
}

void Membership::probeMembers(Instant now)
{
    this->nextProbe = std::max(this->nextProbe + this->settings.probeInterval, now);
    const std::optional<VmId> target = this->selectProbeTarget();
    if (target)
        this->sendProbe(*target, std::nullopt);
    // A suspected member learns of the suspicion from this probe. In a large fleet, dissemination alone would take
    // longer than the suspicion timeout.
    size_t extra = 0;
    for (const VmId& vm : this->localSuspicions) {
        if (extra++ == this->settings.indirectProbes)
            break;
        if (vm != target)
            this->sendProbe(vm, std::nullopt);
    }
}

void Membership::sendProbe(const VmId& target, std::optional<Member> via)
{
    const Member& member = this->otherMembers.at(target);
    std::vector<Member> updates;
    size_t count = this->settings.updatesPerMessage;
    if (member.state != MemberState::Alive && count > 0) {
        updates.push_back(member);
        --count;
    }
    for (Member& update : this->takeUpdates(count, target))
        updates.push_back(std::move(update));
    this->effects.emplace_back(SendProbe { member, std::move(via), std::move(updates) });
}

void Membership::markSuspect(const VmId& vm, Instant now)
{
    Member member = this->otherMembers.at(vm);
    if (member.state == MemberState::Alive) {
        member.state = MemberState::Suspect;
        this->storeMember(member, now, true);
    } else if (member.state == MemberState::Leaving) {
        this->suspicions.push_back({ now + this->settings.suspicionTimeout, vm, member.incarnation });
    }
    this->localSuspicions.insert(vm);
    this->disseminate(vm);
}

void Membership::disseminate(const VmId& subject)
{
    for (const VmId& vm : this->selectRandomMembers(subject))
        this->sendProbe(vm, std::nullopt);
}

std::optional<VmId> Membership::selectProbeTarget()
{
    const size_t dead = this->candidates.size(ProbeClass::Dead);
    const size_t near = this->candidates.size(ProbeClass::Near);
    const size_t far = this->candidates.size(ProbeClass::Far);
    const bool wantsDead = this->random.below(probesPerDeadProbe) == 0;
    const bool wantsNear = this->random.below(probesPerRound) < nearProbesPerRound;
    if (dead > 0 && (wantsDead || near + far == 0))
        return this->candidates.at(ProbeClass::Dead, this->random.below(dead));
    if (near > 0 && (wantsNear || far == 0))
        return this->candidates.at(ProbeClass::Near, this->random.below(near));
    if (far > 0)
        return this->candidates.at(ProbeClass::Far, this->random.below(far));
    return std::nullopt;
}

std::vector<VmId> Membership::selectRandomMembers(const VmId& excluded)
{
    std::vector<VmId> helpers;
    const size_t size = this->candidates.liveSize();
    if (size == 0)
        return helpers;
    const size_t start = this->random.below(size);
    // The number of skipped suspects is bounded, so that the cost does not grow when many VMs fail at once.
    const size_t steps = std::min(size, this->settings.indirectProbes * 4 + 1);
    for (size_t step = 0; step < steps && helpers.size() < this->settings.indirectProbes; ++step) {
        const VmId& vm = this->candidates.liveAt((start + step) % size);
        if (vm != excluded && this->otherMembers.at(vm).state != MemberState::Suspect)
            helpers.push_back(vm);
    }
    return helpers;
}

} // namespace Lavendervane
