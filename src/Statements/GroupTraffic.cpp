#include "Statements/GroupTraffic.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// After a replica has lacked a required position, reads avoid it for this long. The replication delay of a healthy
// group is shorter.
static constexpr Duration laggingRetryDelay = std::chrono::milliseconds(200);
// Expected additional time for an endpoint in another data centre: one round trip, at 1 to 2 ms in each direction.
static constexpr Duration otherDataCentreCost = std::chrono::milliseconds(3);
// Expected additional time for a replica other than the organisation's preferred one, because most of its connections
// belong to other organisations.
static constexpr Duration nonPreferredReplicaCost = std::chrono::milliseconds(10);
// Reads go to a replica unless the primary is expected to answer this much sooner. The penalty is greater than the time
// to open a connection; otherwise reads would stay at the primary just because connections are open there.
static constexpr Duration primaryPenalty = std::chrono::milliseconds(40);

// An endpoint that has responded this recently is considered reachable.
static constexpr Duration recentContactTime = std::chrono::milliseconds(250);

// A link through an owner VM uses neither a slot nor a connection of the endpoint, so a VM may open one for each
// organisation with statements in progress.
static constexpr uint32_t maxRelayedLinks = 64;
// Time limit for finding an owner VM that answers, including several that do not respond.
static constexpr Duration relayedOpenTimeout = std::chrono::milliseconds(1500);
// Expected time of a round trip to an owner VM within a region.
static constexpr Duration expectedRelayedOpenTime = std::chrono::milliseconds(3);

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
        poolSettings.maxConcurrentOpens = maxRelayedLinks;
        poolSettings.initialOpenTimeEstimate = expectedRelayedOpenTime;
    }
    EndpointConnector& connector = relayed ? this->relay : this->direct;
    Member made;
    made.pool = std::make_shared<EndpointPool>(endpoint, this->timers, connector, this->observer, poolSettings);
    made.isRelayed = relayed;
    return made;
}

bool GroupTraffic::acceptsWork(const Member& member) const
{
    return member.pool->endpoint().acceptsWork(this->timers.now());
}

void GroupTraffic::update(const std::vector<RegisteredEndpoint>& endpoints, const Directory& directory)
{
    const GroupDeclaration* declared = directory.findGroup(this->name);
    if (!declared || !declared->synchronousReplicas)
        this->acknowledgedCommits.reset();
    else if (!this->acknowledgedCommits)
        this->acknowledgedCommits.emplace(this->timers.now());
    std::map<EndpointId, Member> kept;
    bool rolesChanged = false;
    for (const RegisteredEndpoint& endpoint : endpoints) {
        const bool relayed = directory.isRelayed(endpoint);
        const auto known = this->members.find(endpoint.id);
        Member member;
        if (known != this->members.end() && known->second.isRelayed == relayed
            && known->second.pool->endpoint().isSameRun(endpoint)) {
            member = known->second;
            rolesChanged = rolesChanged || member.pool->endpoint().role != endpoint.role;
            member.pool->update(endpoint);
        } else {
            member = this->makeMember(endpoint, relayed);
            rolesChanged = true;
        }
        member.pool->setConnectionLimit(relayed ? maxRelayedLinks : directory.connectionQuota(endpoint));
        // The owners limit what is relayed.
        member.pool->setColdShare(relayed ? std::nullopt : directory.coldShare(endpoint));
        member.hasColdRate = directory.coldShare(endpoint).has_value();
        kept.emplace(endpoint.id, std::move(member));
    }
    const auto previous = std::exchange(this->members, std::move(kept));
    for (const auto& [id, member] : previous) {
        if (this->findPool(id) != member.pool) {
            member.pool->retire();
            rolesChanged = true;
        }
    }
    if (rolesChanged) {
        this->rejectedPrimaries.clear();
        this->runChangeCallbacks();
    }
}

std::shared_ptr<EndpointPool> GroupTraffic::primary() const
{
    std::shared_ptr<EndpointPool> found;
    const bool awaitsSuccessor = this->timers.now() < this->successorAwaitedUntil;
    for (const auto& [id, member] : this->members) {
        const auto& pool = member.pool;
        if (awaitsSuccessor && id != this->successor)
            continue;
        const bool refused = std::find(this->rejectedPrimaries.begin(), this->rejectedPrimaries.end(), id)
            != this->rejectedPrimaries.end();
        if (refused || !this->acceptsWork(member) || pool->endpoint().role != EndpointRole::Primary)
            continue;
        // If two endpoints claim to be the primary, the one with the newer term is.
        if (!found || (pool->position() && (!found->position() || *found->position() < *pool->position())))
            found = pool;
    }
    return found;
}

void GroupTraffic::markNotPrimary(const EndpointId& endpoint)
{
    if (std::find(this->rejectedPrimaries.begin(), this->rejectedPrimaries.end(), endpoint)
        == this->rejectedPrimaries.end())
        this->rejectedPrimaries.push_back(endpoint);
}

void GroupTraffic::awaitSuccessor(const EndpointId& promoted, Instant until)
{
    this->successor = promoted;
    this->successorAwaitedUntil = until;
}

std::shared_ptr<EndpointPool> GroupTraffic::chooseForRead(const LogPosition& required,
    const OrganisationId& organisation, const std::vector<EndpointId>& triedEndpoints, Instant now)
{
    const EndpointId preferred = this->preferredReplicaFor(organisation);
    std::vector<ReadCandidate> candidates;
    candidates.reserve(this->members.size());
    for (const auto& [id, member] : this->members) {
        const auto& pool = member.pool;
        if (!this->acceptsWork(member))
            continue;
        ReadCandidate candidate;
        candidate.id = id;
        candidate.primary = pool->endpoint().role == EndpointRole::Primary;
        candidate.reachable = pool->isReachable();
        // An endpoint that is slow after its start warms up without requests, so it gets only what no other one can
        // take.
        candidate.draining = pool->endpoint().isLeaving() || (member.hasColdRate && now < pool->endpoint().coldUntil);
        candidate.expectedTime = pool->expectedTime(organisation);
        if (pool->endpoint().dataCentre != this->settings.dataCentre)
            candidate.expectedTime += otherDataCentreCost;
        if (id != preferred)
            candidate.expectedTime += nonPreferredReplicaCost;
        candidate.position = pool->position();
        if (const auto lagging = this->laggingUntil.find(id); lagging != this->laggingUntil.end())
            candidate.laggingUntil = lagging->second;
        candidates.push_back(std::move(candidate));
    }
    const auto chosen = Lavendervane::chooseForRead(candidates, required, triedEndpoints, primaryPenalty, now);
    return chosen ? this->findPool(*chosen) : nullptr;
}

// Each organisation gets one preferred replica for its reads. A connection serves one organisation only, so spreading
// the reads of every organisation over all replicas would need more connections than a VM may open.
EndpointId GroupTraffic::preferredReplicaFor(const OrganisationId& organisation)
{
    const auto usable = [](const EndpointPool& pool) {
        return pool.endpoint().role == EndpointRole::Replica && pool.isReachable() && !pool.endpoint().isLeaving();
    };
    const auto known = this->preferredReplicas.find(organisation);
    if (known != this->preferredReplicas.end()) {
        const auto pool = this->findPool(known->second);
        if (pool && usable(*pool))
            return known->second;
    }
    std::map<EndpointId, size_t> assignedOrganisations;
    for (const auto& [assigned, preferred] : this->preferredReplicas)
        ++assignedOrganisations[preferred];
    EndpointId best;
    std::pair<size_t, bool> bestCost;
    for (const auto& [id, member] : this->members) {
        const auto& pool = member.pool;
        if (!usable(*pool))
            continue;
        const std::pair<size_t, bool> cost { assignedOrganisations[id],
            pool->endpoint().dataCentre != this->settings.dataCentre };
        if (best.empty() || cost < bestCost) {
            best = id;
            bestCost = cost;
        }
    }
    if (best.empty())
        this->preferredReplicas.erase(organisation);
    else
        this->preferredReplicas[organisation] = best;
    return best;
}

void GroupTraffic::markLagging(const EndpointId& endpoint, Instant now)
{
    this->laggingUntil[endpoint] = now + laggingRetryDelay;
}

std::shared_ptr<EndpointPool> GroupTraffic::findPool(const EndpointId& endpoint) const
{
    const auto found = this->members.find(endpoint);
    return found == this->members.end() ? nullptr : found->second.pool;
}

std::vector<EndpointId> GroupTraffic::endpointsIf(const std::function<bool(const RegisteredEndpoint&)>& selects) const
{
    std::vector<EndpointId> selected;
    for (const auto& [id, member] : this->members) {
        if (selects(member.pool->endpoint()))
            selected.push_back(id);
    }
    return selected;
}

bool GroupTraffic::isLeftWithoutEndpoint() const
{
    bool isEvacuated = false;
    for (const auto& [id, member] : this->members) {
        if (!member.pool->endpoint().isLeaving())
            return false;
        isEvacuated = isEvacuated || member.pool->endpoint().evacuated;
    }
    return isEvacuated;
}

Reachability GroupTraffic::reachability(const EndpointId& endpoint, Instant now)
{
    const auto pool = this->findPool(endpoint);
    if (!pool || !pool->isReachable())
        return Reachability::Unreachable;
    if (now - pool->lastContact() < recentContactTime)
        return Reachability::Reachable;
    pool->probe();
    return Reachability::Unknown;
}

Reachability GroupTraffic::primaryReachability(const EndpointId& asked, Instant now)
{
    const auto known = this->primary();
    if (known && known->endpoint().id != asked) {
        const Reachability other = this->reachability(known->endpoint().id, now);
        if (other != Reachability::Unreachable)
            return other;
    }
    return asked.empty() ? Reachability::Unreachable : this->reachability(asked, now);
}

uint64_t GroupTraffic::newestTerm() const
{
    const auto newest = this->freshnessLog.newestPosition();
    return newest ? newest->term.counter : 0;
}

void GroupTraffic::recordAnswer(Instant queryTime, const LogPosition& position)
{
    this->freshnessLog.record(queryTime, position);
    if (this->acknowledgedCommits)
        this->acknowledgedCommits->recordAnswer(this->timers.now(), position);
}

void GroupTraffic::recordCommit(Instant sent, const std::optional<LogPosition>& end)
{
    if (this->acknowledgedCommits)
        this->acknowledgedCommits->recordCommit(sent, end);
}

CommitEvidence GroupTraffic::commitEvidence() const
{
    return this->acknowledgedCommits ? this->acknowledgedCommits->evidence(this->freshnessLog, this->timers.now())
                                     : CommitEvidence {};
}

uint64_t GroupTraffic::addChangeCallback(std::function<void()> callback)
{
    this->changeCallbacks.emplace(++this->lastCallbackId, std::move(callback));
    return this->lastCallbackId;
}

void GroupTraffic::removeChangeCallback(uint64_t callbackId) { this->changeCallbacks.erase(callbackId); }

void GroupTraffic::runChangeCallbacks()
{
    for (auto& [callbackId, callback] : std::exchange(this->changeCallbacks, {}))
        callback();
}

void GroupTraffic::interruptIf(const std::function<bool(const RegisteredEndpoint&)>& selects, const std::string& reason)
{
    const auto all = this->members;
    for (const auto& [id, member] : all) {
        if (selects(member.pool->endpoint()))
            member.pool->interrupt(reason);
    }
}

void GroupTraffic::retireAll()
{
    for (const auto& [id, member] : std::exchange(this->members, {}))
        member.pool->retire();
    this->runChangeCallbacks();
}

} // namespace Lavendervane
