#include "Groups/Promotion.h"

#include "Groups/CommandTimeout.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Lavendervane {

// The first attempt may use a connection that was lost without notice; the second one uses a fresh connection.
static constexpr uint32_t maxSendCount = 2;

Promotion::Promotion(Term term, std::vector<GroupMember> members, bool mayPromoteLeaving)
    : ownTerm(std::move(term))
    , members(std::move(members))
    , mayPromoteLeaving(mayPromoteLeaving)
    , fenceCommands(this->members.size())
    , logEnds(this->members.size())
{
}

const GroupMember& Promotion::candidate() const
{
    assert(this->candidateIndex);
    return this->members[*this->candidateIndex];
}

void Promotion::start(Instant now, std::vector<GroupEffect>& effects)
{
    for (size_t index = 0; index < this->members.size(); ++index)
        this->sendFence(index, now, effects);
}

void Promotion::tick(Instant now, std::vector<GroupEffect>& effects)
{
    if (this->currentState == State::Fencing) {
        for (size_t index = 0; index < this->members.size(); ++index) {
            const auto& pendingSince = this->fenceCommands[index].pendingSince;
            if (pendingSince && now - *pendingSince >= commandTimeout)
                this->onCommandFailed(index, now, effects);
        }
    } else if (this->currentState == State::Promoting && now - *this->promoteCommand.pendingSince >= commandTimeout) {
        this->onCommandFailed(*this->candidateIndex, now, effects);
    }
}

void Promotion::on(const FenceAnswered& answer, std::vector<GroupEffect>& effects)
{
    const auto index = this->indexOf(answer.endpoint);
    if (this->currentState != State::Fencing || answer.term != this->ownTerm || !index)
        return;
    if (!answer.accepted) {
        // Another VM has started a higher term.
        this->currentState = State::Failed;
        return;
    }
    this->fenceCommands[*index].pendingSince.reset();
    this->logEnds[*index] = LogEnd { answer.lastEntryTerm, answer.position };
    this->promoteCandidateIfReady(answer.now, effects);
}

void Promotion::on(const PromoteAnswered& answer)
{
    if (this->currentState != State::Promoting || answer.term != this->ownTerm
        || answer.endpoint != this->candidate().endpoint)
        return;
    this->currentState = answer.accepted ? State::Done : State::Failed;
}

void Promotion::onEndpointFailed(const EndpointId& endpoint, Instant now, std::vector<GroupEffect>& effects)
{
    const auto index = this->indexOf(endpoint);
    if (!index)
        return;
    const bool fencePending
        = this->currentState == State::Fencing && this->fenceCommands[*index].pendingSince.has_value();
    const bool promotePending = this->currentState == State::Promoting && this->candidateIndex == index;
    if (fencePending || promotePending)
        this->onCommandFailed(*index, now, effects);
}

std::optional<size_t> Promotion::indexOf(const EndpointId& endpoint) const
{
    const auto found = std::find_if(this->members.begin(), this->members.end(),
        [&endpoint](const GroupMember& member) { return member.endpoint == endpoint; });
    if (found == this->members.end())
        return std::nullopt;
    return static_cast<size_t>(found - this->members.begin());
}

void Promotion::sendFence(size_t index, Instant now, std::vector<GroupEffect>& effects)
{
    CommandState& command = this->fenceCommands[index];
    command.pendingSince = now;
    ++command.sendCount;
    effects.emplace_back(SendFence { this->members[index].endpoint, this->members[index].address, this->ownTerm });
}

void Promotion::sendPromote(Instant now, std::vector<GroupEffect>& effects)
{
    this->promoteCommand.pendingSince = now;
    ++this->promoteCommand.sendCount;
    const GroupMember& target = this->candidate();
    std::vector<std::string> others;
    for (const GroupMember& member : this->members) {
        if (member.endpoint != target.endpoint)
            others.push_back(member.address);
    }
    effects.emplace_back(SendPromote { target.endpoint, target.address, this->ownTerm, std::move(others) });
}

void Promotion::onCommandFailed(size_t index, Instant now, std::vector<GroupEffect>& effects)
{
    if (this->currentState == State::Promoting) {
        // The member may have been promoted although the answer was lost, so no other member can be promoted in this
        // term.
        if (this->promoteCommand.sendCount < maxSendCount)
            this->sendPromote(now, effects);
        else
            this->currentState = State::Failed;
        return;
    }
    if (this->fenceCommands[index].sendCount < maxSendCount) {
        this->sendFence(index, now, effects);
        return;
    }
    this->fenceCommands[index].pendingSince.reset();
    this->promoteCandidateIfReady(now, effects);
}

void Promotion::promoteCandidateIfReady(Instant now, std::vector<GroupEffect>& effects)
{
    const bool allFencesFinished = std::none_of(this->fenceCommands.begin(), this->fenceCommands.end(),
        [](const CommandState& command) { return command.pendingSince.has_value(); });
    this->candidateIndex = this->findBestCandidate(false);
    if (!this->candidateIndex && allFencesFinished && this->mayPromoteLeaving)
        this->candidateIndex = this->findBestCandidate(true);
    if (this->candidateIndex) {
        this->currentState = State::Promoting;
        this->sendPromote(now, effects);
    } else if (allFencesFinished) {
        this->currentState = State::Failed;
    }
}

std::optional<size_t> Promotion::findBestCandidate(bool leavingAllowed) const
{
    // A majority of the members holds every acknowledged write. It shares a member with the majority whose logs are no
    // more recent than the candidate's, so the candidate holds the write even if another fenced member has a longer
    // log.
    std::optional<size_t> best;
    for (size_t index = 0; index < this->members.size(); ++index) {
        const auto& log = this->logEnds[index];
        if (!log || (this->members[index].leaving && !leavingAllowed))
            continue;
        const auto covered = std::count_if(this->logEnds.begin(), this->logEnds.end(),
            [&log](const std::optional<LogEnd>& other) { return other && *other <= *log; });
        const bool coversMajority = static_cast<size_t>(covered) >= majoritySize(this->members.size());
        if (coversMajority && (!best || *log > *this->logEnds[*best]))
            best = index;
    }
    return best;
}

} // namespace Lavendervane
