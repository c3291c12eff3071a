#include "Groups/GroupSimulation.h"

#include <algorithm>
#include <sstream>

namespace Lavendervane::Test {

using namespace std::chrono_literals;

static constexpr Duration faultTime = 30s;

// Longest expected: a backoff of 5 s and its random half, detection, and one more attempt.
static constexpr Duration convergenceTime = 15s;
static constexpr Duration stableTime = 5s;

static const GroupId groupName("scores");

GroupSimulation::GroupSimulation(uint64_t seed, size_t endpointCount, size_t supervisorCount)
    : random(seed)
    , now(1h)
    , checker(endpointCount)
{
    const bool termOfLastEntry = this->chance(50);
    for (size_t index = 0; index < endpointCount; ++index) {
        ModelEndpoint endpoint;
        endpoint.termOfLastEntry = termOfLastEntry;
        endpoint.name = EndpointId("endpoint-" + std::to_string(index));
        endpoint.address = "10.0.0." + std::to_string(index) + ":7000";
        endpoint.heard = this->now;
        this->endpoints.push_back(std::move(endpoint));
    }
    this->inboxes.resize(endpointCount);
    this->supervisors.resize(supervisorCount);
    // Some runs give two VMs the same rank, as inconsistent views do.
    const bool sameRank = this->chance(30);
    for (size_t index = 0; index < supervisorCount; ++index) {
        this->supervisors[index].vm = VmId("vm-" + std::to_string(index));
        this->supervisors[index].rank = sameRank && index == 1 ? 0 : static_cast<uint32_t>(index);
        this->startSupervisor(index);
        this->tick(index);
        this->gossip(index);
    }
    for (size_t index = 0; index < endpointCount; ++index) {
        this->write(index);
        this->replicate(index);
    }
}

void GroupSimulation::run()
{
    const Instant faultsEnd = this->now + faultTime;
    this->injectFault();
    this->runUntil(faultsEnd);
    this->endFaults();
    this->runUntil(faultsEnd + convergenceTime);
    this->checkConverged();
    const size_t promotionsBefore = this->promotions;
    const size_t confirmedBefore = this->confirmedEntries();
    this->runUntil(faultsEnd + convergenceTime + stableTime);
    this->checkConverged();
    if (this->promotions != promotionsBefore)
        throw Violation("the group changed its primary without a fault");
    if (this->confirmedEntries() <= confirmedBefore)
        throw Violation("writes are not confirmed after the faults have ended");
}

Duration GroupSimulation::failoverTime(PrimaryFault fault)
{
    this->faulty = false;
    this->runUntil(this->now + 5s + std::chrono::milliseconds(this->random.below(1000)));
    ModelEndpoint& primary = this->currentPrimary();
    const size_t index = static_cast<size_t>(&primary - this->endpoints.data());
    const Term before = primary.term;
    primary.down = fault == PrimaryFault::Killed;
    primary.frozen = fault == PrimaryFault::Frozen;
    const size_t nodes = this->endpoints.size() + this->supervisors.size();
    for (size_t other = 0; fault == PrimaryFault::CutOff && other < nodes; ++other)
        this->cuts.insert({ std::min(index, other), std::max(index, other) });
    const Instant start = this->now;
    while (this->checker.confirmed().back().term <= before) {
        if (this->now - start > 20s)
            throw Violation("no failover within 20 s");
        this->runUntil(this->now + 10ms);
    }
    return this->now - start;
}

ModelEndpoint& GroupSimulation::currentPrimary()
{
    for (ModelEndpoint& endpoint : this->endpoints) {
        if (endpoint.mayWrite())
            return endpoint;
    }
    throw Violation("no member is primary in a group without faults");
}

void GroupSimulation::after(Duration wait, std::function<void()> action)
{
    this->timers.push({ this->now + wait, ++this->sequence, std::move(action) });
}

void GroupSimulation::runUntil(Instant end)
{
    while (!this->timers.empty() && this->timers.top().at <= end) {
        const Timer timer = this->timers.top();
        this->timers.pop();
        this->now = timer.at;
        timer.action();
    }
    this->now = end;
}

bool GroupSimulation::chance(uint64_t percent) { return this->random.below(100) < percent; }

Duration GroupSimulation::delay()
{
    const Duration usual = 1ms + std::chrono::microseconds(this->random.below(3000));
    // A tenth of the messages is overtaken by later ones, or arrives after the sender's timeout.
    return this->faulty && this->chance(10) ? usual + std::chrono::milliseconds(this->random.below(1500)) : usual;
}

bool GroupSimulation::linked(size_t left, size_t right) const
{
    return !this->cuts.contains({ std::min(left, right), std::max(left, right) });
}

void GroupSimulation::startSupervisor(size_t index)
{
    Supervisor& supervisor = this->supervisors[index];
    ++supervisor.generation;
    supervisor.waiting.clear();
    supervisor.reducer.emplace(GroupSettings {}, supervisor.vm);
    if (index == 0)
        this->recorded.clear();
    this->configure(index);
    this->feed(index, WatchRankChanged { this->now, groupName, supervisor.rank });
}

void GroupSimulation::configure(size_t index)
{
    DatabaseGroup group;
    group.name = groupName;
    for (size_t member = 0; member < this->endpoints.size(); ++member) {
        Endpoint endpoint;
        endpoint.name = this->endpoints[member].name;
        endpoint.address = this->endpoints[member].address;
        if (this->leaving == member)
            endpoint.labels["leaving"] = "true";
        group.endpoints.push_back(std::move(endpoint));
    }
    this->feed(index, GroupsConfigured { this->now, { std::move(group) } });
}

void GroupSimulation::tick(size_t index)
{
    this->feed(index, GroupTick { this->now, this->random.next() });
    this->after(100ms, [this, index] { this->tick(index); });
}

void GroupSimulation::gossip(size_t index)
{
    for (const GroupView& view : this->supervisors[index].reducer->views())
        this->share(index, view);
    this->after(500ms, [this, index] { this->gossip(index); });
}

void GroupSimulation::share(size_t index, const GroupView& view)
{
    for (size_t other = 0; other < this->supervisors.size(); ++other) {
        if (other == index || !this->linked(this->nodeOf(index), this->nodeOf(other)))
            continue;
        if (!this->faulty || !this->chance(20))
            this->after(this->delay(), [this, other, view] { this->feed(other, GroupViewLearnt { {}, view }); });
    }
}

void GroupSimulation::feed(size_t index, GroupEvent event)
{
    Supervisor& supervisor = this->supervisors[index];
    if (supervisor.paused) {
        if (!std::holds_alternative<GroupTick>(event))
            supervisor.waiting.push_back(std::move(event));
        return;
    }
    std::visit([this](auto& content) { content.now = this->now; }, event);
    const auto effects = supervisor.reducer->handle(event);
    if (index == 0)
        this->recorded.emplace_back(std::move(event), effects);
    for (const GroupEffect& effect : effects)
        this->perform(index, effect);
}

void GroupSimulation::perform(size_t index, const GroupEffect& effect)
{
    if (const auto* query = std::get_if<QueryStatus>(&effect)) {
        this->request(index, query->endpoint, [this](ModelEndpoint& endpoint) -> GroupEvent {
            return StatusReceived { {}, endpoint.name, endpoint.status(this->now) };
        });
    } else if (const auto* fence = std::get_if<SendFence>(&effect)) {
        this->request(index, fence->endpoint, [this, term = fence->term](ModelEndpoint& endpoint) -> GroupEvent {
            const bool accepted = endpoint.fence(term);
            if (accepted)
                this->checker.fenced(endpoint, term);
            const LogPosition last = lastPosition(endpoint.log);
            return FenceAnswered { {}, endpoint.name, term, accepted, endpoint.promised, last.term, last.position };
        });
    } else if (const auto* promote = std::get_if<SendPromote>(&effect)) {
        this->request(index, promote->endpoint, [this, term = promote->term](ModelEndpoint& endpoint) -> GroupEvent {
            const Log before = endpoint.log;
            const bool repeated = endpoint.primary && endpoint.term == term;
            const bool accepted = endpoint.promote(term);
            if (accepted && !repeated) {
                ++this->promotions;
                this->checker.promoted(endpoint, term, before);
            }
            return PromoteAnswered { {}, endpoint.name, term, accepted };
        });
    } else if (const auto* follow = std::get_if<SendFollow>(&effect)) {
        this->request(index, follow->endpoint, [this, sent = *follow](ModelEndpoint& endpoint) -> GroupEvent {
            const bool accepted = endpoint.follow(sent.term, sent.primaryAddress, this->now);
            return FollowAnswered { {}, endpoint.name, sent.term, accepted };
        });
    } else if (const auto* changed = std::get_if<GroupChanged>(&effect); changed && changed->announce) {
        this->share(index, changed->view);
    }
}

void GroupSimulation::request(size_t index, const EndpointId& name, const Command& command)
{
    const size_t target = static_cast<size_t>(std::find_if(this->endpoints.begin(), this->endpoints.end(),
                                                  [&name](const auto& endpoint) { return endpoint.name == name; })
        - this->endpoints.begin());
    const uint64_t generation = this->supervisors[index].generation;
    auto finished = std::make_shared<bool>(false);
    const auto respond = [this, index, generation, finished](const GroupEvent& event) {
        // Answers after the timeout and repeated ones are passed on now and then, although the network layer would
        // discard them.
        const bool surplus = *finished;
        *finished = true;
        if (this->supervisors[index].generation == generation && (!surplus || this->chance(30)))
            this->feed(index, event);
    };
    const auto deliver = [this, index, target, command, respond] {
        if (!this->linked(this->nodeOf(index), target))
            return;
        if (this->endpoints[target].down) {
            respond(EndpointFailed { {}, this->endpoints[target].name });
            return;
        }
        this->arrive(target, [this, index, target, command, respond] {
            const GroupEvent answer = command(this->endpoints[target]);
            if (this->linked(this->nodeOf(index), target) && !(this->faulty && this->chance(5)))
                this->after(this->delay(), [respond, answer] { respond(answer); });
        });
    };
    if (!this->faulty || !this->chance(5))
        this->after(this->delay(), deliver);
    if (this->faulty && this->chance(5))
        this->after(this->delay(), deliver);
    this->after(700ms, [finished, respond, name] {
        if (!*finished)
            respond(EndpointFailed { {}, name });
    });
}

void GroupSimulation::arrive(size_t endpoint, std::function<void()> action)
{
    if (this->endpoints[endpoint].frozen)
        this->inboxes[endpoint].push_back(std::move(action));
    else
        action();
}

void GroupSimulation::write(size_t index)
{
    ModelEndpoint& endpoint = this->endpoints[index];
    if (endpoint.mayWrite()) {
        endpoint.log.push_back({ endpoint.term, this->nextEntry++ });
        this->acknowledge(index, endpoint.term, endpoint.name, endpoint.log.size());
    }
    this->after(100ms, [this, index] { this->write(index); });
}

void GroupSimulation::replicate(size_t index)
{
    const ModelEndpoint& primary = this->endpoints[index];
    this->after(70ms, [this, index] { this->replicate(index); });
    if (!primary.mayWrite())
        return;
    const auto log = std::make_shared<const Log>(primary.log);
    for (size_t other = 0; other < this->endpoints.size(); ++other) {
        if (other == index || !this->linked(index, other) || (this->faulty && this->chance(10)))
            continue;
        this->after(this->delay(), [this, index, other, log, term = primary.term] {
            if (this->endpoints[other].down)
                return;
            this->arrive(other, [this, index, other, log, term] {
                ModelEndpoint& replica = this->endpoints[other];
                if (replica.replicate(term, this->endpoints[index].address, *log, this->now)
                    && this->linked(index, other))
                    this->after(this->delay(), [this, index, term, name = replica.name, size = replica.log.size()] {
                        this->acknowledge(index, term, name, size);
                    });
            });
        });
    }
}

void GroupSimulation::acknowledge(size_t primary, const Term& term, const EndpointId& holder, size_t size)
{
    // A primary that was deposed has lost the connections of its callers.
    if (this->endpoints[primary].term == term && this->endpoints[primary].primary)
        this->checker.acknowledged(this->endpoints[primary], term, holder, size);
}

void GroupSimulation::injectFault()
{
    if (!this->faulty)
        return;
    const uint64_t kind = this->random.below(10);
    if (kind < 4)
        this->cutFault();
    else if (kind < 8)
        this->endpointFault();
    else
        this->supervisorFault();
    this->after(std::chrono::milliseconds(200 + this->random.below(1500)), [this] { this->injectFault(); });
}

void GroupSimulation::cutFault()
{
    const size_t nodes = this->endpoints.size() + this->supervisors.size();
    const uint64_t kind = this->random.below(8);
    if (kind >= 4 || kind == 0) {
        this->cuts.clear();
        return;
    }
    const uint64_t sides = this->random.next();
    const size_t single = this->random.below(nodes);
    const size_t partner = this->random.below(nodes);
    for (size_t left = 0; left < nodes; ++left) {
        for (size_t right = left + 1; right < nodes; ++right) {
            const bool pair = std::minmax(single, partner) == std::minmax(left, right);
            const bool one = left == single || right == single;
            const bool apart = ((sides >> left) & 1U) != ((sides >> right) & 1U);
            if ((kind == 1 && pair) || (kind == 2 && one) || (kind == 3 && apart))
                this->cuts.insert({ left, right });
        }
    }
}

void GroupSimulation::endpointFault()
{
    size_t index = this->random.below(this->endpoints.size());
    // Half of the faults hit the primary, so that most runs see several terms.
    for (size_t member = 0; this->chance(50) && member < this->endpoints.size(); ++member) {
        if (this->endpoints[member].term > this->endpoints[index].term || this->endpoints[member].mayWrite())
            index = member;
    }
    ModelEndpoint& endpoint = this->endpoints[index];
    const Duration length = std::chrono::milliseconds(100 + this->random.below(5000));
    const uint64_t kind = this->random.below(5);
    if (kind < 2) {
        endpoint.down = true;
        // Some databases keep their role over a restart.
        const bool keepsRole = this->chance(30);
        this->after(length, [this, index, keepsRole] {
            this->endpoints[index].down = false;
            this->endpoints[index].primary = this->endpoints[index].primary && keepsRole;
        });
    } else if (kind < 4) {
        endpoint.frozen = true;
        this->after(length, [this, index] { this->thaw(index); });
    } else {
        this->leaving = this->chance(50) ? std::optional(index) : std::nullopt;
        for (size_t supervisor = 0; supervisor < this->supervisors.size(); ++supervisor)
            this->configure(supervisor);
    }
}

void GroupSimulation::thaw(size_t index)
{
    this->endpoints[index].frozen = false;
    auto waiting = std::exchange(this->inboxes[index], {});
    for (const auto& action : waiting)
        action();
}

void GroupSimulation::supervisorFault()
{
    const size_t index = this->random.below(this->supervisors.size());
    if (this->chance(50)) {
        this->startSupervisor(index);
        return;
    }
    this->supervisors[index].paused = true;
    this->after(std::chrono::milliseconds(100 + this->random.below(4000)), [this, index] {
        this->supervisors[index].paused = false;
        auto waiting = std::exchange(this->supervisors[index].waiting, {});
        for (GroupEvent& event : waiting)
            this->feed(index, std::move(event));
    });
}

void GroupSimulation::endFaults()
{
    this->faulty = false;
    this->cuts.clear();
    for (size_t index = 0; index < this->endpoints.size(); ++index) {
        this->endpoints[index].down = false;
        this->thaw(index);
    }
}

void GroupSimulation::checkConverged() const
{
    const ModelEndpoint* primary = nullptr;
    for (const ModelEndpoint& endpoint : this->endpoints) {
        if (endpoint.primary && primary)
            throw Violation("two members believe that they are primary after the faults have ended");
        if (endpoint.primary)
            primary = &endpoint;
    }
    if (!primary)
        throw Violation("no member is primary after the faults have ended");
    if (this->leaving && primary->name == this->endpoints[*this->leaving].name)
        throw Violation("a leaving member stays primary");
    this->checkFollowers(*primary);
}

void GroupSimulation::checkFollowers(const ModelEndpoint& primary) const
{
    for (const ModelEndpoint& endpoint : this->endpoints) {
        const bool follows = endpoint.following == primary.address || &endpoint == &primary;
        if (endpoint.term != primary.term || endpoint.promised != primary.term || !follows
            || !agree(endpoint.log, primary.log))
            throw Violation(endpoint.name.str() + " does not follow the primary after the faults have ended");
    }
    for (const Supervisor& supervisor : this->supervisors) {
        if (*supervisor.reducer->findView(groupName) != GroupView { groupName, primary.term, primary.name })
            throw Violation(supervisor.vm.str() + " does not know the primary after the faults have ended");
        if (!supervisor.reducer->isMajorityReachable(groupName))
            throw Violation(supervisor.vm.str() + " reaches no majority after the faults have ended");
    }
}

} // namespace Lavendervane::Test
