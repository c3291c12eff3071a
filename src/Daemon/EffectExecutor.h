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

/// Receives the results of effects. Implemented by the control loop.
class EffectSink {
public:
    virtual ~EffectSink() = default;
    virtual void handleEvent(const ControlEvent&) = 0;
    virtual void publishSnapshot() = 0;
    virtual void finishCommit(const CommitFinished&) = 0;
    virtual void handleAllocatorStopped() = 0;
};

/// Carries out the reducer's effects on the control thread and passes their results to the sink.
class EffectExecutor {
public:
    struct Settings {
        std::string peerSecret;
        std::string platformAddress; ///< empty: no platform; table calls end as not sent, others are skipped
    };

    EffectExecutor(boost::asio::io_context&, const Settings&, AdmissionTable&, EffectSink&);

    void execute(const Effects&);

    /// Stores a reply until the AnswerProbe effect with the returned call number sends it.
    uint64_t holdProbeReply(PeerHandler::ProbeReply);

    /// Stores a reply until the ReplyToGrantCall effect with the returned call number sends it.
    uint64_t holdGrantReply(PeerHandler::GrantReply);

    /// Stores a reply until the ReplyToClaimCall effect with the returned call number sends it.
    uint64_t holdClaimReply(PeerHandler::ClaimReply);

    PeerClient& peers() { return this->peerClient; }

private:
    void execute(const ProbePeer&);
    void execute(const ProbeSeed&);
    void execute(const PushGossip&);
    void execute(const AnswerProbe&);
    void execute(const FetchChanges&);
    void execute(const FetchVmList&);
    void execute(const PublishSnapshot&);
    void execute(const QueryStatus& effect) { this->endpoints.start(effect); }
    void execute(const SendFence& effect);
    void execute(const SendPromote& effect);
    void execute(const SendFollow& effect) { this->endpoints.start(effect); }
    void execute(const ReadChainRows&);
    void execute(const WriteChainRows&);
    void execute(const ReadChainSnapshot&);
    void execute(const WriteChainSnapshot&);
    void execute(const CommitFinished&);
    void execute(const CallAllocator&);
    void execute(const ClaimFromPeer&);
    void execute(const ReplyToGrantCall&);
    void execute(const ReplyToClaimCall&);
    void execute(const ApplyGrant&);
    void execute(const LowerGrants&);
    void execute(const AllocatorRead&);
    void execute(const AllocatorTransact&);
    void execute(const AllocatorStopped&) { this->sink.handleAllocatorStopped(); }

    void handle(const ControlEvent&);
    PeerClient::GossipCallback makeAnswerCallback();

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
