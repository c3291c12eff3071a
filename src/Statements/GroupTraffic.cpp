#include "Statements/GroupTraffic.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// A replica that lacked a position is asked again after this time; replication delays of healthy groups are shorter.
static constexpr Duration laggingPause = std::chrono::milliseconds(200);
// Expected extra cost of an endpoint in another data centre: a round trip over links of 1 to 2 ms one way.
static constexpr Duration otherDataCentreCost = std::chrono::milliseconds(3);
// Expected extra cost of a replica that mostly serves other organisations of this VM: its connections belong to them.
static constexpr Duration otherHomeCost = std::chrono::milliseconds(10);
// Reads prefer replicas unless the primary is expected to answer this much sooner. More than the opening of a
// connection, or reads would stay where connections are already.
static constexpr Duration primaryPenalty = std::chrono::milliseconds(40);

// A sign of life this young shows that the endpoint is reachable.
static constexpr Duration recentlyHeard = std::chrono::milliseconds(250);

// Links over an owner cost neither a slot nor one of the endpoint's connections, so a VM may have one for each
// organisation with statements under way.
static constexpr uint32_t relayedLinks = 64;
// Longest time to find an owner that answers, several silent ones included.
static constexpr Duration relayedOpenTimeout = std::chrono::milliseconds(1500);
// Expected time of a round trip to an owner within a region.
static constexpr Duration relayedOpenTime = std::chrono::milliseconds(3);

GroupTraffic::GroupTraffic(GroupId name, GroupTrafficSettings settings, Timers& timers, EndpointConnector& direct,
    EndpointConnector& relay, EndpointObserver& observer)
    : name(std::move(name))
    , settings(std::move(settings))
    , timers(timers)
    , direct(direct)
    , relay(relay)
    , observer(observer)
{
}

GroupTraffic::Member GroupTraffic::makeMember(const RegisteredEndpoint& endpoint, bool relayed)
{
    EndpointPoolSettings poolSettings;
    if (relayed) {
        poolSettings.connectTimeout = relayedOpenTimeout;
        poolSettings.concurrentOpens = relayedLinks;
        poolSettings.assumedOpenTime = relayedOpenTime;
    }
    EndpointConnector& connector = relayed ? this->relay : this->direct;
    Member made;
    made.pool = std::make_shared<EndpointPool>(endpoint, this->timers, connector, this->observer, poolSettings);
    made.relayed = relayed;
    return made;
}

bool GroupTraffic::takesWork(const Member& member) const
{
    return !member.leavingSince || this->timers.now() < *member.leavingSince + this->settings.drainLimit;
}

void GroupTraffic::update(const std::vector<RegisteredEndpoint>& endpoints, const Directory& directory)
{
    std::map<EndpointId, Member> kept;
    bool rolesChanged = false;
    for (const RegisteredEndpoint& endpoint : endpoints) {
        const bool relayed = directory.isRelayed(endpoint);
        const auto known = this->members.find(endpoint.id);
        Member member;
        if (known != this->members.end() && known->second.relayed == relayed
            && known->second.pool->endpoint().isSameRun(endpoint)) {
            member = known->second;
            rolesChanged = rolesChanged || member.pool->endpoint().role != endpoint.role;
            member.pool->update(endpoint);
        } else {
            member = this->makeMember(endpoint, relayed);
            rolesChanged = true;
        }
        if (!endpoint.draining)
            member.leavingSince.reset();
        else if (!member.leavingSince)
            member.leavingSince = this->timers.now();
        member.pool->setConnectionLimit(relayed ? relayedLinks : directory.connectionQuota(endpoint));
        kept.emplace(endpoint.id, std::move(member));
    }
    const auto previous = std::exchange(this->members, std::move(kept));
    for (const auto& [id, member] : previous) {
        if (this->find(id) != member.pool) {
            member.pool->retire();
            rolesChanged = true;
        }
    }
    if (rolesChanged) {
        this->refusedAsPrimary.clear();
        this->notifyChanged();
    }
}

std::shared_ptr<EndpointPool> GroupTraffic::primary() const
{
    std::shared_ptr<EndpointPool> found;
    for (const auto& [id, member] : this->members) {
        const auto& pool = member.pool;
        const bool refused = std::find(this->refusedAsPrimary.begin(), this->refusedAsPrimary.end(), id)
            != this->refusedAsPrimary.end();
        if (refused || !this->takesWork(member) || pool->endpoint().role != EndpointRole::Primary)
            continue;
        // Of two endpoints that call themselves primary, the one with the newer term is.
        if (!found || (pool->position() && (!found->position() || *found->position() < *pool->position())))
            found = pool;
    }
    return found;
}

void GroupTraffic::primaryRefused(const EndpointId& endpoint)
{
    if (std::find(this->refusedAsPrimary.begin(), this->refusedAsPrimary.end(), endpoint)
        == this->refusedAsPrimary.end())
        this->refusedAsPrimary.push_back(endpoint);
}

std::shared_ptr<EndpointPool> GroupTraffic::chooseForRead(
    const LogPosition& required, const OrganisationId& organisation, const std::vector<EndpointId>& tried, Instant now)
{
    const EndpointId home = this->homeOf(organisation);
    std::vector<ReadCandidate> candidates;
    candidates.reserve(this->members.size());
    for (const auto& [id, member] : this->members) {
        const auto& pool = member.pool;
        if (!this->takesWork(member))
            continue;
        ReadCandidate candidate;
        candidate.id = id;
        candidate.primary = pool->endpoint().role == EndpointRole::Primary;
        candidate.reachable = pool->isReachable();
        candidate.draining = pool->endpoint().draining;
        candidate.expectedTime = pool->expectedTime(organisation);
        if (pool->endpoint().dataCentre != this->settings.dataCentre)
            candidate.expectedTime += otherDataCentreCost;
        if (id != home)
            candidate.expectedTime += otherHomeCost;
        candidate.position = pool->position();
        if (const auto lagging = this->laggingUntil.find(id); lagging != this->laggingUntil.end())
            candidate.laggingUntil = lagging->second;
        candidates.push_back(std::move(candidate));
    }
    const auto chosen = Lavendervane::chooseForRead(candidates, required, tried, primaryPenalty, now);
    return chosen ? this->find(*chosen) : nullptr;
}

// Each organisation gets one replica for its reads, because a connection serves one organisation only: spreading every
// organisation over all replicas would need more connections than a VM has.
EndpointId GroupTraffic::homeOf(const OrganisationId& organisation)
{
    const auto usable = [](const EndpointPool& pool) {
        return pool.endpoint().role == EndpointRole::Replica && pool.isReachable() && !pool.endpoint().draining;
    };
    const auto known = this->homes.find(organisation);
    if (known != this->homes.end()) {
        const auto pool = this->find(known->second);
        if (pool && usable(*pool))
            return known->second;
    }
    std::map<EndpointId, size_t> guests;
    for (const auto& [guest, home] : this->homes)
        ++guests[home];
    EndpointId best;
    std::pair<size_t, bool> bestCost;
    for (const auto& [id, member] : this->members) {
        const auto& pool = member.pool;
        if (!usable(*pool))
            continue;
        const std::pair<size_t, bool> cost { guests[id], pool->endpoint().dataCentre != this->settings.dataCentre };
        if (best.empty() || cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    if (best.empty())
        this->homes.erase(organisation);
    else
        this->homes[organisation] = best;
    return best;
}

void GroupTraffic::markLagging(const EndpointId& endpoint, Instant now)
{
    this->laggingUntil[endpoint] = now + laggingPause;
}

std::shared_ptr<EndpointPool> GroupTraffic::find(const EndpointId& endpoint) const
{
    const auto found = this->members.find(endpoint);
    return found == this->members.end() ? nullptr : found->second.pool;
}

Reachability GroupTraffic::reachability(const EndpointId& endpoint, Instant now)
{
    const auto pool = this->find(endpoint);
    if (!pool || !pool->isReachable())
        return Reachability::Unreachable;
    if (now - pool->lastHeard() < recentlyHeard)
        return Reachability::Reachable;
    pool->probe();
    return Reachability::Unknown;
}

uint64_t GroupTraffic::whenChanged(std::function<void()> action)
{
    this->actions.emplace(++this->lastAction, std::move(action));
    return this->lastAction;
}

void GroupTraffic::forget(uint64_t number) { this->actions.erase(number); }

void GroupTraffic::notifyChanged()
{
    for (auto& [number, action] : std::exchange(this->actions, {}))
        action();
}

void GroupTraffic::retireAll()
{
    for (const auto& [id, member] : std::exchange(this->members, {}))
        member.pool->retire();
    this->notifyChanged();
}

} // namespace Lavendervane
