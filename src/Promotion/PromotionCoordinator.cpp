#include "Promotion/PromotionCoordinator.h"

#include "Core/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

PromotionCoordinator::PromotionCoordinator(VmId self, std::string runId, PromotionCoordinatorSettings settings)
    : self(std::move(self))
    , runId(std::move(runId))
    , settings(settings)
    , lastPromotionTime(settings.assumedPromotionTime)
{
}

// Number of bits of a fencing token that hold the revision. Tokens stay below 2^53, so that they are exact as floating
// point numbers, for 8,192 generations.
static constexpr unsigned revisionBits = 40;

// Revisions that are assigned again after a restore must not make a token equal to an earlier one or lower.
static uint64_t fencingToken(uint64_t generation, uint64_t revision) { return (generation << revisionBits) + revision; }

std::string PromotionCoordinator::leaseKey(const GroupId& group) { return leaseKeyPrefix + group.str(); }

std::optional<PrimaryRevocation> PromotionCoordinator::storedRevocation(const TableRow& row)
{
    const GroupRecord record = GroupRecord::parse(row);
    if (!row.key.starts_with(leaseKeyPrefix) || !record.revoked)
        return std::nullopt;
    const std::string group = row.key.substr(std::char_traits<char>::length(leaseKeyPrefix));
    return PrimaryRevocation { GroupId(group), *record.revoked, fencingToken(record.generation, row.revision),
        record.revokedAddress };
}

std::vector<TableTransaction> PromotionCoordinator::recordAgain(
    const std::map<GroupId, PrimaryRevocation>& known, const std::vector<TableRow>& rows, uint64_t generation)
{
    std::vector<TableTransaction> transactions;
    for (const auto& [group, revocation] : known) {
        const std::string key = leaseKey(group);
        const auto found
            = std::find_if(rows.begin(), rows.end(), [&key](const TableRow& other) { return other.key == key; });
        const TableRow row = found == rows.end() ? TableRow { key, 0, {} } : *found;
        const auto stored = storedRevocation(row);
        if (stored && stored->number >= revocation.number)
            continue;
        // The stored lease is kept, because it may still be held.
        GroupRecord record = GroupRecord::parse(row);
        record.revoked = revocation.endpoint;
        record.revokedAddress = revocation.address;
        record.generation = generation;
        transactions.push_back(record.replaceRow(key, row.revision, generation));
    }
    return transactions;
}

std::vector<PromotionEffect> PromotionCoordinator::handle(const PromotionEvent& event, Instant now)
{
    if (const auto* vmsChanged = std::get_if<VmsChanged>(&event)) {
        this->vms = vmsChanged->vms;
        return {};
    }
    if (const auto* registry = std::get_if<RegistryUpdated>(&event))
        return this->handleRegistryUpdate(*registry, now);
    if (const auto* reachability = std::get_if<EndpointReachabilityChanged>(&event))
        return this->handleReachabilityChange(*reachability, now);
    if (const auto* poll = std::get_if<ReachabilityPolled>(&event))
        return this->handleReachabilityPoll(*poll, now);
    if (const auto* read = std::get_if<LeaseReadAnswered>(&event))
        return this->handleLeaseRead(*read, now);
    if (const auto* written = std::get_if<LeaseWriteAnswered>(&event))
        return this->handleLeaseWrite(*written, now);
    if (const auto* statuses = std::get_if<EndpointStatusesReceived>(&event))
        return this->handleStatuses(*statuses, now);
    if (const auto* stepDown = std::get_if<StepDownAnswered>(&event))
        return this->handleStepDownAnswer(*stepDown, now);
    if (const auto* answered = std::get_if<PromotionOrderAnswered>(&event))
        return this->handleOrderAnswer(*answered, now);
    if (const auto* notice = std::get_if<PromotionNoticeReceived>(&event))
        return this->handleNotice(*notice, now);
    if (const auto* fleet = std::get_if<FleetReadAnswered>(&event))
        return this->handleFleetRead(*fleet, now);
    if (const auto* finished = std::get_if<PrimaryRevocationFinished>(&event))
        return this->handleRevocationFinished(*finished, now);
    if (const auto* learnt = std::get_if<PrimaryRevocationLearnt>(&event))
        return this->handleRevocationLearnt(*learnt, now);
    if (const auto* paused = std::get_if<PausedReplicasFound>(&event))
        return this->handlePausedReplicas(*paused, now);
    if (std::holds_alternative<TableRestored>(event)) {
        this->handleTableRestore(now);
        return {};
    }
    return this->handleTimer(std::get<PromotionTimerFired>(event), now);
}

std::vector<PromotionEffect> PromotionCoordinator::setTimer(const Group& group, Instant when) const
{
    return { SetPromotionTimer { group.name, group.attempt, when } };
}

PromotionCoordinator::Group* PromotionCoordinator::findInPhase(const GroupId& name, uint64_t attempt, Phase phase)
{
    const auto found = this->groups.find(name);
    if (found == this->groups.end() || found->second.attempt != attempt || found->second.phase != phase)
        return nullptr;
    return &found->second;
}

// VMs start in the order of their rank for the group, so that usually only the first one acts.
Duration PromotionCoordinator::rankDelay(const GroupId& group) const
{
    const auto ranking = rankByRendezvous(this->vms, group.str(), this->vms.size());
    const auto rank = std::find(ranking.begin(), ranking.end(), this->self) - ranking.begin();
    const auto vmCount = std::max<int64_t>(1, static_cast<int64_t>(this->vms.size()));
    const Duration delay = std::min<Duration>(this->settings.delayPerRank, this->settings.maxRankDelay / vmCount);
    return delay * rank;
}

bool PromotionCoordinator::Group::isRevoked(const EndpointId& id) const
{
    return this->revocation.applies(id, this->addressOf(id));
}

std::string PromotionCoordinator::Group::addressOf(const EndpointId& id) const
{
    const auto member = this->members.find(id);
    return member == this->members.end() ? std::string() : member->second.address;
}

bool PromotionCoordinator::Group::isEvacuated(const EndpointId& id) const
{
    const auto member = this->members.find(id);
    return member != this->members.end() && member->second.isEvacuated;
}

void PromotionCoordinator::Group::setLastPrimary(const EndpointId& id)
{
    this->lastPrimary = id;
    this->lastPrimaryAddress = this->addressOf(id);
}

// An old primary may still be registered as primary because it has not noticed its replacement, and it may register
// again after its entry has expired.
EndpointId PromotionCoordinator::Group::newestPrimary(const std::map<EndpointId, Member>& before) const
{
    EndpointId newest;
    for (const auto& [id, member] : this->members) {
        if (!member.isPrimary)
            continue;
        const auto known = before.find(id);
        const bool revoked = this->isRevoked(id);
        if (!revoked && (known == before.end() || !known->second.isPrimary))
            return id;
        if (newest.empty() || this->isRevoked(newest) || (id == this->primary && !revoked))
            newest = id;
    }
    return newest;
}

std::optional<EndpointId> PromotionCoordinator::primaryOf(const GroupId& name) const
{
    const auto group = this->groups.find(name);
    if (group == this->groups.end() || group->second.primary.empty())
        return std::nullopt;
    return group->second.primary;
}

std::vector<PromotionEffect> PromotionCoordinator::handleRegistryUpdate(const RegistryUpdated& registry, Instant now)
{
    std::map<GroupId, std::map<EndpointId, Member>> present;
    for (const RegisteredEndpoint& endpoint : registry.endpoints)
        present[endpoint.group][endpoint.id] = { endpoint.role == EndpointRole::Primary, endpoint.draining,
            endpoint.evacuated, endpoint.address, endpoint.startedAt };
    Effects effects;
    for (auto& [name, members] : present) {
        Group& group = this->groups[name];
        group.name = name;
        const auto synchronous = registry.synchronousReplicas.find(name);
        group.synchronousReplicas = synchronous == registry.synchronousReplicas.end() ? 0 : synchronous->second;
        group.succession.setSynchronousReplicas(group.synchronousReplicas);
        if (group.members == members)
            continue;
        const auto before = std::exchange(group.members, std::move(members));
        const EndpointId primary = group.newestPrimary(before);
        if (primary != group.primary) {
            if (group.phase == Phase::AwaitingNewPrimary && primary == group.promotedEndpoint)
                this->lastPromotionTime = now - group.orderedAt;
            effects.emplace_back(LogPromotionStep { name, "primary_changed", primary.str() });
            // An endpoint at the address of the former primary is that one after a restart.
            const std::string address = group.addressOf(primary);
            const bool isReplaced
                = primary != group.lastPrimary && (address.empty() || address != group.lastPrimaryAddress);
            group.primary = primary;
            if (!primary.empty())
                group.setLastPrimary(primary);
            group.primaryUnreachable = false;
            // The registry shows no primary between a step-down and the promotion, or shows the old one again; that
            // must not end the attempt.
            if (!primary.empty() && !group.isRevoked(primary)) {
                // A promotion ends the pause. Until then the former primary may be back, and its replicas stay paused.
                group.replicasPaused = group.replicasPaused && !isReplaced;
                reportBlocked(group, false, effects);
                finishAttempt(group);
            }
        } else if (!primary.empty()) {
            group.setLastPrimary(primary);
        }
        for (auto& effect : this->scheduleIfNeeded(group, now))
            effects.push_back(std::move(effect));
    }
    return effects;
}

bool PromotionCoordinator::needsPromotion(const Group& group) const
{
    const bool others = std::any_of(group.members.begin(), group.members.end(),
        [&group](const auto& member) { return member.first != group.primary && !member.second.isLeaving(); });
    if (!others)
        return false;
    if (group.primary.empty())
        return true;
    const auto primary = group.members.find(group.primary);
    return group.primaryUnreachable || group.replicasPaused || group.isRevoked(group.primary)
        || (primary != group.members.end() && primary->second.isLeaving());
}

// An unfenced primary that has been revoked is not used again, because an order may still be carried out.
bool PromotionCoordinator::canRestorePrimary(const Group& group) const
{
    const auto primary = group.members.find(group.primary);
    return !this->isUnfenced() && primary != group.members.end() && !primary->second.isLeaving()
        && !group.primaryUnreachable && (group.replicasPaused || group.isRevoked(group.primary));
}

// A fenced primary is revoked only if its replicas do not confirm that they pause, or if the VMs have to tell what they
// have acknowledged, and stays so until it is replaced.
bool PromotionCoordinator::requiresRevocation(const Group& group) const
{
    const EndpointId& primary = currentPrimary(group);
    return this->isUnfenced() || group.pauseUnconfirmed || group.asksAllVms || group.isRevoked(primary)
        || (!primary.empty() && group.succession.knownRecord().revoked == primary);
}

// The registry lists no primary between its end and the promotion of another endpoint.
const EndpointId& PromotionCoordinator::currentPrimary(const Group& group)
{
    if (!group.primary.empty())
        return group.primary;
    return group.lastPrimary.empty() ? group.succession.knownRecord().primary : group.lastPrimary;
}

std::vector<PromotionEffect> PromotionCoordinator::scheduleIfNeeded(Group& group, Instant now)
{
    if (!this->needsPromotion(group)) {
        if (group.phase == Phase::WaitingForRank)
            group.phase = Phase::Idle;
        return {};
    }
    if (group.phase != Phase::Idle)
        return {};
    group.phase = Phase::WaitingForRank;
    ++group.attempt;
    return this->setTimer(group, now + this->rankDelay(group.name));
}

std::vector<PromotionEffect> PromotionCoordinator::handleReachabilityChange(
    const EndpointReachabilityChanged& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end() || found->second.primary != event.endpoint)
        return {};
    found->second.primaryUnreachable = !event.reachable;
    Effects effects;
    if (event.reachable) {
        found->second.replacingSince.reset();
        reportBlocked(found->second, false, effects);
    }
    for (auto& effect : this->scheduleIfNeeded(found->second, now))
        effects.push_back(std::move(effect));
    return effects;
}

std::vector<PromotionEffect> PromotionCoordinator::handleTimer(const PromotionTimerFired& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end() || found->second.attempt != event.attempt)
        return {};
    Group& group = found->second;
    switch (group.phase) {
    case Phase::WaitingForRank:
        return this->startAttempt(group, now);
    case Phase::CatchingUp:
        return this->queryStatuses(group);
    case Phase::AwaitingNewPrimary:
        if (group.keepsLease && now < group.leaseExpiry) {
            ++group.attempt;
            return this->startAttempt(group, now);
        }
        return this->retryLater(group, now, "the new primary has not appeared in the registry");
    default:
        return {};
    }
}

std::vector<PromotionEffect> PromotionCoordinator::startAttempt(Group& group, Instant now)
{
    if (!this->needsPromotion(group)) {
        group.phase = Phase::Idle;
        return {};
    }
    // A VM that has started does not know whom to revoke if the registry lists no primary. The others may still use the
    // one that they know, and replace it themselves.
    if (this->requiresRevocation(group) && group.primary.empty() && group.lastPrimary.empty()
        && !std::exchange(group.hasWaitedForPrimary, true))
        return this->waitForOtherVm(group, now);
    group.oldPrimary = group.primary;
    group.isRestoring = this->canRestorePrimary(group);
    group.oldPrimaryIsLeaving = !group.isRestoring && !group.primaryUnreachable && !group.primary.empty();
    group.barrier = CommitBarrier::None;
    group.lastAcknowledged.reset();
    group.pauseTerm = 0;
    group.finalPosition.reset();
    group.replacingSince = group.replacingSince.value_or(now);
    // The others agreed before an order that this VM repeats.
    const bool repeatsOrder = group.keepsLease && group.primary.empty() && now < group.leaseExpiry;
    if (group.isRestoring || group.oldPrimaryIsLeaving || repeatsOrder)
        return this->readLease(group, now);
    // The others are asked also if this VM knows no primary: it may have missed a promotion.
    group.phase = Phase::PollingPeers;
    return { PollReachability { group.name, group.attempt, group.primary } };
}

// A lost link of a single VM does not mean that the primary is down. The attempt continues only if more than half of
// the polled VMs, including this one, cannot reach the primary.
std::vector<PromotionEffect> PromotionCoordinator::handleReachabilityPoll(const ReachabilityPolled& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::PollingPeers);
    if (!group)
        return {};
    const std::string counts = std::to_string(event.unreachable + 1) + " of " + std::to_string(event.asked + 1)
        + " VMs cannot reach the primary, " + std::to_string(event.reachable) + " can";
    group->succession.learnTerm(event.newestTerm);
    for (const CommitEvidence& vm : event.commits) {
        group->succession.learnAcknowledged(vm.atLeast);
        group->acknowledgedUpTo = std::max(group->acknowledgedUpTo, vm.atMost);
    }
    const bool isReachable = !group->primary.empty() && !group->primaryUnreachable;
    if (2 * (event.unreachable + 1) <= event.asked + 1 || isReachable)
        return this->retryLater(*group, now, counts);
    Effects effects = this->readLease(*group, now);
    effects.insert(effects.begin(), LogPromotionStep { group->name, "primary_unreachable", counts });
    return effects;
}

Duration PromotionCoordinator::leaseLifetime() const
{
    // A revocation delays the order by the duration of the VMs' leases.
    return std::chrono::milliseconds(this->settings.leaseMs)
        + std::chrono::ceil<std::chrono::milliseconds>(this->settings.primaryLease);
}

void PromotionCoordinator::handleTableRestore(Instant now) { this->lostLeasesExpireAt = now + this->leaseLifetime(); }

// A lease that the table has lost may still be held by another VM. It was obtained before the restore.
std::vector<PromotionEffect> PromotionCoordinator::readLease(Group& group, Instant now)
{
    if (now < this->lostLeasesExpireAt) {
        ++group.attempt;
        group.phase = Phase::WaitingForRank;
        return { LogPromotionStep { group.name, "promotion_postponed", "the restored table may lack a lease" },
            SetPromotionTimer { group.name, group.attempt, this->lostLeasesExpireAt + this->rankDelay(group.name) } };
    }
    group.phase = Phase::ReadingLease;
    return { ReadLease { group.name, group.attempt, leaseKey(group.name) } };
}

std::vector<PromotionEffect> PromotionCoordinator::handleLeaseRead(const LeaseReadAnswered& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::ReadingLease);
    if (!group)
        return {};
    if (event.reply.result.status != TableStatus::Done || event.reply.result.rows.empty())
        return this->retryLater(*group, now, "reading the promotion lease failed: " + event.reply.reason);
    const TableRow& row = event.reply.result.rows.front();
    const uint64_t tableNow = event.reply.clock.lowerBound(now);
    GroupRecord record = GroupRecord::parse(row);
    const bool isOwnLease = record.run == this->runId;
    if (record.until > tableNow && !isOwnLease)
        return this->retryLater(*group, now, "another VM holds the promotion lease");
    group->succession.learnRecord(record);
    const Duration sinceExpiry = std::chrono::milliseconds(tableNow - std::min(tableNow, record.until));
    if (!isOwnLease && record.until)
        group->ordersSettledAt = std::max(group->ordersSettledAt, now + this->settings.newPrimaryTimeout - sinceExpiry);
    if (group->isRestoring && now < group->ordersSettledAt)
        return this->retryAt(*group, group->ordersSettledAt, "an earlier order may take effect");
    group->phase = Phase::WritingLease;
    group->leaseGeneration = event.reply.generation;
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(this->leaseLifetime());
    group->leaseExpiry = now + lifetime - event.reply.clock.uncertainty();
    record.holder = this->self.str();
    record.run = this->runId;
    record.until = tableNow + static_cast<uint64_t>(lifetime.count());
    record.generation = group->leaseGeneration;
    const bool hasRevocation = record.revoked && !record.revoked->empty();
    group->liftsRevocation = hasRevocation && !this->requiresRevocation(*group);
    if (group->liftsRevocation || this->requiresRevocation(*group)) {
        const PrimaryRevocation revocation = this->revocationOf(*group);
        record.revoked = revocation.endpoint;
        record.revokedAddress = revocation.address;
    }
    group->lease = record;
    return { WriteLease {
        group->name, group->attempt, record.replaceRow(leaseKey(group->name), row.revision, group->leaseGeneration) } };
}

std::vector<PromotionEffect> PromotionCoordinator::handleLeaseWrite(const LeaseWriteAnswered& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::WritingLease);
    if (!group)
        return {};
    if (event.reply.result.status != TableStatus::Done)
        return this->retryLater(*group, now, "writing the promotion lease failed: " + event.reply.reason);
    // Every write of the lease increases its revision within a generation, so a later holder always has a higher token.
    group->token = fencingToken(group->leaseGeneration, event.reply.revision);
    group->leaseRevision = event.reply.revision;
    const bool pausesInstead = group->revocationIncomplete && this->mayPauseInstead(*group);
    if (group->liftsRevocation || (this->requiresRevocation(*group) && !pausesInstead)) {
        group->phase = Phase::ReadingFleet;
        return { ReadFleet { group->name, group->attempt } };
    }
    group->phase = Phase::QueryingStatuses;
    return this->queryStatuses(*group);
}

// A leaving primary is told to step down and refuses work itself. One that the registry shows as a replica does so too.
// Otherwise the old primary may go on, even if the registry does not list it any more. A primary that is revoked stays
// so, because an order of an earlier attempt may still be carried out.
EndpointId PromotionCoordinator::endpointToRevoke(const Group& group) const
{
    if (group.isRestoring || group.liftsRevocation || (group.oldPrimaryIsLeaving && !group.isRevoked(group.primary)))
        return {};
    if (!group.primary.empty())
        return group.primary;
    const EndpointId& lastPrimary = currentPrimary(group);
    const auto last = group.members.find(lastPrimary);
    return last != group.members.end() && !last->second.isPrimary ? EndpointId() : lastPrimary;
}

PrimaryRevocation PromotionCoordinator::revocationOf(const Group& group) const
{
    const EndpointId revoked = this->endpointToRevoke(group);
    return { group.name, revoked, group.token,
        revoked == group.lastPrimary ? group.lastPrimaryAddress : std::string() };
}

// The list is read after the revocation has been stored with the lease. A VM that is not listed yet reads the stored
// revocations before it uses any primary.
std::vector<PromotionEffect> PromotionCoordinator::handleFleetRead(const FleetReadAnswered& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::ReadingFleet);
    if (!group)
        return {};
    if (!event.members)
        return this->retryLater(*group, now, "reading the list of VMs failed");
    const PrimaryRevocation revocation = this->revocationOf(*group);
    group->phase = Phase::RevokingPrimary;
    Effects effects { LogPromotionStep { group->name, "revocation_started", revocation.endpoint.str() },
        RevokePrimary { group->attempt, revocation, *event.members } };
    if (!revocation.endpoint.empty())
        return effects;
    // Nothing has to be waited for; the message only replaces earlier revocations of the group.
    group->revocation = revocation;
    if (!group->isRestoring && !group->liftsRevocation && !group->oldPrimaryIsLeaving)
        group->barrier = CommitBarrier::PrimaryRevoked;
    group->phase = Phase::QueryingStatuses;
    for (auto& effect : this->queryStatuses(*group))
        effects.push_back(std::move(effect));
    return effects;
}

std::vector<PromotionEffect> PromotionCoordinator::handleRevocationFinished(
    const PrimaryRevocationFinished& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::RevokingPrimary);
    if (!group)
        return {};
    group->revocationIncomplete = !event.complete;
    if (!event.complete)
        return this->retryLater(*group, now, "not enough VMs have confirmed the revocation of the primary");
    group->barrier = CommitBarrier::PrimaryRevoked;
    group->lastAcknowledged = event.lastAcknowledged;
    group->phase = Phase::QueryingStatuses;
    Effects effects = this->queryStatuses(*group);
    effects.insert(effects.begin(), LogPromotionStep { group->name, "revocation_complete", group->oldPrimary.str() });
    return effects;
}

std::vector<PromotionEffect> PromotionCoordinator::handleRevocationLearnt(
    const PrimaryRevocationLearnt& event, Instant now)
{
    Group& group = this->groups[event.revocation.group];
    group.name = event.revocation.group;
    group.revocation = event.revocation;
    if (!group.isRevoked(group.primary))
        return {};
    const EndpointId other = group.newestPrimary(group.members);
    if (other == group.primary)
        return this->waitForOtherVm(group, now);
    group.primary = other;
    group.setLastPrimary(other);
    group.primaryUnreachable = false;
    return { LogPromotionStep { group.name, "primary_changed", other.str() } };
}

std::vector<PromotionEffect> PromotionCoordinator::queryStatuses(Group& group)
{
    std::vector<EndpointId> endpoints;
    for (const auto& [id, member] : group.members) {
        // With synchronous replication, a replica that leaves may be the only one that holds an acknowledged commit.
        const bool leaving = member.isLeaving() && id != group.oldPrimary && !group.synchronousReplicas;
        const bool gone = (id == group.oldPrimary && !group.isRestoring
                              && !(group.oldPrimaryIsLeaving && group.phase == Phase::QueryingStatuses))
            || (id != group.oldPrimary && group.isRevoked(id));
        if (!leaving && !gone)
            endpoints.push_back(id);
    }
    QueryEndpointStatuses query { group.name, group.attempt, std::move(endpoints) };
    query.unregistered = unregisteredHolders(group);
    return { std::move(query) };
}

// An endpoint whose entry has expired may go on receiving.
std::map<EndpointId, std::string> PromotionCoordinator::unregisteredHolders(const Group& group)
{
    SuccessionQuestion question;
    question.members = successionMembers(group);
    question.oldPrimary = currentPrimary(group);
    return group.succession.unregisteredHolders(question);
}

std::map<EndpointId, SuccessionMember> PromotionCoordinator::successionMembers(const Group& group)
{
    std::map<EndpointId, SuccessionMember> members;
    for (const auto& [id, member] : group.members)
        members.emplace(id, SuccessionMember { member.isEvacuated, member.startedAt, member.address });
    return members;
}

SuccessionQuestion PromotionCoordinator::makeQuestion(
    const Group& group, const std::map<EndpointId, EndpointStatus>& statuses, Instant now) const
{
    SuccessionQuestion question;
    question.members = successionMembers(group);
    question.oldPrimary = group.oldPrimary;
    question.statuses = statuses;
    question.barrier = group.barrier;
    question.pauseTerm = group.pauseTerm;
    question.lastAcknowledged = group.lastAcknowledged;
    if (group.hasUnconfirmedOrder)
        question.orderedBefore = group.promotedEndpoint;
    // Without another replica, an outdated one is promoted in the end, so that the group does not stay without a
    // primary.
    const bool mayWait = group.replacingSince && now < *group.replacingSince + this->settings.outdatedReplicaTimeout;
    question.acceptsOutdated = group.oldPrimaryIsLeaving || !mayWait;
    return question;
}

std::vector<PromotionEffect> PromotionCoordinator::handleStatuses(const EndpointStatusesReceived& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end() || found->second.attempt != event.attempt)
        return {};
    Group& group = found->second;
    if (group.phase != Phase::QueryingStatuses && group.phase != Phase::CatchingUp
        && group.phase != Phase::PausingReplicas)
        return {};
    if (group.isRestoring)
        return this->restorePrimary(group, event.statuses, now);
    const auto old = event.statuses.find(group.oldPrimary);
    if (old != event.statuses.end() && old->second.role == EndpointRole::Replica)
        group.barrier = CommitBarrier::SteppedDown;
    SuccessionQuestion question = this->makeQuestion(group, event.statuses, now);
    question.listening = event.listening;
    const SuccessionAnswer answer = group.succession.decide(question);
    if (group.phase == Phase::CatchingUp && !answer.endpoint.empty() && group.finalPosition
        && event.statuses.at(answer.endpoint).received < *group.finalPosition && now < group.catchUpDeadline)
        return this->setTimer(group, now + this->settings.catchUpInterval);
    const bool isPostponed = answer.action == SuccessionAnswer::Action::Postpone;
    const bool isPauseConfirmed = answer.action == SuccessionAnswer::Action::Promote
        || (isPostponed && !answer.awaitsReplica && !answer.endpoint.empty());
    if (group.phase == Phase::PausingReplicas && !isPauseConfirmed)
        return this->revokeInstead(group, now, "pause_unconfirmed", "the primary is revoked instead");
    if (isPostponed && answer.awaitsReplica && mayHoldAllCommits(group, answer, question, now)) {
        group.asksAllVms = true;
        group.revocationIncomplete = false;
        group.nextAsk = now + this->settings.askInterval;
        return this->revokeInstead(group, now, "acknowledged_commits_asked", answer.reason);
    }
    if (isPostponed) {
        Effects effects;
        reportBlocked(group, answer.awaitsReplica, effects);
        const Duration delay = answer.awaitsReplica ? this->settings.blockedRetryInterval : this->settings.retryDelay;
        for (auto& effect : this->retryAt(group, now + delay + this->rankDelay(group.name), answer.reason))
            effects.push_back(std::move(effect));
        return effects;
    }
    // A primary that does not answer may be busy, and would go on.
    const bool mayGoOn
        = old != event.statuses.end() ? old->second.role == EndpointRole::Primary : !group.isRevoked(group.oldPrimary);
    if (group.phase == Phase::QueryingStatuses && group.oldPrimaryIsLeaving && mayGoOn) {
        group.phase = Phase::SteppingDown;
        return { StepDownPrimary { group.name, group.attempt, group.oldPrimary, group.succession.nextTerm(question) } };
    }
    if (answer.action == SuccessionAnswer::Action::Promote)
        return this->orderPromotion(group, answer.endpoint, question, now);
    return pauseReplicas(group, question);
}

// Without replicas that receive, the old primary acknowledges nothing even if it is back before its successor leads,
// and even to a VM that has missed all messages.
std::vector<PromotionEffect> PromotionCoordinator::pauseReplicas(Group& group, const SuccessionQuestion& question)
{
    group.phase = Phase::PausingReplicas;
    group.barrier = CommitBarrier::ReplicasPaused;
    group.pauseTerm = group.succession.nextPauseTerm(question);
    group.replicasPaused = true;
    std::vector<EndpointId> replicas;
    for (const auto& [id, status] : question.statuses) {
        if (id != group.oldPrimary && question.members.count(id))
            replicas.push_back(id);
    }
    return { LogPromotionStep { group.name, "replicas_paused", "term " + std::to_string(group.pauseTerm) },
        QueryEndpointStatuses { group.name, group.attempt, std::move(replicas), ReplicationCommand::Pause,
            group.pauseTerm, unregisteredHolders(group) } };
}

std::vector<PromotionEffect> PromotionCoordinator::resumeReplicas(Group& group)
{
    group.replicasPaused = false;
    std::vector<EndpointId> replicas;
    for (const auto& [id, member] : group.members) {
        if (id != group.primary)
            replicas.push_back(id);
    }
    // Nothing depends on the answers: replicas that stay paused are found by the recorder of the group's replicas.
    return { QueryEndpointStatuses {
        group.name, 0, std::move(replicas), ReplicationCommand::Resume, 0, unregisteredHolders(group) } };
}

// What an endpoint does not confirm, it has not done. Instead, the VMs confirm that they do not use the primary.
std::vector<PromotionEffect> PromotionCoordinator::revokeInstead(
    Group& group, Instant now, const std::string& step, const std::string& reason)
{
    group.pauseUnconfirmed = group.pauseUnconfirmed || group.phase == Phase::PausingReplicas;
    group.barrier = CommitBarrier::None;
    ++group.attempt;
    Effects effects = this->readLease(group, now);
    effects.insert(effects.begin(), LogPromotionStep { group.name, step, reason });
    return effects;
}

// A revocation that no replica's pause has made necessary need not be complete.
bool PromotionCoordinator::mayPauseInstead(const Group& group) const
{
    return !this->isUnfenced() && !group.pauseUnconfirmed;
}

// All VMs together may show that the best replica holds every acknowledged commit although others do not answer. They
// are asked only if those that have answered already do not refute it, because the primary is revoked for that.
bool PromotionCoordinator::mayHoldAllCommits(
    const Group& group, const SuccessionAnswer& answer, const SuccessionQuestion& question, Instant now)
{
    return group.phase == Phase::QueryingStatuses && group.barrier == CommitBarrier::None && !group.oldPrimaryIsLeaving
        && now >= group.nextAsk && !answer.endpoint.empty() && LogPosition {} < group.acknowledgedUpTo
        && question.statuses.at(answer.endpoint).received >= group.acknowledgedUpTo;
}

std::vector<PromotionEffect> PromotionCoordinator::restorePrimary(
    Group& group, const std::map<EndpointId, EndpointStatus>& statuses, Instant now)
{
    const auto primary = statuses.find(group.primary);
    if (primary == statuses.end() || primary->second.role != EndpointRole::Primary)
        return this->retryLater(group, now, "the primary that is to be restored does not answer as the primary");
    const bool pauseFound = std::any_of(
        statuses.begin(), statuses.end(), [](const auto& answered) { return answered.second.heldTerm > 0; });
    if (!pauseFound && !group.hasUnconfirmedOrder && !group.isRevoked(group.primary)) {
        group.replicasPaused = false;
        finishAttempt(group);
        return {};
    }
    return this->sendOrder(group, group.primary, now);
}

std::vector<PromotionEffect> PromotionCoordinator::handleStepDownAnswer(const StepDownAnswered& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::SteppingDown);
    if (!group)
        return {};
    if (!event.status || event.status->role != EndpointRole::Replica)
        return this->retryLater(*group, now, "the primary did not confirm that it has stepped down");
    group->barrier = CommitBarrier::SteppedDown;
    group->finalPosition = event.status->received;
    group->catchUpDeadline = now + this->settings.catchUpTimeout;
    group->phase = Phase::CatchingUp;
    Effects effects = this->queryStatuses(*group);
    effects.emplace_back(AnnouncePromotion { group->name, {}, this->lastPromotionTime });
    return effects;
}

std::vector<PromotionEffect> PromotionCoordinator::orderPromotion(
    Group& group, const EndpointId& endpoint, const SuccessionQuestion& question, Instant now)
{
    const LeadershipRecord leadership { group.succession.nextTerm(question), endpoint,
        question.members.count(endpoint) ? question.members.at(endpoint).startedAt : 0 };
    Effects effects = this->sendOrder(group, endpoint, now);
    reportBlocked(group, false, effects);
    if (group.phase != Phase::Ordering)
        return effects;
    // VMs that start later must not promote an endpoint that has missed this term.
    group.succession.learnLeadership(leadership);
    effects.emplace_back(RecordLeadership { group.name, leadership,
        { leaseKey(group.name), group.leaseRevision, group.lease.encode() }, group.leaseGeneration });
    return effects;
}

std::vector<PromotionEffect> PromotionCoordinator::sendOrder(Group& group, const EndpointId& endpoint, Instant now)
{
    if (now >= group.leaseExpiry)
        return this->retryLater(group, now, "the promotion lease expired before the order");
    group.phase = Phase::Ordering;
    group.promotedEndpoint = endpoint;
    group.orderedAt = now;
    group.ordersSettledAt = now + this->settings.newPrimaryTimeout;
    return { LogPromotionStep {
                 group.name, "promotion_ordered", endpoint.str() + " token " + std::to_string(group.token) },
        OrderPromotion { group.name, group.attempt, endpoint, group.token } };
}

void PromotionCoordinator::finishAttempt(Group& group)
{
    group.replacingSince.reset();
    group.pauseUnconfirmed = false;
    group.asksAllVms = false;
    group.nextAsk = {};
    group.revocationIncomplete = false;
    group.acknowledgedUpTo = {};
    group.keepsLease = false;
    group.hasUnconfirmedOrder = false;
    group.unansweredOrders = 0;
    group.phase = Phase::Idle;
    ++group.attempt;
}

void PromotionCoordinator::reportBlocked(Group& group, bool blocked, Effects& effects)
{
    if (std::exchange(group.isBlocked, blocked) != blocked)
        effects.emplace_back(ReportBlockedPromotion { group.name, blocked });
}

std::vector<PromotionEffect> PromotionCoordinator::handleOrderAnswer(const PromotionOrderAnswered& event, Instant now)
{
    Group* group = this->findInPhase(event.group, event.attempt, Phase::Ordering);
    if (!group)
        return {};
    group->hasUnconfirmedOrder = event.status == PromotionOrderStatus::Unknown;
    group->unansweredOrders = group->hasUnconfirmedOrder ? group->unansweredOrders + 1 : 0;
    group->keepsLease = group->hasUnconfirmedOrder && group->unansweredOrders < this->settings.maxUnansweredOrders;
    if (event.status == PromotionOrderStatus::Refused || event.status == PromotionOrderStatus::NotCarriedOut)
        return this->retryLater(*group, now, "the promotion order was not accepted");
    if (group->isRestoring && event.status == PromotionOrderStatus::Accepted) {
        // After the end of the lease, another VM may have paused the replicas for a promotion.
        if (now >= group->leaseExpiry)
            return this->retryLater(*group, now, "the promotion lease expired before the replicas were resumed");
        Effects effects = resumeReplicas(*group);
        effects.insert(
            effects.begin(), LogPromotionStep { group->name, "primary_restored", group->promotedEndpoint.str() });
        finishAttempt(*group);
        return effects;
    }
    // An order without an answer may be executed much later. Were the lease to expire meanwhile, several VMs would
    // order in turn, and their orders would take effect in turn.
    group->phase = Phase::AwaitingNewPrimary;
    const Instant timeout = now + this->settings.newPrimaryTimeout;
    Effects effects = this->setTimer(
        *group, group->keepsLease ? std::min(timeout, group->leaseExpiry - this->settings.renewalMargin) : timeout);
    if (event.status == PromotionOrderStatus::Accepted)
        effects.emplace_back(AnnouncePromotion {
            group->name, group->promotedEndpoint, group->orderedAt + this->lastPromotionTime - now });
    return effects;
}

// Another VM is promoting a replica. This VM starts an attempt of its own only if no new primary appears in time.
std::vector<PromotionEffect> PromotionCoordinator::handleNotice(const PromotionNoticeReceived& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end())
        return {};
    return this->waitForOtherVm(found->second, now);
}

std::vector<PromotionEffect> PromotionCoordinator::handlePausedReplicas(const PausedReplicasFound& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end())
        return {};
    found->second.replicasPaused = true;
    return this->scheduleIfNeeded(found->second, now);
}

std::vector<PromotionEffect> PromotionCoordinator::waitForOtherVm(Group& group, Instant now)
{
    if (group.phase != Phase::Idle && group.phase != Phase::WaitingForRank)
        return {};
    group.phase = Phase::WaitingForRank;
    ++group.attempt;
    return this->setTimer(
        group, now + this->settings.newPrimaryTimeout + this->settings.primaryLease + this->rankDelay(group.name));
}

std::vector<PromotionEffect> PromotionCoordinator::retryLater(Group& group, Instant now, const std::string& reason)
{
    return this->retryAt(group, now + this->settings.retryDelay + this->rankDelay(group.name), reason);
}

std::vector<PromotionEffect> PromotionCoordinator::retryAt(Group& group, Instant when, const std::string& reason)
{
    ++group.attempt;
    Effects effects { LogPromotionStep { group.name, "promotion_postponed", reason } };
    if (!this->needsPromotion(group)) {
        group.phase = Phase::Idle;
        return effects;
    }
    group.phase = Phase::WaitingForRank;
    effects.emplace_back(SetPromotionTimer { group.name, group.attempt, when });
    return effects;
}

} // namespace Lavendervane
