#include "Daemon/EffectExecutor.h"

#include "Runtime/BootTime.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace Lavendervane {

EffectExecutor::EffectExecutor(
    boost::asio::io_context& context, const Settings& settings, AdmissionTable& admission, EffectSink& sink)
    : context(context)
    , admission(admission)
    , sink(sink)
    , peerClient(context, settings.peerSecret)
    , endpoints(context, [this](GroupEvent event) { this->handle(std::move(event)); })
{
    if (!settings.platformAddress.empty())
        this->platform = std::make_unique<PlatformClient>(context, settings.platformAddress);
}

void EffectExecutor::carryOut(const Effects& effects)
{
    for (const ControlEffect& effect : effects)
        std::visit([this](const auto& alternative) { this->carryOut(alternative); }, effect);
}

uint64_t EffectExecutor::holdProbeReply(PeerHandler::ProbeReply reply)
{
    this->probeReplies.emplace(++this->lastCall, std::move(reply));
    return this->lastCall;
}

void EffectExecutor::handle(const ControlEvent& event) { this->sink.handleEvent(event); }

PeerClient::NewsCallback EffectExecutor::reportAnswer()
{
    return [this](const std::optional<GossipMessage>& news) {
        if (news)
            this->handle(PeerAnswered { bootTimeNow(), *news });
    };
}

void EffectExecutor::carryOut(const ProbePeer& probe)
{
    std::optional<VmId> via;
    if (probe.via)
        via = probe.via->vm;
    auto done = [this, target = probe.target.vm, via](const std::optional<GossipMessage>& news) {
        // Another VM may have taken over the address; its answer says nothing about the one that was probed.
        if (news && news->from.vm == target)
            this->handle(PeerAnswered { bootTimeNow(), *news });
        else
            this->handle(MembershipEvent(ProbeFailed { bootTimeNow(), target, via }));
    };
    if (probe.via)
        this->peerClient.probeThrough(probe.via->address, probe.target, probe.message, std::move(done));
    else
        this->peerClient.probe(probe.target.address, probe.message, std::move(done));
}

void EffectExecutor::carryOut(const ProbeSeed& probe)
{
    this->peerClient.probe(probe.address, probe.message, this->reportAnswer());
}

void EffectExecutor::carryOut(const PushGossip& push)
{
    this->peerClient.probe(push.target.address, push.message, this->reportAnswer());
}

void EffectExecutor::carryOut(const AnswerProbe& answer)
{
    const auto found = this->probeReplies.find(answer.call);
    if (found == this->probeReplies.end())
        return;
    const auto reply = std::move(found->second);
    this->probeReplies.erase(found);
    reply(answer.message);
}

void EffectExecutor::carryOut(const FetchChanges& fetch)
{
    this->peerClient.fetchChanges(
        fetch.peer.address, fetch.fromVersion, [this, peer = fetch.peer.vm](std::optional<ChangesAnswer> answer) {
            PeerChangesReceived received { bootTimeNow(), peer, {}, std::nullopt };
            if (answer) {
                received.changes = std::move(answer->changes);
                received.snapshot = std::move(answer->snapshot);
            }
            this->handle(ChainEvent(std::move(received)));
        });
}

void EffectExecutor::carryOut(const FetchVmList&)
{
    if (!this->platform)
        return;
    this->platform->listVms([this](std::optional<std::vector<Member>> vms) {
        if (vms)
            this->handle(MembershipEvent(VmListReceived { bootTimeNow(), std::move(*vms) }));
    });
}

void EffectExecutor::carryOut(const PublishSnapshot&) { this->sink.publishSnapshot(); }

void EffectExecutor::carryOut(const SendFence& fence)
{
    LOG(INFO) << "event=fence endpoint=" << fence.endpoint << " address=" << fence.address << " term=" << fence.term;
    this->endpoints.start(fence);
}

void EffectExecutor::carryOut(const SendPromote& promote)
{
    LOG(INFO) << "event=promote endpoint=" << promote.endpoint << " address=" << promote.address
              << " term=" << promote.term;
    this->endpoints.start(promote);
}

void EffectExecutor::carryOut(const ReadChainRows& read)
{
    auto done = [this, purpose = read.purpose, operation = read.operation](TableResult result) {
        this->handle(ChainEvent(ChainRowsRead { bootTimeNow(), purpose, operation, std::move(result) }));
    };
    if (this->platform)
        this->platform->read(read.keys, std::move(done));
    else
        boost::asio::post(this->context, [done] { done({ TableStatus::NotSent, {} }); });
}

void EffectExecutor::carryOut(const WriteChainRows& write)
{
    auto done = [this, operation = write.operation](TableResult result) {
        this->handle(ChainEvent(ChainRowsWritten { bootTimeNow(), operation, std::move(result) }));
    };
    if (this->platform)
        this->platform->transact(write.transaction, std::move(done));
    else
        boost::asio::post(this->context, [done] { done({ TableStatus::NotSent, {} }); });
}

void EffectExecutor::carryOut(const ReadChainSnapshot& read)
{
    if (!this->platform)
        return;
    this->platform->getObject(read.object, [this](std::optional<std::string> snapshot) {
        this->handle(ChainEvent(ChainSnapshotRead { bootTimeNow(), std::move(snapshot) }));
    });
}

void EffectExecutor::carryOut(const WriteChainSnapshot& write)
{
    if (!this->platform)
        return;
    this->platform->putObject(write.object, write.snapshot, [object = write.object](bool stored) {
        LOG_IF(WARNING, !stored) << "event=snapshot_not_stored object=" << object;
    });
}

void EffectExecutor::carryOut(const CommitFinished& finished) { this->sink.finishCommit(finished); }

} // namespace Lavendervane
