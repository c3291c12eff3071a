#include "Statements/ReachabilityPoll.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

ReachabilityPoll::ReachabilityPoll(
    Timers& timers, PeerTransport& transport, VmId ownVm, ReachabilityPollSettings settings, uint64_t seed)
    : timers(timers)
    , transport(transport)
    , ownVm(std::move(ownVm))
    , settings(settings)
    , random(seed)
{
}

ReachabilityPoll::~ReachabilityPoll()
{
    for (auto& [pollId, poll] : this->polls)
        this->timers.cancel(poll.timer);
}

void ReachabilityPoll::setPeers(const std::vector<FleetMember>& peers)
{
    this->addresses.clear();
    for (const FleetMember& peer : peers) {
        if (peer.vm != this->ownVm && !peer.address.empty())
            this->addresses.push_back(peer.address);
    }
}

void ReachabilityPoll::start(const GroupId& group, const EndpointId& endpoint, Callback callback)
{
    Poll poll;
    poll.group = group;
    poll.endpoint = endpoint;
    poll.callback = std::move(callback);
    auto remaining = this->addresses;
    while (!remaining.empty() && poll.answers.size() < this->settings.sampleSize) {
        const size_t chosen = this->random.below(remaining.size());
        poll.answers.emplace(remaining[chosen], Reachability::Unknown);
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    const uint64_t pollId = ++this->lastPollId;
    this->sendRound(pollId, this->polls.emplace(pollId, std::move(poll)).first->second);
}

void ReachabilityPoll::sendRound(uint64_t pollId, Poll& poll)
{
    ++poll.round;
    for (const auto& [address, answer] : poll.answers) {
        if (answer == Reachability::Unknown)
            this->transport.send(address, ReachabilityRequest { pollId, poll.group, poll.endpoint });
    }
    poll.timer = this->timers.schedule(this->timers.now() + this->settings.roundInterval, [this, pollId] {
        Poll& running = this->polls.at(pollId);
        if (!this->finishIfDecided(pollId, running.round >= this->settings.rounds))
            this->sendRound(pollId, running);
    });
}

void ReachabilityPoll::handleReply(const std::string& sender, const ReachabilityReply& reply)
{
    const auto found = this->polls.find(reply.requestId);
    if (found == this->polls.end() || found->second.endpoint != reply.endpoint)
        return;
    const auto answer = found->second.answers.find(sender);
    if (answer == found->second.answers.end())
        return;
    answer->second = reply.reachability;
    found->second.newestTerm = std::max(found->second.newestTerm, reply.newestTerm);
    found->second.commits[sender] = reply.commits;
    this->finishIfDecided(reply.requestId, false);
}

bool ReachabilityPoll::finishIfDecided(uint64_t pollId, bool lastRound)
{
    const auto found = this->polls.find(pollId);
    ReachabilityCounts counts;
    counts.newestTerm = found->second.newestTerm;
    for (const auto& [address, evidence] : found->second.commits)
        counts.commits.push_back(evidence);
    counts.asked = static_cast<uint32_t>(found->second.answers.size());
    for (const auto& [address, answer] : found->second.answers) {
        counts.reachable += answer == Reachability::Reachable;
        counts.unreachable += answer == Reachability::Unreachable;
    }
    // This VM counts as one that does not reach the endpoint.
    const uint32_t all = counts.asked + 1;
    const bool decided = 2 * (counts.unreachable + 1) > all || 2 * counts.reachable >= all;
    if (!decided && !lastRound)
        return false;
    this->timers.cancel(found->second.timer);
    const Callback callback = std::move(found->second.callback);
    this->polls.erase(found);
    callback(counts);
    return true;
}

} // namespace Lavendervane
