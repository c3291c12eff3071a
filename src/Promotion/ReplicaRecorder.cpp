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
    for (const auto& [id, member] : group.members)
        group.forget({ id, member.startedAt });
    std::erase_if(
        group.returned, [&group](const auto& returned) { return group.members.count(returned.first.endpoint); });
}

void ReplicaRecorder::Group::forget(const EndpointRun& run)
{
    this->silentSince.erase(run);
    this->ended.erase(run);
    this->bounds.erase(run);
    this->covered.erase(run);
}

bool ReplicaRecorder::Group::isRegistered(const EndpointRun& run) const
{
    const auto member = this->members.find(run.endpoint);
    return member != this->members.end() && run.matches({ run.endpoint, member->second.startedAt });
}

bool ReplicaRecorder::Group::isReplaced(const EndpointRun& run, const std::string& address) const
{
    return std::any_of(this->members.begin(), this->members.end(),
        [&](const auto& member) { return member.first == run.endpoint || member.second.address == address; });
}

bool ReplicaRecorder::Group::hasEnded(const EndpointRun& run, const std::string& address) const
{
    return this->isReplaced(run, address) || this->ended.count(run);
}

// Endpoints that are recorded, not registered, and may receive commits. An earlier run of such an endpoint cannot.
std::map<EndpointId, std::string> ReplicaRecorder::Group::unregistered() const
{
    std::map<EndpointId, std::string> addresses;
    for (const auto& runs : { this->endedRuns(), this->absentees() }) {
        for (const auto& [run, address] : runs) {
            if (!this->isReplaced(run, address))
                addresses[run.endpoint] = address;
        }
    }
    return addresses;
}

// Runs that may hold acknowledged commits and are not registered.
std::map<EndpointRun, std::string> ReplicaRecorder::Group::absentees() const
{
    std::map<EndpointRun, std::string> absent = this->returned;
    absent.insert(this->lost.members.begin(), this->lost.members.end());
    if (this->record)
        absent.insert(this->record->members.begin(), this->record->members.end());
    std::erase_if(absent, [this](const auto& recorded) {
        return this->isRegistered(recorded.first) || this->covered.count(recorded.first);
    });
    return absent;
}

// The newest run of each endpoint that has ended and may start again.
std::map<EndpointRun, std::string> ReplicaRecorder::Group::endedRuns() const
{
    std::map<EndpointRun, std::string> runs = this->lost.ended;
    std::map<EndpointRun, std::string> recorded = this->lost.members;
    if (this->record) {
        runs.insert(this->record->ended.begin(), this->record->ended.end());
        recorded.insert(this->record->members.begin(), this->record->members.end());
    }
    for (const auto& [run, address] : recorded) {
        if (this->covered.count(run))
            runs.emplace(run, address);
    }
    std::set<EndpointId> running;
    for (const auto& [run, address] : this->absentees())
        running.insert(run.endpoint);
    std::erase_if(runs, [&](const auto& ended) {
        const auto next = runs.upper_bound(ended.first);
        return (next != runs.end() && next->first.endpoint == ended.first.endpoint)
            || running.count(ended.first.endpoint) || this->isReplaced(ended.first, ended.second)
            || ended.second.empty();
    });
    return runs;
}

// True if the primary's position has to be compared with those of the replicas.
bool ReplicaRecorder::Group::awaitsReplicas() const { return !this->primary().empty() && !this->absentees().empty(); }

GroupRecord ReplicaRecorder::makeRecord(const Group& group) const
{
    GroupRecord record = *group.record;
    record.members = group.absentees();
    for (const auto& [id, member] : group.members)
        record.members.emplace(EndpointRun { id, member.startedAt }, member.address);
    if (const EndpointId primary = group.primary(); !primary.empty())
        record.primary = primary;
    record.ended = group.endedRuns();
    // An unknown start is that of an endpoint that has come back unregistered before.
    const auto isOlder = [](const auto& left, const auto& right) {
        return left.first.startedAt - 1 < right.first.startedAt - 1; // 0 wraps around to the largest number
    };
    while (record.ended.size() > this->settings.maxEndedRuns)
        record.ended.erase(std::min_element(record.ended.begin(), record.ended.end(), isOlder));
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
        group.lost = {};
    } else if ((result.status == TableStatus::Done || result.status == TableStatus::Conflict) && !result.rows.empty()) {
        group.record = GroupRecord::parse(result.rows.front());
        group.revision = result.rows.front().revision;
        // Another recorder may have found the endpoint running since.
        if (written)
            group.covered.clear();
    } else {
        group.record.reset();
        group.nextCall = now + this->settings.retryDelay;
        return;
    }
    const auto& members = group.record->members;
    std::erase_if(group.returned, [&members](const auto& returned) { return members.count(returned.first); });
    const auto recordedAsEnded = group.covered;
    for (const EndpointRun& run : recordedAsEnded) {
        if (!members.count(run) && !group.lost.members.count(run))
            group.forget(run);
    }
}

void ReplicaRecorder::handleTableRestore()
{
    for (auto& [name, group] : this->groups) {
        if (group.record) {
            group.lost.members.insert(group.record->members.begin(), group.record->members.end());
            group.lost.ended.insert(group.record->ended.begin(), group.record->ended.end());
        }
        group.record.reset();
    }
}

static bool isRunning(const EndpointId& endpoint, const EndpointStatusesReceived& event)
{
    return event.statuses.count(endpoint) || event.listening.count(endpoint);
}

// An endpoint that runs again may receive: what bounded its log does so no more.
std::vector<RecorderEffect> ReplicaRecorder::findReturned(Group& group, const EndpointStatusesReceived& event)
{
    Effects effects;
    const auto report = [&](const EndpointRun& run) {
        effects.emplace_back(LogPromotionStep { group.name, "replica_runs_again", describe(run) });
    };
    for (const auto& [run, address] : group.absentees()) {
        if (!group.isReplaced(run, address) && isRunning(run.endpoint, event) && group.ended.count(run)) {
            group.forget(run);
            report(run);
        }
    }
    for (const auto& [run, address] : group.endedRuns()) {
        if (!isRunning(run.endpoint, event))
            continue;
        const EndpointRun unknown { run.endpoint, 0 };
        group.forget(run);
        group.forget(unknown);
        group.returned[unknown] = address;
        report(run);
    }
    return effects;
}

// What the primary has in the same round of answers does not bound the log of a run that ended before its end was seen,
// but what it has in the next one does.
std::vector<RecorderEffect> ReplicaRecorder::findEnded(
    Group& group, const EndpointStatusesReceived& event, Instant now) const
{
    Effects effects;
    for (const auto& [run, address] : group.absentees()) {
        if (group.hasEnded(run, address))
            continue;
        if (isRunning(run.endpoint, event)) {
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
    const std::set<EndpointRun> coveredBefore = group.covered;
    Effects effects = findReturned(group, event);
    findCovered(group, event);
    for (auto& effect : this->findEnded(group, event, now))
        effects.push_back(std::move(effect));
    // Another recorder may have written the row already.
    if ((group.covered != coveredBefore || !group.returned.empty()) && !group.callInProgress)
        group.record.reset();
    const bool isPaused = std::any_of(event.statuses.begin(), event.statuses.end(),
        [](const auto& answered) { return answered.second.heldTerm > 0; });
    if (isPaused) {
        effects.emplace_back(LogPromotionStep { group.name, "paused_replicas_found", {} });
        effects.emplace_back(PausedReplicasFound { group.name });
    }
    return effects;
}

void ReplicaRecorder::findCovered(Group& group, const EndpointStatusesReceived& event)
{
    const EndpointId primary = group.primary();
    const auto leader = event.statuses.find(primary);
    if (leader == event.statuses.end() || leader->second.role != EndpointRole::Primary)
        return;
    for (const auto& [absent, address] : group.absentees()) {
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
        } else if (GroupRecord wanted = this->makeRecord(group); wanted != *group.record) {
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
    const bool mustConfirm = now >= group.nextQuery && group.awaitsReplicas();
    const bool mustProbe = now >= group.nextQuery && !group.endedRuns().empty();
    const bool mustCheckPauses = now >= group.nextPauseCheck;
    if (group.queryInProgress || (!mustConfirm && !mustProbe && !mustCheckPauses))
        return effects;
    group.queryInProgress = true;
    QueryEndpointStatuses query { group.name, ++group.query, {} };
    query.unregistered = group.unregistered();
    const auto absent = group.absentees();
    const bool awaitsLog = std::any_of(
        absent.begin(), absent.end(), [&group](const auto& run) { return group.hasEnded(run.first, run.second); });
    group.nextQuery = now + (awaitsLog ? this->settings.confirmInterval : this->settings.probeInterval);
    if (mustCheckPauses)
        group.nextPauseCheck = now + this->settings.pauseCheckInterval;
    for (const auto& [id, member] : group.members) {
        if (mustConfirm || mustCheckPauses)
            query.endpoints.push_back(id);
    }
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
        if (!group.callInProgress && (!group.record || this->makeRecord(group) != *group.record))
            include(group.nextCall);
        if (!group.queryInProgress && (group.awaitsReplicas() || !group.endedRuns().empty()))
            include(group.nextQuery);
    }
    return next;
}

} // namespace Lavendervane
