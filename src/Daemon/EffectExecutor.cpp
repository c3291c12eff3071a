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

void EffectExecutor::execute(const Effects& effects)
{
    for (const ControlEffect& effect : effects)
        std::visit([this](const auto& alternative) { this->execute(alternative); }, effect);
}

uint64_t EffectExecutor::holdProbeReply(PeerHandler::ProbeReply reply)
{
    this->probeReplies.emplace(++this->lastCall, std::move(reply));
    return this->lastCall;
}

void EffectExecutor::handle(const ControlEvent& event) { this->sink.handleEvent(event); }

PeerClient::GossipCallback EffectExecutor::makeAnswerCallback()
{
    return [this](const std::optional<GossipMessage>& answer) {
        if (answer)
            this->handle(PeerAnswered { bootTimeNow(), *answer });
    };
}

void EffectExecutor::execute(const ProbePeer& probe)
{
    std::optional<VmId> via;
    if (probe.via)
        via = probe.via->vm;
    auto done = [this, target = probe.target.vm, via](const std::optional<GossipMessage>& answer) {
        // Another VM may have taken over the address; its answer says nothing about the VM that was probed.
        if (answer && answer->from.vm == target)
            this->handle(PeerAnswered { bootTimeNow(), *answer });
        else
            this->handle(MembershipEvent(ProbeFailed { bootTimeNow(), target, via }));
    };
    if (probe.via)
        this->peerClient.probeThrough(probe.via->address, probe.target, probe.message, std::move(done));
    else
        this->peerClient.probe(probe.target.address, probe.message, std::move(done));
}

void EffectExecutor::execute(const ProbeSeed& probe)
{
    this->peerClient.probe(probe.address, probe.message, this->makeAnswerCallback());
}

void EffectExecutor::execute(const PushGossip& push)
{
    this->peerClient.probe(push.target.address, push.message, this->makeAnswerCallback());
}

void EffectExecutor::execute(const AnswerProbe& answer)
{
    const auto found = this->probeReplies.find(answer.call);
    if (found == this->probeReplies.end())
        return;
    const auto reply = std::move(found->second);
    this->probeReplies.erase(found);
    reply(answer.message);
}

void EffectExecutor::execute(const FetchChanges& fetch)
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

void EffectExecutor::execute(const FetchVmList&)
{
    if (!this->platform)
        return;
    this->platform->listVms([this](std::optional<std::vector<Member>> vms) {
        if (vms)
            this->handle(MembershipEvent(VmListReceived { bootTimeNow(), std::move(*vms) }));
    });
}

void EffectExecutor::execute(const PublishSnapshot&) { this->sink.publishSnapshot(); }

void EffectExecutor::execute(const SendFence& fence)
{
    LOG(INFO) << "event=fence endpoint=" << fence.endpoint << " address=" << fence.address << " term=" << fence.term;
    this->endpoints.start(fence);
}

void EffectExecutor::execute(const SendPromote& promote)
{
    LOG(INFO) << "event=promote endpoint=" << promote.endpoint << " address=" << promote.address
              << " term=" << promote.term;
    this->endpoints.start(promote);
}

void EffectExecutor::execute(const ReadChainRows& read)
{
    auto done = [this, purpose = read.purpose, operation = read.operation](TableResult result) {
        this->handle(ChainEvent(ChainRowsRead { bootTimeNow(), purpose, operation, std::move(result) }));
    };
    if (this->platform)
        this->platform->read(read.keys, std::move(done));
    else
        boost::asio::post(this->context, [done] { done({ TableStatus::NotSent, {} }); });
}

void EffectExecutor::execute(const WriteChainRows& write)
{
    auto done = [this, operation = write.operation](TableResult result) {
        this->handle(ChainEvent(ChainRowsWritten { bootTimeNow(), operation, std::move(result) }));
    };
    if (this->platform)
        this->platform->transact(write.transaction, std::move(done));
    else
        boost::asio::post(this->context, [done] { done({ TableStatus::NotSent, {} }); });
}

void EffectExecutor::execute(const ReadChainSnapshot& read)
{
    if (!this->platform)
        return;
    this->platform->getObject(read.object, [this](std::optional<std::string> snapshot) {
        this->handle(ChainEvent(ChainSnapshotRead { bootTimeNow(), std::move(snapshot) }));
    });
}

void EffectExecutor::execute(const WriteChainSnapshot& write)
{
    if (!this->platform)
        return;
    this->platform->putObject(write.object, write.snapshot, [object = write.object](bool stored) {
        LOG_IF(WARNING, !stored) << "event=snapshot_not_stored object=" << object;
    });
}

void EffectExecutor::execute(const CommitFinished& finished) { this->sink.finishCommit(finished); }

} // namespace Lavendervane
