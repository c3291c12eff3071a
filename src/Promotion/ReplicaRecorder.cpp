#include "Promotion/ReplicaRecorder.h"

#include "Core/Rendezvous.h"
#include "Promotion/PromotionCoordinator.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

ReplicaRecorder::ReplicaRecorder(VmId self, ReplicaRecorderSettings settings)
    : self(std::move(self))
    , settings(settings)
{
}

std::vector<RecorderEffect> ReplicaRecorder::handle(const RecorderEvent& event, Instant now)
{
    Effects effects;
    if (const auto* registry = std::get_if<RegistryUpdated>(&event))
        this->handleRegistryUpdate(*registry, now);
    else if (const auto* change = std::get_if<VmsChanged>(&event))
        this->handleVms(*change);
    else if (const auto* record = std::get_if<GroupRecordAnswered>(&event))
        this->handleRecord(*record, now);
    else if (const auto* statuses = std::get_if<ReplicaStatusesReceived>(&event))
        effects = this->handleStatuses(statuses->answered, now);
    else if (std::holds_alternative<TableRestored>(event))
        this->handleTableRestore();
    for (auto& [name, group] : this->groups) {
        for (auto& effect : this->advance(group, now))
            effects.push_back(std::move(effect));
    }
    if (const auto next = this->nextEvent())
        effects.emplace_back(SetRecorderTimer { std::max(*next, now) });
    return effects;
}

EndpointId ReplicaRecorder::Group::primary() const
{
    const auto found = std::find_if(
        this->members.begin(), this->members.end(), [](const auto& member) { return member.second.isPrimary; });
    return found == this->members.end() ? EndpointId() : found->first;
}

std::optional<size_t> ReplicaRecorder::rankOf(const GroupId& group) const
{
    const auto ranking = rankByRendezvous(this->vms, group.str(), this->settings.recorders);
    const auto found = std::find(ranking.begin(), ranking.end(), this->self);
    if (found == ranking.end())
        return std::nullopt;
    return static_cast<size_t>(found - ranking.begin());
}

Duration ReplicaRecorder::startDelay(const Group& group) const
{
    return this->settings.delayPerRank * static_cast<int64_t>(group.rank.value_or(0));
}

void ReplicaRecorder::handleVms(const VmsChanged& change)
{
    this->vms = change.vms;
    for (auto& [name, group] : this->groups)
        group.rank = this->rankOf(name);
}

void ReplicaRecorder::handleRegistryUpdate(const RegistryUpdated& registry, Instant now)
{
    std::map<GroupId, std::map<EndpointId, Member>> present;
    for (const auto& [name, replicas] : registry.synchronousReplicas) {
        if (replicas)
            present[name];
    }
    for (const RegisteredEndpoint& endpoint : registry.endpoints) {
        if (const auto group = present.find(endpoint.group); group != present.end())
            group->second[endpoint.id]
                = { endpoint.address, endpoint.role == EndpointRole::Primary, endpoint.startedAt };
    }
    std::erase_if(this->groups, [&present](const auto& group) { return !present.count(group.first); });
    for (auto& [name, members] : present) {
        const auto [entry, isNew] = this->groups.try_emplace(name);
        Group& group = entry->second;
        group.synchronousReplicas = registry.synchronousReplicas.at(name);
        if (isNew) {
            group.name = name;
            group.rank = this->rankOf(name);
            group.nextPauseCheck = now + this->settings.pauseCheckInterval + this->startDelay(group);
        }
        this->updateMembers(group, std::move(members), now);
    }
}

// Answers to a query from before the change must not bound the log of an endpoint that was still registered.
void ReplicaRecorder::updateMembers(Group& group, std::map<EndpointId, Member> members, Instant now) const
{
    if (members == group.members)
        return;
    group.members = std::move(members);
    ++group.query;
    // Another recorder may have written the row already.
    if (!group.callInProgress)
        group.record.reset();
    group.nextCall = std::max(group.nextCall, now + this->startDelay(group));
    group.nextQuery = now + this->startDelay(group);
    for (const auto& [id, member] : group.members) {
        const EndpointRun run { id, member.startedAt };
        group.silentSince.erase(run);
        group.ended.erase(run);
        group.bounds.erase(run);
        group.covered.erase(run);
    }
}

bool ReplicaRecorder::Group::isRegistered(const EndpointRun& run) const
{
    const auto member = this->members.find(run.endpoint);
    return member != this->members.end() && run.matches({ run.endpoint, member->second.startedAt });
}

bool ReplicaRecorder::Group::hasEnded(const EndpointRun& run, const std::string& address) const
{
    const bool isReplaced = std::any_of(this->members.begin(), this->members.end(),
        [&](const auto& member) { return member.first == run.endpoint || member.second.address == address; });
    return isReplaced || this->ended.count(run);
}

// Endpoints that are recorded, not registered, and may receive commits. An earlier run of such an endpoint cannot.
std::map<EndpointId, std::string> ReplicaRecorder::Group::unregistered() const
{
    std::map<EndpointId, std::string> addresses;
    for (const auto& [run, address] : absentees(*this)) {
        if (!this->hasEnded(run, address))
            addresses[run.endpoint] = address;
    }
    return addresses;
}

// Runs that are recorded but not registered.
std::map<EndpointRun, std::string> ReplicaRecorder::absentees(const Group& group)
{
    std::map<EndpointRun, std::string> absent = group.lostMembers;
    if (group.record)
        absent.insert(group.record->members.begin(), group.record->members.end());
    std::erase_if(absent, [&group](const auto& recorded) {
        return group.isRegistered(recorded.first) || group.covered.count(recorded.first);
    });
    return absent;
}

GroupRecord ReplicaRecorder::makeRecord(const Group& group)
{
    GroupRecord record = *group.record;
    record.members = absentees(group);
    for (const auto& [id, member] : group.members)
        record.members.emplace(EndpointRun { id, member.startedAt }, member.address);
    if (const EndpointId primary = group.primary(); !primary.empty())
        record.primary = primary;
    return record;
}

void ReplicaRecorder::handleRecord(const GroupRecordAnswered& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end())
        return;
    Group& group = found->second;
    group.callInProgress = false;
    const std::optional<GroupRecord> written = std::exchange(group.written, std::nullopt);
    const TableResult& result = event.reply.result;
    group.generation = event.reply.generation;
    if (written && result.status == TableStatus::Done) {
        group.record = written;
        group.revision = event.reply.revision;
        group.lostMembers.clear();
    } else if ((result.status == TableStatus::Done || result.status == TableStatus::Conflict) && !result.rows.empty()) {
        group.record = GroupRecord::parse(result.rows.front());
        group.revision = result.rows.front().revision;
    } else {
        group.record.reset();
        group.nextCall = now + this->settings.retryDelay;
    }
}

void ReplicaRecorder::handleTableRestore()
{
    for (auto& [name, group] : this->groups) {
        if (group.record)
            group.lostMembers.insert(group.record->members.begin(), group.record->members.end());
        group.record.reset();
    }
}

// What the primary has in the same round of answers does not bound the log of a run that ended before its end was seen,
// but what it has in the next one does.
std::vector<RecorderEffect> ReplicaRecorder::findEnded(
    Group& group, const EndpointStatusesReceived& event, Instant now) const
{
    Effects effects;
    for (const auto& [run, address] : absentees(group)) {
        if (group.hasEnded(run, address))
            continue;
        if (event.statuses.count(run.endpoint)) {
            group.silentSince.erase(run);
            continue;
        }
        const Instant since = group.silentSince.emplace(run, now).first->second;
        const bool isRefused = event.refused.count(run.endpoint) > 0;
        if (!isRefused && now < since + this->settings.silenceLimit)
            continue;
        group.ended.insert(run);
        effects.emplace_back(LogPromotionStep { group.name, "replica_ended",
            describe(run) + (isRefused ? ": nothing listens at its address" : ": no answer for a long time") });
    }
    return effects;
}

std::vector<RecorderEffect> ReplicaRecorder::handleStatuses(const EndpointStatusesReceived& event, Instant now)
{
    const auto found = this->groups.find(event.group);
    if (found == this->groups.end())
        return {};
    Group& group = found->second;
    group.queryInProgress = false;
    if (group.query != event.attempt)
        return {};
    const EndpointId primary = group.primary();
    const auto leader = event.statuses.find(primary);
    const std::set<EndpointRun> coveredBefore = group.covered;
    const bool leads = leader != event.statuses.end() && leader->second.role == EndpointRole::Primary;
    const auto unconfirmed = leads ? absentees(group) : std::map<EndpointRun, std::string>();
    for (const auto& [absent, address] : unconfirmed) {
        if (!group.hasEnded(absent, address))
            continue;
        const LogPosition bound = group.bounds.emplace(absent, leader->second.received).first->second;
        const auto holding = std::count_if(event.statuses.begin(), event.statuses.end(), [&](const auto& answered) {
            return answered.first != primary && group.members.count(answered.first)
                && answered.second.received >= bound;
        });
        if (static_cast<uint32_t>(holding) >= group.synchronousReplicas)
            group.covered.insert(absent);
    }
    if (group.covered != coveredBefore && !group.callInProgress)
        group.record.reset();
    Effects effects = this->findEnded(group, event, now);
    const bool isPaused = std::any_of(event.statuses.begin(), event.statuses.end(),
        [](const auto& answered) { return answered.second.heldTerm > 0; });
    if (isPaused) {
        effects.emplace_back(LogPromotionStep { group.name, "paused_replicas_found", {} });
        effects.emplace_back(PausedReplicasFound { group.name });
    }
    return effects;
}

std::vector<RecorderEffect> ReplicaRecorder::advance(Group& group, Instant now) const
{
    if (!group.rank || group.members.empty())
        return {};
    Effects effects;
    if (!group.callInProgress && now >= group.nextCall) {
        const std::string key = PromotionCoordinator::leaseKey(group.name);
        if (!group.record) {
            group.callInProgress = true;
            effects.emplace_back(ReadGroupRecord { group.name, key });
        } else if (GroupRecord wanted = makeRecord(group); wanted != *group.record) {
            group.callInProgress = true;
            wanted.generation = group.generation;
            std::string names;
            for (const auto& [run, address] : wanted.members)
                names.append(names.empty() ? "" : " ").append(describe(run));
            effects.emplace_back(LogPromotionStep { group.name, "replicas_recorded", std::move(names) });
            effects.emplace_back(
                WriteGroupRecord { group.name, wanted.replaceRow(key, group.revision, group.generation) });
            group.written = std::move(wanted);
        }
    }
    const bool mustConfirm = now >= group.nextQuery && !group.primary().empty() && !absentees(group).empty();
    if (group.queryInProgress || (!mustConfirm && now < group.nextPauseCheck))
        return effects;
    group.queryInProgress = true;
    QueryEndpointStatuses query { group.name, ++group.query, {} };
    query.unregistered = group.unregistered();
    const bool awaitsOnlyEnds = query.unregistered.size() == absentees(group).size();
    group.nextQuery = now + (awaitsOnlyEnds ? this->settings.probeInterval : this->settings.confirmInterval);
    if (now >= group.nextPauseCheck)
        group.nextPauseCheck = now + this->settings.pauseCheckInterval;
    for (const auto& [id, member] : group.members)
        query.endpoints.push_back(id);
    effects.emplace_back(std::move(query));
    return effects;
}

std::optional<Instant> ReplicaRecorder::nextEvent() const
{
    std::optional<Instant> next;
    const auto include = [&next](Instant when) { next = std::min(next.value_or(when), when); };
    for (const auto& [name, group] : this->groups) {
        if (!group.rank || group.members.empty())
            continue;
        if (!group.queryInProgress)
            include(group.nextPauseCheck);
        if (!group.callInProgress && (!group.record || makeRecord(group) != *group.record))
            include(group.nextCall);
        if (!group.queryInProgress && !group.primary().empty() && !absentees(group).empty())
            include(group.nextQuery);
    }
    return next;
}

} // namespace Lavendervane
