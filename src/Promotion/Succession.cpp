#include "Promotion/Succession.h"

#include <algorithm>

namespace Lavendervane {

using Action = SuccessionAnswer::Action;

static SuccessionAnswer postpone(std::string reason)
{
    SuccessionAnswer answer;
    answer.reason = std::move(reason);
    return answer;
}

void Succession::learnTerm(uint64_t term) { this->seenTerm = std::max(this->seenTerm, term); }

// An order that was recorded may not have been carried out. It was not if its endpoint, in the same run, does not know
// the term.
bool Succession::isLeadershipRefuted(const SuccessionQuestion& question) const
{
    const LeadershipRecord& leadership = this->record.leadership;
    const auto member = question.members.find(leadership.endpoint);
    const auto status = question.statuses.find(leadership.endpoint);
    return member != question.members.end() && member->second.startedAt == leadership.startedAt
        && status != question.statuses.end() && status->second.term < leadership.term;
}

// Returns the newest term in which an endpoint is known to have led.
uint64_t Succession::newestSeenTerm(const SuccessionQuestion& question) const
{
    uint64_t newest = this->seenTerm;
    for (const auto& [id, status] : question.statuses)
        newest = std::max(newest, status.term);
    return newest;
}

uint64_t Succession::newestTerm(const SuccessionQuestion& question) const
{
    uint64_t newest = this->newestSeenTerm(question);
    if (this->record.leadership.term > newest && !this->isLeadershipRefuted(question))
        newest = this->record.leadership.term;
    return newest;
}

uint64_t Succession::nextTerm(const SuccessionQuestion& question) const { return this->newestTerm(question) + 1; }

uint64_t Succession::nextPauseTerm(const SuccessionQuestion& question) const
{
    uint64_t newest = this->newestTerm(question);
    for (const auto& [id, status] : question.statuses)
        newest = std::max(newest, status.heldTerm);
    return newest + 1;
}

EndpointId Succession::oldPrimary(const SuccessionQuestion& question) const
{
    return question.oldPrimary.empty() ? this->record.primary : question.oldPrimary;
}

// Runs on which an acknowledged commit may be stored besides the old primary. An endpoint that is not registered any
// more may come back with its log. One at the address of the old primary is that one under another ID.
std::set<EndpointRun> Succession::possibleHolders(const SuccessionQuestion& question) const
{
    const EndpointId primary = this->oldPrimary(question);
    std::set<std::string> primaryAddresses;
    const auto registered = question.members.find(primary);
    if (registered != question.members.end())
        primaryAddresses.insert(registered->second.address);
    for (const auto& [run, address] : this->record.members) {
        if (run.endpoint == primary && registered == question.members.end())
            primaryAddresses.insert(address);
    }
    primaryAddresses.erase("");
    std::set<EndpointRun> holders;
    std::set<std::string> addresses;
    for (const auto& [id, member] : question.members) {
        addresses.insert(member.address);
        if (id != primary && !primaryAddresses.count(member.address))
            holders.insert({ id, member.startedAt });
    }
    addresses.erase("");
    for (const auto& [run, address] : this->record.members) {
        const bool isKnown = std::any_of(holders.begin(), holders.end(),
            [&recorded = run](const EndpointRun& holder) { return holder.matches(recorded); });
        // The record of an older program version does not tell runs apart.
        const bool isReplaced = !run.startedAt && addresses.count(address);
        if (run.endpoint != primary && !primaryAddresses.count(address) && !isKnown && !isReplaced)
            holders.insert(run);
    }
    for (const auto& [run, address] : this->record.ended) {
        const bool runsAgain = question.statuses.count(run.endpoint) || question.listening.count(run.endpoint);
        const bool isRegistered = question.members.count(run.endpoint) || addresses.count(address);
        if (runsAgain && !isRegistered && run.endpoint != primary && !primaryAddresses.count(address))
            holders.insert({ run.endpoint, 0 });
    }
    return holders;
}

std::map<EndpointId, std::string> Succession::unregisteredHolders(const SuccessionQuestion& question) const
{
    std::map<EndpointId, std::string> addresses;
    if (!this->synchronousReplicas)
        return addresses;
    for (const auto& [run, address] : this->record.ended) {
        if (!question.members.count(run.endpoint) && run.endpoint != this->oldPrimary(question))
            addresses[run.endpoint] = address;
    }
    for (const EndpointRun& run : this->possibleHolders(question)) {
        const auto recorded = this->record.members.find(run);
        const bool isUnregistered = !question.members.count(run.endpoint) && recorded != this->record.members.end();
        if (isUnregistered && !recorded->second.empty())
            addresses[run.endpoint] = recorded->second;
    }
    return addresses;
}

// An endpoint that is not registered answers for its newest run.
bool Succession::isPresentRun(const EndpointRun& run, const SuccessionQuestion& question) const
{
    if (const auto member = question.members.find(run.endpoint); member != question.members.end())
        return run.matches({ run.endpoint, member->second.startedAt });
    const auto next = this->record.members.upper_bound(run);
    return next == this->record.members.end() || next->first.endpoint != run.endpoint;
}

// Returns what the run has answered; null if it did not, or if the answer may be that of a later run. One that knows no
// term has received nothing since it started, and may have started after the registry was read.
const EndpointStatus* Succession::answerOf(const EndpointRun& run, const SuccessionQuestion& question) const
{
    const auto status = question.statuses.find(run.endpoint);
    if (status == question.statuses.end() || !this->isPresentRun(run, question))
        return nullptr;
    const bool mayHaveRestarted = !status->second.term && this->newestTerm(question) && !question.acceptsOutdated;
    return mayHaveRestarted ? nullptr : &status->second;
}

// With synchronous replication, endpoints are asked that are not registered.
bool Succession::mayBePromoted(const EndpointId& id, const SuccessionQuestion& question) const
{
    const auto member = question.members.find(id);
    return member == question.members.end() ? !this->synchronousReplicas : !member->second.isEvacuated;
}

// Returns the endpoint with the highest log position. A promotion discards all commits that the promoted one lacks.
static EndpointId mostAdvanced(const std::map<EndpointId, EndpointStatus>& statuses)
{
    const auto best = std::max_element(statuses.begin(), statuses.end(),
        [](const auto& left, const auto& right) { return left.second.received < right.second.received; });
    return best == statuses.end() ? EndpointId() : best->first;
}

// A replica that does not know the newest term lacks the commits of that term, and may hold commits that were discarded
// when it began. An order without an answer may still be executed after a later one, and an unfenced platform does not
// refuse it then; ordering the same endpoint again makes the late execution harmless.
SuccessionAnswer Succession::decide(const SuccessionQuestion& question) const
{
    std::map<EndpointId, EndpointStatus> candidates = question.statuses;
    candidates.erase(question.oldPrimary);
    std::erase_if(candidates, [&](const auto& candidate) { return !this->mayBePromoted(candidate.first, question); });
    const uint64_t newest = this->newestTerm(question);
    const size_t outdated = question.acceptsOutdated
        ? 0
        : std::erase_if(candidates, [newest](const auto& candidate) { return candidate.second.term < newest; });
    if (candidates.empty())
        return postpone(outdated ? "the replicas that answered do not know the newest term"
                                 : "no replica answered the status query");
    const bool repeatsOrder
        = question.barrier == CommitBarrier::PrimaryRevoked && candidates.count(question.orderedBefore);
    const EndpointId best = repeatsOrder ? question.orderedBefore : mostAdvanced(candidates);
    if (this->synchronousReplicas)
        return this->requireAcknowledgedCommits(question, best);
    return { Action::Promote, best, {}, false };
}

SuccessionAnswer Succession::requireAcknowledgedCommits(
    const SuccessionQuestion& question, const EndpointId& best) const
{
    size_t missing = 0;
    size_t notPaused = 0;
    std::string names;
    for (const EndpointRun& holder : this->possibleHolders(question)) {
        const EndpointStatus* status = this->answerOf(holder, question);
        if (!status) {
            ++missing;
            names.append(" ").append(describe(holder));
        }
        notPaused += !status || status->heldTerm < question.pauseTerm;
    }
    SuccessionAnswer answer { Action::Postpone, best, {}, false };
    const LogPosition& position = question.statuses.at(best).received;
    if (question.lastAcknowledged && question.barrier == CommitBarrier::PrimaryRevoked
        && position >= *question.lastAcknowledged) {
        answer.action = Action::Promote;
        return answer;
    }
    if (missing >= this->synchronousReplicas) {
        answer.reason = "replicas that may hold acknowledged commits did not answer:" + names;
        answer.awaitsReplica = true;
        return answer;
    }
    // What was acknowledged in an earlier term is in the log of the endpoint that led the next one.
    if (position < this->acknowledged && this->acknowledged.term.counter >= this->newestSeenTerm(question)) {
        answer.reason = "the replicas that answered lack acknowledged commits";
        answer.awaitsReplica = true;
        return answer;
    }
    if (const EndpointId ahead = this->unpromotableAhead(question, best, false); !ahead.empty()) {
        answer.reason = "only a replica that is not registered holds all acknowledged commits: " + ahead.str();
        answer.awaitsReplica = true;
        return answer;
    }
    const bool receive = question.barrier == CommitBarrier::ReplicasPaused && notPaused >= this->synchronousReplicas;
    if (question.barrier == CommitBarrier::None || receive) {
        answer.action = Action::StopCommits;
        return answer;
    }
    if (!this->unpromotableAhead(question, best, true).empty()) {
        answer.reason = "only a replica in an evacuated data centre holds all commits that may be acknowledged";
        return answer;
    }
    answer.action = Action::Promote;
    return answer;
}

// Returns an endpoint, registered or not, that holds more than `best` and may not be promoted; empty if there is none.
EndpointId Succession::unpromotableAhead(
    const SuccessionQuestion& question, const EndpointId& best, bool isRegistered) const
{
    const LogPosition& position = question.statuses.at(best).received;
    for (const auto& [id, status] : question.statuses) {
        if (id != question.oldPrimary && (question.members.count(id) > 0) == isRegistered && status.received > position
            && !this->mayBePromoted(id, question))
            return id;
    }
    return {};
}

} // namespace Lavendervane
