#pragma once

#include "Control/ControlEffect.h"
#include "Control/ControlEvent.h"
#include "Daemon/EndpointClient.h"
#include "Limits/AdmissionTable.h"
#include "Peer/PeerClient.h"
#include "Peer/PeerHandler.h"
#include "Platform/PlatformClient.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Lavendervane {

/// What the executor hands back to the control loop.
class EffectSink {
public:
    virtual ~EffectSink() = default;
    virtual void handleEvent(const ControlEvent&) = 0;
    virtual void publishSnapshot() = 0;
    virtual void finishCommit(const CommitFinished&) = 0;
    virtual void allocatorStopped() = 0;
};

/// Carries out the effects of the reducer on the control thread. Results come back as events.
class EffectExecutor {
public:
    struct Settings {
        std::string peerSecret;
        std::string platformAddress; ///< empty: calls to the platform end as if it could not be reached
    };

    EffectExecutor(boost::asio::io_context&, const Settings&, AdmissionTable&, EffectSink&);

    void carryOut(const Effects&);

    /// Keeps a reply until the AnswerProbe effect with the returned number is carried out.
    uint64_t holdProbeReply(PeerHandler::ProbeReply);

    /// The same for ReplyToGrantCall and ReplyToClaimCall.
    uint64_t holdGrantReply(PeerHandler::GrantReply);
    uint64_t holdClaimReply(PeerHandler::ClaimReply);

    PeerClient& peers() { return this->peerClient; }

private:
    void carryOut(const ProbePeer&);
    void carryOut(const ProbeSeed&);
    void carryOut(const PushGossip&);
    void carryOut(const AnswerProbe&);
    void carryOut(const FetchChanges&);
    void carryOut(const FetchVmList&);
    void carryOut(const PublishSnapshot&);
    void carryOut(const QueryStatus& effect) { this->endpoints.start(effect); }
    void carryOut(const SendFence& effect);
    void carryOut(const SendPromote& effect);
    void carryOut(const SendFollow& effect) { this->endpoints.start(effect); }
    void carryOut(const ReadChainRows&);
    void carryOut(const WriteChainRows&);
    void carryOut(const ReadChainSnapshot&);
    void carryOut(const WriteChainSnapshot&);
    void carryOut(const CommitFinished&);
    void carryOut(const CallAllocator&);
    void carryOut(const ClaimFromPeer&);
    void carryOut(const ReplyToGrantCall&);
    void carryOut(const ReplyToClaimCall&);
    void carryOut(const ApplyGrant&);
    void carryOut(const LowerGrants&);
    void carryOut(const AllocatorRead&);
    void carryOut(const AllocatorTransact&);
    void carryOut(const AllocatorStopped&) { this->sink.allocatorStopped(); }

    void handle(const ControlEvent&);
    PeerClient::NewsCallback reportAnswer();

    boost::asio::io_context& context;
    AdmissionTable& admission;
    EffectSink& sink;
    PeerClient peerClient;
    EndpointClient endpoints;
    std::unique_ptr<PlatformClient> platform;
    std::map<uint64_t, PeerHandler::ProbeReply> probeReplies;
    std::map<uint64_t, PeerHandler::GrantReply> grantReplies;
    std::map<uint64_t, PeerHandler::ClaimReply> claimReplies;
    uint64_t lastCall = 0;
};

} // namespace Lavendervane
