#include "Statements/ReachabilityPoll.h"

#include <utility>

namespace Lavendervane {

ReachabilityPoll::ReachabilityPoll(
    Timers& timers, PeerTransport& transport, VmId own, ReachabilityPollSettings settings, uint64_t seed)
    : timers(timers)
    , transport(transport)
    , own(std::move(own))
    , settings(settings)
    , random(seed)
{
}

ReachabilityPoll::~ReachabilityPoll()
{
    for (auto& [number, question] : this->questions)
        this->timers.cancel(question.timer);
}

void ReachabilityPoll::setPeers(const std::vector<FleetMember>& peers)
{
    this->addresses.clear();
    for (const FleetMember& peer : peers) {
        if (peer.vm != this->own && !peer.address.empty())
            this->addresses.push_back(peer.address);
    }
}

void ReachabilityPoll::ask(const GroupId& group, const EndpointId& endpoint, Callback callback)
{
    Question question;
    question.group = group;
    question.endpoint = endpoint;
    question.callback = std::move(callback);
    auto rest = this->addresses;
    while (!rest.empty() && question.answers.size() < this->settings.sample) {
        const size_t chosen = this->random.below(rest.size());
        question.answers.emplace(rest[chosen], Reachability::Unknown);
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    const uint64_t number = ++this->lastNumber;
    this->sendRound(number, this->questions.emplace(number, std::move(question)).first->second);
}

void ReachabilityPoll::sendRound(uint64_t number, Question& question)
{
    ++question.round;
    for (const auto& [address, answer] : question.answers) {
        if (answer == Reachability::Unknown)
            this->transport.send(address, ReachabilityRequest { number, question.group, question.endpoint });
    }
    question.timer = this->timers.schedule(this->timers.now() + this->settings.roundInterval, [this, number] {
        Question& asked = this->questions.at(number);
        if (!this->finishIfCertain(number, asked.round >= this->settings.rounds))
            this->sendRound(number, asked);
    });
}

void ReachabilityPoll::replyReceived(const std::string& sender, const ReachabilityReply& reply)
{
    const auto found = this->questions.find(reply.requestId);
    if (found == this->questions.end() || found->second.endpoint != reply.endpoint)
        return;
    const auto answer = found->second.answers.find(sender);
    if (answer == found->second.answers.end())
        return;
    answer->second = reply.reachability;
    this->finishIfCertain(reply.requestId, false);
}

bool ReachabilityPoll::finishIfCertain(uint64_t number, bool lastRound)
{
    const auto found = this->questions.find(number);
    ReachabilityCounts opinions;
    opinions.asked = static_cast<uint32_t>(found->second.answers.size());
    for (const auto& [address, answer] : found->second.answers) {
        opinions.reachable += answer == Reachability::Reachable;
        opinions.unreachable += answer == Reachability::Unreachable;
    }
    // The asking VM counts as one that does not reach the endpoint.
    const uint32_t all = opinions.asked + 1;
    const bool certain = 2 * (opinions.unreachable + 1) > all || 2 * opinions.reachable >= all;
    if (!certain && !lastRound)
        return false;
    this->timers.cancel(found->second.timer);
    const Callback callback = std::move(found->second.callback);
    this->questions.erase(found);
    callback(opinions);
    return true;
}

} // namespace Lavendervane
