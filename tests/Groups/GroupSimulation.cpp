#include "Groups/GroupSimulation.h"

#include <algorithm>
#include <sstream>

namespace Lavendervane::Test {

using namespace std::chrono_literals;

static constexpr Duration faultDuration = 30s;

// The longest expected time is a backoff of 5 s plus its random half, failure detection and one more attempt.
static constexpr Duration convergenceLimit = 15s;
static constexpr Duration stableDuration = 5s;

static const GroupId groupName("scores");

GroupSimulation::GroupSimulation(uint64_t seed, size_t endpointCount, size_t supervisorCount)
    : random(seed)
    , now(1h)
    , checker(endpointCount)
{
    const bool reportsLastEntryTerm = this->chance(50);
    for (size_t index = 0; index < endpointCount; ++index) {
        ModelEndpoint endpoint;
        endpoint.reportsLastEntryTerm = reportsLastEntryTerm;
        endpoint.name = EndpointId("endpoint-" + std::to_string(index));
        endpoint.address = "10.0.0." + std::to_string(index) + ":7000";
        endpoint.primaryHeardAt = this->now;
        this->endpoints.push_back(std::move(endpoint));
    }
    this->pendingActions.resize(endpointCount);
    this->supervisors.resize(supervisorCount);
    // Some runs give two VMs the same rank, as happens when they have different views of the membership.
    const bool sameRank = this->chance(30);
    for (size_t index = 0; index < supervisorCount; ++index) {
        this->supervisors[index].vm = VmId("vm-" + std::to_string(index));
        this->supervisors[index].rank = sameRank && index == 1 ? 0 : static_cast<uint32_t>(index);
        this->startSupervisor(index);
        this->tickPeriodically(index);
        this->gossipPeriodically(index);
    }
    for (size_t index = 0; index < endpointCount; ++index) {
        this->writePeriodically(index);
        this->replicatePeriodically(index);
    }
}

void GroupSimulation::run()
{
    const Instant faultsEnd = this->now + faultDuration;
    this->injectFault();
    this->runUntil(faultsEnd);
    this->endAllFaults();
    this->runUntil(faultsEnd + convergenceLimit);
    this->checkConverged();
    const size_t promotionsBefore = this->promotions;
    const size_t confirmedBefore = this->confirmedEntries();
    this->runUntil(faultsEnd + convergenceLimit + stableDuration);
    this->checkConverged();
    if (this->promotions != promotionsBefore)
        throw InvariantViolation("the group changed its primary without a fault");
    if (this->confirmedEntries() <= confirmedBefore)
        throw InvariantViolation("writes are not confirmed after the faults have ended");
}

Duration GroupSimulation::measureFailover(PrimaryFault fault)
{
    this->faultsEnabled = false;
    this->runUntil(this->now + 5s + std::chrono::milliseconds(this->random.below(1000)));
    ModelEndpoint& primary = this->currentPrimary();
    const size_t index = static_cast<size_t>(&primary - this->endpoints.data());
    const Term before = primary.term;
    primary.down = fault == PrimaryFault::Killed;
    primary.suspended = fault == PrimaryFault::Suspended;
    const size_t nodes = this->endpoints.size() + this->supervisors.size();
    for (size_t other = 0; fault == PrimaryFault::Isolated && other < nodes; ++other)
        this->brokenLinks.insert({ std::min(index, other), std::max(index, other) });
    const Instant start = this->now;
    while (this->checker.confirmed().back().term <= before) {
        if (this->now - start > 20s)
            throw InvariantViolation("no failover within 20 s");
        this->runUntil(this->now + 10ms);
    }
    return this->now - start;
}

ModelEndpoint& GroupSimulation::currentPrimary()
{
    for (ModelEndpoint& endpoint : this->endpoints) {
        if (endpoint.canWrite())
            return endpoint;
    }
    throw InvariantViolation("no member is primary in a group without faults");
}

void GroupSimulation::schedule(Duration wait, std::function<void()> action)
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

Duration GroupSimulation::randomDelay()
{
    const Duration baseDelay = 1ms + std::chrono::microseconds(this->random.below(3000));
    // During faults, 10% of the messages are delayed by up to 1.5 s, so that they arrive out of order or after the
    // timeout.
    return this->faultsEnabled && this->chance(10) ? baseDelay + std::chrono::milliseconds(this->random.below(1500))
                                                   : baseDelay;
}

bool GroupSimulation::isConnected(size_t left, size_t right) const
{
    return !this->brokenLinks.contains({ std::min(left, right), std::max(left, right) });
}

void GroupSimulation::startSupervisor(size_t index)
{
    Supervisor& supervisor = this->supervisors[index];
    ++supervisor.generation;
    supervisor.queuedEvents.clear();
    supervisor.reducer.emplace(GroupSettings {}, supervisor.vm);
    if (index == 0)
        this->recordedTrace.clear();
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

void GroupSimulation::tickPeriodically(size_t index)
{
    this->feed(index, GroupTick { this->now, this->random.next() });
    this->schedule(100ms, [this, index] { this->tickPeriodically(index); });
}

void GroupSimulation::gossipPeriodically(size_t index)
{
    for (const GroupView& view : this->supervisors[index].reducer->views())
        this->sendViewToPeers(index, view);
    this->schedule(500ms, [this, index] { this->gossipPeriodically(index); });
}

void GroupSimulation::sendViewToPeers(size_t index, const GroupView& view)
{
    for (size_t other = 0; other < this->supervisors.size(); ++other) {
        if (other == index || !this->isConnected(this->nodeIndexOf(index), this->nodeIndexOf(other)))
            continue;
        if (!this->faultsEnabled || !this->chance(20))
            this->schedule(this->randomDelay(), [this, other, view] {
                this->feed(other, GroupViewLearnt { {}, view });
            });
    }
}

void GroupSimulation::feed(size_t index, GroupEvent event)
{
    Supervisor& supervisor = this->supervisors[index];
    if (supervisor.paused) {
        if (!std::holds_alternative<GroupTick>(event))
            supervisor.queuedEvents.push_back(std::move(event));
        return;
    }
    std::visit([this](auto& content) { content.now = this->now; }, event);
    const auto effects = supervisor.reducer->handle(event);
    if (index == 0)
        this->recordedTrace.emplace_back(std::move(event), effects);
    for (const GroupEffect& effect : effects)
        this->execute(index, effect);
}

void GroupSimulation::execute(size_t index, const GroupEffect& effect)
{
    if (const auto* query = std::get_if<QueryStatus>(&effect)) {
        this->sendCommand(index, query->endpoint, [this](ModelEndpoint& endpoint) -> GroupEvent {
            return StatusReceived { {}, endpoint.name, endpoint.status(this->now) };
        });
    } else if (const auto* fence = std::get_if<SendFence>(&effect)) {
        this->sendCommand(index, fence->endpoint, [this, term = fence->term](ModelEndpoint& endpoint) -> GroupEvent {
            const bool accepted = endpoint.fence(term);
            if (accepted)
                this->checker.onFenced(endpoint, term);
            const LogPosition last = lastPosition(endpoint.log);
            return FenceAnswered { {}, endpoint.name, term, accepted, endpoint.promised, last.term, last.position };
        });
    } else if (const auto* promote = std::get_if<SendPromote>(&effect)) {
        this->sendCommand(
            index, promote->endpoint, [this, term = promote->term](ModelEndpoint& endpoint) -> GroupEvent {
                const Log before = endpoint.log;
                const bool repeated = endpoint.primary && endpoint.term == term;
                const bool accepted = endpoint.promote(term);
                if (accepted && !repeated) {
                    ++this->promotions;
                    this->checker.onPromoted(endpoint, term, before);
                }
                return PromoteAnswered { {}, endpoint.name, term, accepted };
            });
    } else if (const auto* follow = std::get_if<SendFollow>(&effect)) {
        this->sendCommand(index, follow->endpoint, [this, sent = *follow](ModelEndpoint& endpoint) -> GroupEvent {
            const bool accepted = endpoint.follow(sent.term, sent.primaryAddress, this->now);
            return FollowAnswered { {}, endpoint.name, sent.term, accepted };
        });
    } else if (const auto* changed = std::get_if<GroupChanged>(&effect); changed && changed->announce) {
        this->sendViewToPeers(index, changed->view);
    }
}

void GroupSimulation::sendCommand(size_t index, const EndpointId& name, const Command& command)
{
    const size_t target = static_cast<size_t>(std::find_if(this->endpoints.begin(), this->endpoints.end(),
                                                  [&name](const auto& endpoint) { return endpoint.name == name; })
        - this->endpoints.begin());
    const uint64_t generation = this->supervisors[index].generation;
    auto answered = std::make_shared<bool>(false);
    const auto respond = [this, index, generation, answered](const GroupEvent& event) {
        // 30% of the late and repeated answers are delivered, although the network layer would discard them.
        const bool alreadyAnswered = *answered;
        *answered = true;
        if (this->supervisors[index].generation == generation && (!alreadyAnswered || this->chance(30)))
            this->feed(index, event);
    };
    const auto deliver = [this, index, target, command, respond] {
        if (!this->isConnected(this->nodeIndexOf(index), target))
            return;
        if (this->endpoints[target].down) {
            respond(EndpointFailed { {}, this->endpoints[target].name });
            return;
        }
        this->runUnlessSuspended(target, [this, index, target, command, respond] {
            const GroupEvent answer = command(this->endpoints[target]);
            if (this->isConnected(this->nodeIndexOf(index), target) && !(this->faultsEnabled && this->chance(5)))
                this->schedule(this->randomDelay(), [respond, answer] { respond(answer); });
        });
    };
    if (!this->faultsEnabled || !this->chance(5))
        this->schedule(this->randomDelay(), deliver);
    if (this->faultsEnabled && this->chance(5))
        this->schedule(this->randomDelay(), deliver);
    this->schedule(700ms, [answered, respond, name] {
        if (!*answered)
            respond(EndpointFailed { {}, name });
    });
}

void GroupSimulation::runUnlessSuspended(size_t endpoint, std::function<void()> action)
{
    if (this->endpoints[endpoint].suspended)
        this->pendingActions[endpoint].push_back(std::move(action));
    else
        action();
}

void GroupSimulation::writePeriodically(size_t index)
{
    ModelEndpoint& endpoint = this->endpoints[index];
    if (endpoint.canWrite()) {
        endpoint.log.push_back({ endpoint.term, this->nextEntry++ });
        this->acknowledge(index, endpoint.term, endpoint.name, endpoint.log.size());
    }
    this->schedule(100ms, [this, index] { this->writePeriodically(index); });
}

void GroupSimulation::replicatePeriodically(size_t index)
{
    const ModelEndpoint& primary = this->endpoints[index];
    this->schedule(70ms, [this, index] { this->replicatePeriodically(index); });
    if (!primary.canWrite())
        return;
    const auto log = std::make_shared<const Log>(primary.log);
    for (size_t other = 0; other < this->endpoints.size(); ++other) {
        if (other == index || !this->isConnected(index, other) || (this->faultsEnabled && this->chance(10)))
            continue;
        this->schedule(this->randomDelay(), [this, index, other, log, term = primary.term] {
            if (this->endpoints[other].down)
                return;
            this->runUnlessSuspended(other, [this, index, other, log, term] {
                ModelEndpoint& replica = this->endpoints[other];
                if (replica.replicate(term, this->endpoints[index].address, *log, this->now)
                    && this->isConnected(index, other))
                    this->schedule(
                        this->randomDelay(), [this, index, term, name = replica.name, size = replica.log.size()] {
                            this->acknowledge(index, term, name, size);
                        });
            });
        });
    }
}

void GroupSimulation::acknowledge(size_t primary, const Term& term, const EndpointId& holder, size_t size)
{
    // A deposed primary has lost the connections of its clients, so nobody sees its acknowledgements.
    if (this->endpoints[primary].term == term && this->endpoints[primary].primary)
        this->checker.onAcknowledged(this->endpoints[primary], term, holder, size);
}

void GroupSimulation::injectFault()
{
    if (!this->faultsEnabled)
        return;
    const uint64_t kind = this->random.below(10);
    if (kind < 4)
        this->injectLinkFault();
    else if (kind < 8)
        this->injectEndpointFault();
    else
        this->injectSupervisorFault();
    this->schedule(std::chrono::milliseconds(200 + this->random.below(1500)), [this] { this->injectFault(); });
}

void GroupSimulation::injectLinkFault()
{
    const size_t nodes = this->endpoints.size() + this->supervisors.size();
    const uint64_t kind = this->random.below(8);
    if (kind >= 4 || kind == 0) {
        this->brokenLinks.clear();
        return;
    }
    const uint64_t partitionMask = this->random.next();
    const size_t isolatedNode = this->random.below(nodes);
    const size_t peerNode = this->random.below(nodes);
    for (size_t left = 0; left < nodes; ++left) {
        for (size_t right = left + 1; right < nodes; ++right) {
            const bool isChosenPair = std::minmax(isolatedNode, peerNode) == std::minmax(left, right);
            const bool touchesIsolatedNode = left == isolatedNode || right == isolatedNode;
            const bool isAcrossPartition = ((partitionMask >> left) & 1U) != ((partitionMask >> right) & 1U);
            if ((kind == 1 && isChosenPair) || (kind == 2 && touchesIsolatedNode) || (kind == 3 && isAcrossPartition))
                this->brokenLinks.insert({ left, right });
        }
    }
}

void GroupSimulation::injectEndpointFault()
{
    size_t index = this->random.below(this->endpoints.size());
    // Half of the faults affect the primary, so that most runs have several terms.
    for (size_t member = 0; this->chance(50) && member < this->endpoints.size(); ++member) {
        if (this->endpoints[member].term > this->endpoints[index].term || this->endpoints[member].canWrite())
            index = member;
    }
    ModelEndpoint& endpoint = this->endpoints[index];
    const Duration length = std::chrono::milliseconds(100 + this->random.below(5000));
    const uint64_t kind = this->random.below(5);
    if (kind < 2) {
        endpoint.down = true;
        // Some databases keep their role across a restart.
        const bool keepsRole = this->chance(30);
        this->schedule(length, [this, index, keepsRole] {
            this->endpoints[index].down = false;
            this->endpoints[index].primary = this->endpoints[index].primary && keepsRole;
        });
    } else if (kind < 4) {
        endpoint.suspended = true;
        this->schedule(length, [this, index] { this->resumeEndpoint(index); });
    } else {
        this->leaving = this->chance(50) ? std::optional(index) : std::nullopt;
        for (size_t supervisor = 0; supervisor < this->supervisors.size(); ++supervisor)
            this->configure(supervisor);
    }
}

void GroupSimulation::resumeEndpoint(size_t index)
{
    this->endpoints[index].suspended = false;
    auto waiting = std::exchange(this->pendingActions[index], {});
    for (const auto& action : waiting)
        action();
}

void GroupSimulation::injectSupervisorFault()
{
    const size_t index = this->random.below(this->supervisors.size());
    if (this->chance(50)) {
        this->startSupervisor(index);
        return;
    }
    this->supervisors[index].paused = true;
    this->schedule(std::chrono::milliseconds(100 + this->random.below(4000)), [this, index] {
        this->supervisors[index].paused = false;
        auto waiting = std::exchange(this->supervisors[index].queuedEvents, {});
        for (GroupEvent& event : waiting)
            this->feed(index, std::move(event));
    });
}

void GroupSimulation::endAllFaults()
{
    this->faultsEnabled = false;
    this->brokenLinks.clear();
    for (size_t index = 0; index < this->endpoints.size(); ++index) {
        this->endpoints[index].down = false;
        this->resumeEndpoint(index);
    }
}

void GroupSimulation::checkConverged() const
{
    const ModelEndpoint* primary = nullptr;
    for (const ModelEndpoint& endpoint : this->endpoints) {
        if (endpoint.primary && primary)
            throw InvariantViolation("two members believe that they are primary after the faults have ended");
        if (endpoint.primary)
            primary = &endpoint;
    }
    if (!primary)
        throw InvariantViolation("no member is primary after the faults have ended");
    if (this->leaving && primary->name == this->endpoints[*this->leaving].name)
        throw InvariantViolation("a leaving member stays primary");
    this->checkFollowers(*primary);
}

void GroupSimulation::checkFollowers(const ModelEndpoint& primary) const
{
    for (const ModelEndpoint& endpoint : this->endpoints) {
        const bool follows = endpoint.followedAddress == primary.address || &endpoint == &primary;
        if (endpoint.term != primary.term || endpoint.promised != primary.term || !follows
            || !logsAgree(endpoint.log, primary.log))
            throw InvariantViolation(endpoint.name.str() + " does not follow the primary after the faults have ended");
    }
    for (const Supervisor& supervisor : this->supervisors) {
        if (*supervisor.reducer->findView(groupName) != GroupView { groupName, primary.term, primary.name })
            throw InvariantViolation(supervisor.vm.str() + " does not know the primary after the faults have ended");
        if (!supervisor.reducer->isMajorityReachable(groupName))
            throw InvariantViolation(supervisor.vm.str() + " reaches no majority after the faults have ended");
    }
}

} // namespace Lavendervane::Test
