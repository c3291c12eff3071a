#pragma once

#include "Core/RandomGenerator.h"
#include "Limits/ShareLedger.h"
#include "Peers/PeerTransport.h"
#include "Runtime/Timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Lavendervane {

struct ReachabilityPollSettings {
    /// VMs that are asked at most; a sample of this size shows a majority well enough.
    uint32_t sample = 24;
    /// Pause between two rounds of questions. A VM that has not heard of the endpoint lately tries it meanwhile.
    Duration roundInterval = std::chrono::milliseconds(150);
    uint32_t rounds = 4;
};

/// Answers of other VMs to the question whether they reach an endpoint.
struct ReachabilityCounts {
    uint32_t asked = 0;
    uint32_t reachable = 0;
    uint32_t unreachable = 0;
};

/// Asks other VMs whether they reach an endpoint, until a majority is certain either way or the rounds are over.
class ReachabilityPoll {
public:
    using Callback = std::function<void(ReachabilityCounts)>;

    ReachabilityPoll(Timers&, PeerTransport&, VmId own, ReachabilityPollSettings, uint64_t seed);
    ~ReachabilityPoll();

    ReachabilityPoll(const ReachabilityPoll&) = delete;
    ReachabilityPoll& operator=(const ReachabilityPoll&) = delete;

    void setPeers(const std::vector<FleetMember>&);
    const std::vector<std::string>& peers() const { return this->addresses; }

    /// The callback is called once, unless this object ends first.
    void ask(const GroupId&, const EndpointId&, Callback);

    void replyReceived(const std::string& sender, const ReachabilityReply&);

private:
    struct Question {
        GroupId group;
        EndpointId endpoint;
        std::map<std::string, Reachability> answers; ///< by address
        uint32_t round = 0;
        Callback callback;
        Timers::Handle timer;
    };

    void sendRound(uint64_t number, Question&);
    bool finishIfCertain(uint64_t number, bool lastRound);

    Timers& timers;
    PeerTransport& transport;
    VmId own;
    ReachabilityPollSettings settings;
    RandomGenerator random;
    std::vector<std::string> addresses;
    std::map<uint64_t, Question> questions;
    uint64_t lastNumber = 0;
};

} // namespace Lavendervane
