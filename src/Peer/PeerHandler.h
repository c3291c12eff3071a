#pragma once

#include "Configuration/Change.h"
#include "Control/GossipMessage.h"
#include "Limits/GrantMessages.h"

#include <functional>
#include <optional>
#include <vector>

namespace Lavendervane {

/// Answer to `fetchChanges`: the changes after the requested version, or a snapshot if they are no longer stored.
struct ChangesAnswer {
    uint64_t version = 0; ///< configuration version in force at the answering VM
    std::vector<Change> changes;
    std::optional<Configuration> snapshot;
};

/// Handles the calls of peers. All functions are called on the control thread; replies must be called on it too.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    using ProbeReply = std::function<void(GossipMessage)>;
    using RelayReply = std::function<void(std::optional<GossipMessage>)>;
    using ChangesReply = std::function<void(ChangesAnswer)>;

    virtual void probe(GossipMessage, ProbeReply) = 0;

    /// Probes `target` on behalf of the sender. Replies with the answer of the target, or nullopt if there is none.
    virtual void relayProbe(Member target, GossipMessage, RelayReply) = 0;

    virtual void fetchChanges(uint64_t fromVersion, ChangesReply) = 0;

    using GrantReply = std::function<void(AnswerGrant)>;
    using ClaimReply = std::function<void(AnswerClaim)>;
    virtual void requestGrant(GrantRequest, GrantReply) = 0;
    virtual void claimAllocator(AllocatorClaim, ClaimReply) = 0;
};

} // namespace Lavendervane
