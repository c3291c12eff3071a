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
    /// Maximum number of VMs to ask. A sample of this size is sufficient to determine the majority.
    uint32_t sampleSize = 24;
    /// Time between two rounds of requests. In the meantime, a VM that has had no recent response from the endpoint
    /// probes it.
    Duration roundInterval = std::chrono::milliseconds(150);
    uint32_t rounds = 4;
};

/// Numbers of VMs that were asked and that reported the endpoint as reachable or unreachable.
struct ReachabilityCounts {
    uint32_t asked = 0;
    uint32_t reachable = 0;
    uint32_t unreachable = 0;
    uint64_t newestTerm = 0; ///< newest term of the group that a VM has reported
    std::vector<CommitEvidence> commits; ///< of the VMs that answered
};

/// Asks other VMs whether they reach the primary of a group, until a majority has agreed or all rounds are over.
class ReachabilityPoll {
public:
    using Callback = std::function<void(ReachabilityCounts)>;

    ReachabilityPoll(Timers&, PeerTransport&, VmId ownVm, ReachabilityPollSettings, uint64_t seed);
    ~ReachabilityPoll();

    ReachabilityPoll(const ReachabilityPoll&) = delete;
    ReachabilityPoll& operator=(const ReachabilityPoll&) = delete;

    void setPeers(const std::vector<FleetMember>&);
    const std::vector<std::string>& peers() const { return this->addresses; }

    /// Starts a poll. The endpoint is the primary that this VM knows, empty if it knows none. The callback is called
    /// once, unless this object is destroyed first.
    void start(const GroupId&, const EndpointId&, Callback);

    void handleReply(const std::string& sender, const ReachabilityReply&);

private:
    struct Poll {
        GroupId group;
        EndpointId endpoint;
        std::map<std::string, Reachability> answers; ///< answer of each VM, by its address
        uint64_t newestTerm = 0;
        std::map<std::string, CommitEvidence> commits; ///< evidence of each VM, by its address
        uint32_t round = 0;
        Callback callback;
        Timers::Handle timer;
    };

    void sendRound(uint64_t pollId, Poll&);
    bool finishIfDecided(uint64_t pollId, bool lastRound);

    Timers& timers;
    PeerTransport& transport;
    VmId ownVm;
    ReachabilityPollSettings settings;
    RandomGenerator random;
    std::vector<std::string> addresses;
    std::map<uint64_t, Poll> polls;
    uint64_t lastPollId = 0;
};

} // namespace Lavendervane
