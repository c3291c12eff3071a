#include "Membership/FleetSimulation.h"

#include <algorithm>

namespace Lavendervane::Test {

using namespace std::chrono_literals;

static constexpr Duration faultTime = 40s;
static constexpr Duration convergenceTime = 30s;

FleetSimulation::FleetSimulation(uint64_t seed, size_t vmCount, bool platformLists)
    : random(seed)
    , now(1h)
    , platformLists(platformLists)
    , vms(vmCount)
    , seenIncarnations(vmCount)
{
    static const std::vector<DataCentre> dataCentres { DataCentre("szeged"), DataCentre("csongrad") };
    for (size_t index = 0; index < vmCount; ++index) {
        const std::string number = std::to_string(100 + index);
        this->vms[index].self = { VmId("vm-" + number), "10.0.0." + number + ":7100",
            dataCentres[index % dataCentres.size()], 0, MemberState::Alive };
    }
    for (size_t index = 0; index < vmCount; ++index) {
        this->startVm(index);
        this->tick(index);
    }
    if (platformLists)
        this->deliverList();
}

void FleetSimulation::runWithFaults()
{
    const Instant faultsEnd = this->now + faultTime;
    this->injectFault();
    this->runUntil(faultsEnd);
    this->faultsEnabled = false;
    this->cutLinks.clear();
    for (size_t index = 0; index < this->vms.size(); ++index)
        this->resume(index);
    this->runUntil(faultsEnd + convergenceTime);
    this->checkConverged();
    this->runUntil(faultsEnd + convergenceTime + 5s);
    this->checkConverged();
}

Duration FleetSimulation::detectionTime()
{
    this->faultsEnabled = false;
    this->runUntil(this->now + 30s);
    this->checkConverged();
    const Instant killed = this->now;
    this->vms.back().up = false;
    const std::vector<VmId> live = this->liveVms();
    const auto known = [&live](const Vm& vm) { return !vm.up || vm.reducer->activeVms() == live; };
    while (!std::all_of(this->vms.begin(), this->vms.end(), known)) {
        if (this->now - killed > 20s)
            throw InvariantViolation("a dead VM was not detected by all others within 20 s");
        this->runUntil(this->now + 100ms);
    }
    return this->now - killed;
}

void FleetSimulation::after(Duration wait, std::function<void()> action)
{
    this->timers.push({ this->now + wait, ++this->sequence, std::move(action) });
}

void FleetSimulation::runUntil(Instant end)
{
    while (!this->timers.empty() && this->timers.top().at <= end) {
        const Timer timer = this->timers.top();
        this->timers.pop();
        this->now = timer.at;
        timer.action();
    }
    this->now = end;
}

size_t FleetSimulation::indexOf(const VmId& vm) const
{
    return static_cast<size_t>(std::find_if(this->vms.begin(), this->vms.end(), [&vm](const Vm& other) {
        return other.self.vm == vm;
    }) - this->vms.begin());
}

void FleetSimulation::startVm(size_t index)
{
    Vm& vm = this->vms[index];
    vm.up = true;
    vm.deferredActions.clear();
    vm.self.incarnation = static_cast<uint64_t>(this->now.time_since_epoch().count());
    vm.reducer.emplace(MembershipSettings {}, vm.self);
    this->seenIncarnations[index].clear();
    if (index == 0) {
        this->recordedTrace.clear();
        this->recordedSelf = vm.self;
    }
    VmListReceived seeds { this->now, {} };
    for (size_t other : { (index + 1) % this->vms.size(), (index + 4) % this->vms.size() }) {
        seeds.vms.push_back(this->vms[other].self);
        seeds.vms.back().incarnation = 0;
    }
    this->handleEvent(index, seeds);
}

void FleetSimulation::tick(size_t index)
{
    if (this->vms[index].up && !this->vms[index].paused)
        this->handleEvent(index, MembershipTick { this->now, this->random.next() });
    this->after(100ms, [this, index] { this->tick(index); });
}

void FleetSimulation::deliverList()
{
    VmListReceived list { this->now, {} };
    for (const Vm& vm : this->vms) {
        list.vms.push_back(vm.self);
        list.vms.back().incarnation = 0;
    }
    // The list arrives 10 s late and still contains VMs that died in between.
    std::erase_if(list.vms, [this](const Member& member) { return !this->vms[this->indexOf(member.vm)].up; });
    this->after(10s, [this, list] {
        for (size_t index = 0; index < this->vms.size(); ++index) {
            if (this->vms[index].up && !this->vms[index].paused)
                this->handleEvent(index, list);
        }
        this->deliverList();
    });
}

void FleetSimulation::handleEvent(size_t index, MembershipEvent event)
{
    std::visit([this](auto& content) { content.now = this->now; }, event);
    const auto effects = this->vms[index].reducer->handle(event);
    if (index == 0)
        this->recordedTrace.push_back({ std::move(event), effects, {} });
    this->checkInvariants(index, effects);
    for (const MembershipEffect& effect : effects) {
        if (const auto* sent = std::get_if<SendProbe>(&effect))
            this->sendProbe(index, *sent);
    }
}

std::vector<Member> FleetSimulation::takeUpdates(size_t index)
{
    std::vector<Member> updates = this->vms[index].reducer->takeUpdates();
    if (updates.size() > MembershipSettings {}.updatesPerMessage)
        throw InvariantViolation("a message carries too many updates");
    if (index == 0)
        this->recordedTrace.push_back({ std::nullopt, {}, updates });
    return updates;
}

void FleetSimulation::sendProbe(size_t index, const SendProbe& effect)
{
    const size_t target = this->indexOf(effect.target.vm);
    const uint64_t incarnation = this->vms[index].self.incarnation;
    const auto via = effect.via ? std::optional(effect.via->vm) : std::nullopt;
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, index, incarnation, finished](MembershipEvent event) {
        // While faults are enabled, half of the results that follow the first one are delivered too.
        if (*finished && !(this->faultsEnabled && this->chance(50)))
            return;
        *finished = true;
        Vm& vm = this->vms[index];
        if (!vm.up || vm.self.incarnation != incarnation)
            return;
        if (vm.paused)
            vm.deferredActions.emplace_back([this, index, event] { this->handleEvent(index, event); });
        else
            this->handleEvent(index, std::move(event));
    };
    const AnswerHandler onAnswer = [finish](const Member& from, const std::vector<Member>& updates) {
        finish(ProbeAnswered { {}, from, updates });
    };
    if (!via) {
        this->probe(index, target, effect.updates, onAnswer);
    } else {
        const size_t helper = this->indexOf(*via);
        this->deliver(index, helper, [this, index, helper, target, onAnswer] {
            const std::vector<Member> updates = this->takeUpdates(helper);
            this->probe(helper, target, updates,
                [this, index, helper, onAnswer](const Member& from, const std::vector<Member>& answerUpdates) {
                    this->deliver(helper, index, [onAnswer, from, answerUpdates] { onAnswer(from, answerUpdates); });
                });
        });
    }
    this->after(300ms, [finish, finished, vm = effect.target.vm, via] {
        if (!*finished)
            finish(ProbeFailed { {}, vm, via });
    });
}

void FleetSimulation::deliver(size_t from, size_t to, const std::function<void()>& action)
{
    const bool cut = this->cutLinks.contains({ std::min(from, to), std::max(from, to) });
    if (cut || (this->faultsEnabled && this->chance(3)))
        return;
    const bool slow = this->faultsEnabled && this->chance(5);
    const Duration wait = 1ms + std::chrono::microseconds(this->random.below(slow ? 600000 : 2000));
    this->after(wait, [this, to, action] {
        if (!this->vms[to].up)
            return;
        if (this->vms[to].paused)
            this->vms[to].deferredActions.push_back(action);
        else
            action();
    });
}

void FleetSimulation::probe(size_t from, size_t to, const std::vector<Member>& updates, const AnswerHandler& onAnswer)
{
    const ProbeReceived received { {}, this->vms[from].reducer->self(), updates };
    this->deliver(from, to, [this, from, to, received, onAnswer] {
        this->handleEvent(to, received);
        const Member self = this->vms[to].reducer->self();
        const std::vector<Member> answerUpdates = this->takeUpdates(to);
        this->deliver(to, from, [onAnswer, self, answerUpdates] { onAnswer(self, answerUpdates); });
    });
}

void FleetSimulation::injectFault()
{
    if (!this->faultsEnabled)
        return;
    const size_t index = this->random.below(this->vms.size());
    const uint64_t sides = this->random.next();
    switch (this->random.below(6)) {
    case 0:
        this->vms[index].up = false;
        break;
    case 1:
        // A new process starts under the name of a VM, which may still be running.
        this->vms[index].paused = false;
        this->startVm(index);
        break;
    case 2:
        this->vms[index].paused = true;
        this->after(std::chrono::milliseconds(this->random.below(8000)), [this, index] { this->resume(index); });
        break;
    case 3:
        for (size_t left = 0; left < this->vms.size(); ++left) {
            for (size_t right = left + 1; right < this->vms.size(); ++right) {
                if (((sides >> left) & 1U) != ((sides >> right) & 1U))
                    this->cutLinks.insert({ left, right });
            }
        }
        break;
    default:
        this->cutLinks.clear();
    }
    this->after(std::chrono::milliseconds(500 + this->random.below(4000)), [this] { this->injectFault(); });
}

void FleetSimulation::resume(size_t index)
{
    this->vms[index].paused = false;
    auto deferredActions = std::exchange(this->vms[index].deferredActions, {});
    for (const auto& action : deferredActions) {
        if (this->vms[index].up)
            action();
    }
}

void FleetSimulation::checkInvariants(size_t index, const std::vector<MembershipEffect>& effects)
{
    const Membership& reducer = *this->vms[index].reducer;
    if (reducer.self().state != MemberState::Alive)
        throw InvariantViolation("a running VM does not consider itself alive");
    for (const MembershipEffect& effect : effects) {
        const auto* changed = std::get_if<MembersChanged>(&effect);
        if (!changed)
            continue;
        for (const VmId& vm : changed->vms) {
            const auto found = reducer.members().find(vm);
            // A member that was forgotten may be added again with any incarnation.
            uint64_t& seen = this->seenIncarnations[index][vm];
            const uint64_t current = found == reducer.members().end() ? 0 : found->second.incarnation;
            if (found != reducer.members().end() && current < seen)
                throw InvariantViolation("the incarnation of a member decreased");
            seen = current;
        }
    }
}

std::vector<VmId> FleetSimulation::liveVms() const
{
    std::vector<VmId> live;
    for (const Vm& vm : this->vms) {
        if (vm.up)
            live.push_back(vm.self.vm);
    }
    return live;
}

void FleetSimulation::checkConverged() const
{
    const std::vector<VmId> live = this->liveVms();
    for (const Vm& vm : this->vms) {
        if (!vm.up)
            continue;
        const std::vector<VmId> active = vm.reducer->activeVms();
        if (active != live)
            throw InvariantViolation(vm.self.vm.str() + " considers " + std::to_string(active.size())
                + " VMs active, but the number of live VMs is " + std::to_string(live.size()));
        for (const auto& [name, member] : vm.reducer->members()) {
            const Vm& other = this->vms[this->indexOf(name)];
            if (other.up && member.incarnation != other.reducer->self().incarnation)
                throw InvariantViolation(vm.self.vm.str() + " has an outdated incarnation of " + name.str());
        }
    }
}

} // namespace Lavendervane::Test
