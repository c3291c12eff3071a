#include "Routing/Router.h"

#include <algorithm>

namespace Lavendervane {

using namespace std::chrono_literals;

// Long enough that a burst of requests does not meet the same failure, short enough to find a restarted peer.
static constexpr Duration avoidance = 500ms;

// A measured lag says nothing about a replica after this time.
static constexpr Duration lagValidity = 1s;

// A replica further behind than this is not expected to catch up within the coverage wait of 50 ms.
static constexpr Duration hopelessLag = 200ms;

void Router::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    this->current = std::move(snapshot);
    std::erase_if(this->learntTerms, [this](const auto& entry) {
        const GroupRouting* group = this->findGroup(entry.first);
        return !group || group->term >= entry.second.term;
    });
    std::erase_if(this->states,
        [this](const auto& entry) { return !entry.second.running && !this->current->endpoints.contains(entry.first); });
}

void Router::learnPosition(const EndpointId& endpoint, const AppliedPosition& applied, Duration lag, Instant now)
{
    EndpointState& state = this->states[endpoint];
    // Responses of parallel exchanges may arrive out of order.
    if (!state.applied || *state.applied < applied)
        state.applied = applied;
    state.lag = lag;
    state.learnt = now;
}

bool Router::learnTerm(const GroupId& name, const Term& term, const std::optional<EndpointId>& primary)
{
    const Term known = this->term(name);
    if (term > known) {
        this->learntTerms[name] = { term, primary };
        return true;
    }
    const auto found = this->learntTerms.find(name);
    if (found != this->learntTerms.end() && found->second.term == term && primary)
        found->second.primary = primary;
    return false;
}

void Router::recordAttemptStart(const EndpointId& endpoint) { ++this->states[endpoint].running; }

void Router::recordAttemptEnd(const EndpointId& endpoint)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end() && found->second.running)
        --found->second.running;
}

void Router::avoidEndpoint(const EndpointId& endpoint, Instant now)
{
    this->states[endpoint].avoidedUntil = now + avoidance;
}

void Router::avoidVm(const VmId& vm, Instant now) { this->avoidedVms[vm] = now + avoidance; }

const GroupRouting* Router::findGroup(const GroupId& name) const
{
    if (!this->current)
        return nullptr;
    const auto found = this->current->groups.find(name);
    return found == this->current->groups.end() ? nullptr : &found->second;
}

const Router::EndpointState* Router::findState(const EndpointId& endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? nullptr : &found->second;
}

Term Router::term(const GroupId& name) const
{
    const auto learnt = this->learntTerms.find(name);
    const GroupRouting* group = this->findGroup(name);
    Term term = group ? group->term : Term {};
    if (learnt != this->learntTerms.end())
        term = std::max(term, learnt->second.term);
    return term;
}

std::optional<EndpointId> Router::primaryOf(const GroupId& name) const
{
    const auto learnt = this->learntTerms.find(name);
    const GroupRouting* group = this->findGroup(name);
    if (learnt != this->learntTerms.end() && (!group || learnt->second.term > group->term))
        return learnt->second.primary;
    return group ? group->primary : std::nullopt;
}

bool Router::isMajorityReachable(const GroupId& name) const
{
    const GroupRouting* group = this->findGroup(name);
    return !group || group->majorityReachable;
}

bool Router::isReachable(const EndpointId& endpoint) const
{
    const auto found = this->current->endpoints.find(endpoint);
    return found != this->current->endpoints.end() && found->second.reachable;
}

RouteChoice Router::makeChoice(const EndpointRouting& routing, const Term& term, bool primary, Instant now) const
{
    VmId vm = routing.owners.empty() ? this->current->self : routing.owners.front();
    for (const VmId& owner : routing.owners) {
        const auto avoided = this->avoidedVms.find(owner);
        const bool known = owner == this->current->self || this->current->peers.contains(owner);
        if (known && (avoided == this->avoidedVms.end() || avoided->second <= now)) {
            vm = owner;
            break;
        }
    }
    return { routing.endpoint.name, std::move(vm), term, primary };
}

std::optional<RouteChoice> Router::choosePrimary(const GroupId& name, Instant now) const
{
    const auto primary = this->primaryOf(name);
    if (!primary)
        return std::nullopt;
    const auto found = this->current->endpoints.find(*primary);
    if (found == this->current->endpoints.end() || found->second.endpoint.isLeaving())
        return std::nullopt;
    return this->makeChoice(found->second, this->term(name), true, now);
}

/// Lower is better; empty if the replica should not be asked.
std::optional<double> Router::replicaCost(
    const EndpointRouting& routing, const ReadRequirements& requirements, Instant now) const
{
    if (routing.endpoint.isLeaving() || !routing.reachable)
        return std::nullopt;
    const EndpointState* state = this->findState(routing.endpoint.name);
    const bool measured = state && state->applied && now - state->learnt <= lagValidity;
    if (state && state->avoidedUntil > now)
        return std::nullopt;
    double cost = state ? static_cast<double>(state->running) / std::max(1U, routing.endpoint.slots) : 0;
    // One round of queueing at the local replica costs about as much as the way to another data centre.
    if (routing.endpoint.dataCentre != this->current->dataCentre)
        cost += 1;
    if (requirements.maxStaleness) {
        if (measured && state->lag > *requirements.maxStaleness)
            return std::nullopt;
    } else if (requirements.required && !(state && state->applied && state->applied->covers(*requirements.required))) {
        if (measured && state->lag > hopelessLag)
            return std::nullopt;
        // A replica that is known to cover is better than one that may have to wait.
        cost += 1000;
    }
    return cost;
}

std::optional<RouteChoice> Router::chooseRead(
    const GroupId& name, const ReadRequirements& requirements, const std::vector<EndpointId>& excluded, Instant now)
{
    const GroupRouting* group = this->findGroup(name);
    if (!group)
        return std::nullopt;
    const auto isExcluded = [&excluded](const EndpointId& endpoint) {
        return std::find(excluded.begin(), excluded.end(), endpoint) != excluded.end();
    };
    const auto primary = this->primaryOf(name);
    const EndpointRouting* best = nullptr;
    double bestCost = 0;
    uint64_t ties = 0;
    for (const EndpointId& endpoint : group->endpoints) {
        const auto found = this->current->endpoints.find(endpoint);
        if (requirements.primaryOnly || endpoint == primary || isExcluded(endpoint)
            || found == this->current->endpoints.end())
            continue;
        const auto cost = this->replicaCost(found->second, requirements, now);
        if (!cost || (best && *cost > bestCost))
            continue;
        ties = best && *cost == bestCost ? ties + 1 : 1;
        if (ties == 1 || !this->random.below(ties))
            best = &found->second;
        bestCost = *cost;
    }
    if (best)
        return this->makeChoice(*best, this->term(name), false, now);
    if (primary && !isExcluded(*primary))
        return this->choosePrimary(name, now);
    return std::nullopt;
}

} // namespace Lavendervane
