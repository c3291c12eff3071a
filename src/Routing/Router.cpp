#include "Routing/Router.h"

#include <algorithm>

namespace Lavendervane {

using namespace std::chrono_literals;

// How long a failed endpoint or VM is avoided: long enough to keep a burst of requests from running into the same
// failure, short enough to use a restarted peer soon.
static constexpr Duration avoidanceTime = 500ms;

// A measured replication lag is ignored after this time.
static constexpr Duration lagValidity = 1s;

// A replica that lags by more than this is not expected to catch up within the 50 ms that an endpoint waits for a
// required position.
static constexpr Duration maxCatchUpLag = 200ms;

void Router::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    this->currentSnapshot = std::move(snapshot);
    std::erase_if(this->learntTerms, [this](const auto& entry) {
        const GroupRouting* group = this->findGroup(entry.first);
        return !group || group->term >= entry.second.term;
    });
    std::erase_if(this->endpointStates, [this](const auto& entry) {
        return !entry.second.runningAttempts && !this->currentSnapshot->endpoints.contains(entry.first);
    });
}

void Router::learnPosition(const EndpointId& endpoint, const AppliedPosition& applied, Duration lag, Instant now)
{
    EndpointState& state = this->endpointStates[endpoint];
    // Responses of parallel exchanges may arrive out of order, so an older position does not replace a newer one.
    if (!state.applied || *state.applied < applied)
        state.applied = applied;
    state.lag = lag;
    state.learntAt = now;
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

void Router::recordAttemptStart(const EndpointId& endpoint) { ++this->endpointStates[endpoint].runningAttempts; }

void Router::recordAttemptEnd(const EndpointId& endpoint)
{
    const auto found = this->endpointStates.find(endpoint);
    if (found != this->endpointStates.end() && found->second.runningAttempts)
        --found->second.runningAttempts;
}

void Router::avoidEndpoint(const EndpointId& endpoint, Instant now)
{
    this->endpointStates[endpoint].avoidedUntil = now + avoidanceTime;
}

void Router::avoidVm(const VmId& vm, Instant now) { this->avoidedVms[vm] = now + avoidanceTime; }

const GroupRouting* Router::findGroup(const GroupId& name) const
{
    if (!this->currentSnapshot)
        return nullptr;
    const auto found = this->currentSnapshot->groups.find(name);
    return found == this->currentSnapshot->groups.end() ? nullptr : &found->second;
}

const Router::EndpointState* Router::findState(const EndpointId& endpoint) const
{
    const auto found = this->endpointStates.find(endpoint);
    return found == this->endpointStates.end() ? nullptr : &found->second;
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
    const auto found = this->currentSnapshot->endpoints.find(endpoint);
    return found != this->currentSnapshot->endpoints.end() && found->second.reachable;
}

RouteChoice Router::makeChoice(const EndpointRouting& routing, const Term& term, bool primary, Instant now) const
{
    VmId vm = routing.owners.empty() ? this->currentSnapshot->self : routing.owners.front();
    for (const VmId& owner : routing.owners) {
        const auto avoided = this->avoidedVms.find(owner);
        const bool isLive = owner == this->currentSnapshot->self || this->currentSnapshot->peers.contains(owner);
        if (isLive && (avoided == this->avoidedVms.end() || avoided->second <= now)) {
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
    const auto found = this->currentSnapshot->endpoints.find(*primary);
    if (found == this->currentSnapshot->endpoints.end() || found->second.endpoint.isLeaving())
        return std::nullopt;
    return this->makeChoice(found->second, this->term(name), true, now);
}

/// Returns the cost of a read at the replica, or nothing if the replica must not be used. Lower is better.
std::optional<double> Router::replicaCost(
    const EndpointRouting& routing, const ReadRequirements& requirements, Instant now) const
{
    if (routing.endpoint.isLeaving() || !routing.reachable)
        return std::nullopt;
    const EndpointState* state = this->findState(routing.endpoint.name);
    const bool lagIsRecent = state && state->applied && now - state->learntAt <= lagValidity;
    if (state && state->avoidedUntil > now)
        return std::nullopt;
    double cost = state ? static_cast<double>(state->runningAttempts) / std::max(1U, routing.endpoint.slots) : 0;
    // Queueing behind one full set of slots at the local replica costs about as much as the round trip to another
    // data centre.
    if (routing.endpoint.dataCentre != this->currentSnapshot->dataCentre)
        cost += 1;
    if (requirements.maxStaleness) {
        if (lagIsRecent && state->lag > *requirements.maxStaleness)
            return std::nullopt;
    } else if (requirements.required && !(state && state->applied && state->applied->covers(*requirements.required))) {
        if (lagIsRecent && state->lag > maxCatchUpLag)
            return std::nullopt;
        // A replica known to cover the required position is preferred to one that may have to wait for it.
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
        const auto found = this->currentSnapshot->endpoints.find(endpoint);
        if (requirements.primaryOnly || endpoint == primary || isExcluded(endpoint)
            || found == this->currentSnapshot->endpoints.end())
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
