#include "Daemon/EffectExecutor.h"
#include "Runtime/BootTime.h"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

// The effects of the grant holder and of the grant allocator.

namespace Lavendervane {

uint64_t EffectExecutor::holdGrantReply(PeerHandler::GrantReply reply)
{
    this->grantReplies.emplace(++this->lastCall, std::move(reply));
    return this->lastCall;
}

uint64_t EffectExecutor::holdClaimReply(PeerHandler::ClaimReply reply)
{
    this->claimReplies.emplace(++this->lastCall, std::move(reply));
    return this->lastCall;
}

void EffectExecutor::execute(const CallAllocator& call)
{
    auto done = [this, sequence = call.request.sequence](const std::optional<AnswerGrant>& answer) {
        if (answer && answer->accepted)
            this->handle(HolderEvent(GrantAnswered { bootTimeNow(), answer->response }));
        else
            this->handle(HolderEvent(GrantFailed { bootTimeNow(), sequence }));
    };
    this->peerClient.requestGrant(call.allocator.address, call.request, std::move(done));
}

void EffectExecutor::execute(const ClaimFromPeer& claim)
{
    auto done = [this](const std::optional<AnswerClaim>& answer) {
        if (!answer)
            return;
        if (answer->accepted)
            this->handle(AllocatorEvent(ClaimAnswered { bootTimeNow(), answer->report }));
        else
            this->handle(AllocatorEvent(EpochObserved { bootTimeNow(), answer->report.epoch }));
    };
    this->peerClient.claimAllocator(claim.peer.address, claim.claim, std::move(done));
}

template <typename Replies, typename Answer> static void reply(Replies& replies, uint64_t call, const Answer& answer)
{
    if (const auto held = replies.extract(call))
        held.mapped()(answer);
}

void EffectExecutor::execute(const ReplyToGrantCall& effect) { reply(this->grantReplies, effect.call, effect.answer); }

void EffectExecutor::execute(const ReplyToClaimCall& effect) { reply(this->claimReplies, effect.call, effect.answer); }

void EffectExecutor::execute(const ApplyGrant& grant) { this->admission.apply(grant, bootTimeNow()); }

void EffectExecutor::execute(const LowerGrants& lowering)
{
    const Instant now = bootTimeNow();
    this->handle(HolderEvent(GrantsLowered { now, this->admission.lower(lowering, now) }));
}

void EffectExecutor::execute(const AllocatorRead& read)
{
    auto done = [this, operation = read.operation](TableResult result) {
        this->handle(AllocatorEvent(AllocatorTableAnswered { bootTimeNow(), operation, std::move(result) }));
    };
    if (this->platform)
        this->platform->read(read.keys, std::move(done));
    else
        boost::asio::post(this->context, [done] { done({ TableStatus::NotSent, {} }); });
}

void EffectExecutor::execute(const AllocatorTransact& transact)
{
    auto done = [this, operation = transact.operation](TableResult result) {
        this->handle(AllocatorEvent(AllocatorTableAnswered { bootTimeNow(), operation, std::move(result) }));
    };
    if (this->platform)
        this->platform->transact(transact.transaction, std::move(done));
    else
        boost::asio::post(this->context, [done] { done({ TableStatus::NotSent, {} }); });
}

} // namespace Lavendervane
