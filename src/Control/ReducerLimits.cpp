#include "Configuration/Configuration.h"
#include "Control/Reducer.h"

#include <utility>

// Part of Reducer that connects the holder and the allocator of grants. If both are on this VM, their messages are
// handled within the reducer.

namespace Lavendervane {

void Reducer::handle(const GrantCallArrived& arrived)
{
    this->now = arrived.now;
    this->remoteCall = arrived.call;
    this->handle(AllocatorEvent(GrantRequested { arrived.now, arrived.request }));
}

void Reducer::handle(const ClaimCallArrived& arrived)
{
    this->now = arrived.now;
    this->remoteCall = arrived.call;
    this->handle(HolderEvent(ClaimReceived { arrived.now, arrived.claim }));
}

void Reducer::handle(const HolderEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    for (auto& effect : this->state.holder.handle(event))
        std::visit([this](auto& alternative) { this->handleEffect(std::move(alternative)); }, effect);
}

void Reducer::handle(const AllocatorEvent& event)
{
    this->now = std::visit([](const auto& alternative) { return alternative.now; }, event);
    for (auto& effect : this->state.allocator.handle(event))
        std::visit([this](auto& alternative) { this->handleEffect(std::move(alternative)); }, effect);
}

const Member* Reducer::findMember(const VmId& vm) const
{
    const auto& members = this->state.membership.members();
    const auto found = members.find(vm);
    return found == members.end() ? nullptr : &found->second;
}

void Reducer::handleEffect(SendGrantRequest&& send)
{
    if (send.allocator == this->state.settings.self.vm) {
        const auto outerCall = std::exchange(this->remoteCall, std::nullopt);
        this->localRequestSequence = send.request.sequence;
        this->handle(AllocatorEvent(GrantRequested { this->now, send.request }));
        this->remoteCall = outerCall;
    } else if (const Member* allocator = this->findMember(send.allocator))
        this->effects.emplace_back(CallAllocator { *allocator, std::move(send.request) });
    else
        this->handle(HolderEvent(GrantFailed { this->now, send.request.sequence }));
}

void Reducer::handleEffect(SendClaim&& send)
{
    if (send.vm == this->state.settings.self.vm) {
        const auto outerCall = std::exchange(this->remoteCall, std::nullopt);
        this->handle(HolderEvent(ClaimReceived { this->now, send.claim }));
        this->remoteCall = outerCall;
    } else if (const Member* peer = this->findMember(send.vm))
        this->effects.emplace_back(ClaimFromPeer { *peer, std::move(send.claim) });
}

void Reducer::handleEffect(AnswerGrant&& answer)
{
    if (this->remoteCall)
        this->effects.emplace_back(ReplyToGrantCall { *this->remoteCall, std::move(answer) });
    else if (answer.accepted)
        this->handle(HolderEvent(GrantAnswered { this->now, std::move(answer.response) }));
    else
        this->handle(HolderEvent(GrantFailed { this->now, this->localRequestSequence }));
}

void Reducer::handleEffect(AnswerClaim&& answer)
{
    if (this->remoteCall)
        this->effects.emplace_back(ReplyToClaimCall { *this->remoteCall, std::move(answer) });
    else if (answer.accepted)
        this->handle(AllocatorEvent(ClaimAnswered { this->now, std::move(answer.report) }));
    else
        this->handle(AllocatorEvent(EpochObserved { this->now, answer.report.epoch }));
}

void Reducer::updateLocalVms()
{
    auto vms = this->state.membership.activeVms(this->state.settings.self.dataCentre);
    if (vms == this->state.localVms)
        return;
    this->state.localVms = vms;
    this->handle(AllocatorEvent(LiveVmsChanged { this->now, std::move(vms) }));
}

void Reducer::configureLimits()
{
    const Configuration& configuration = *this->state.configuration;
    LimitsConfigured configured { this->now, configuration.version, configuration.dataCentres, {} };
    configured.limits.reserve(configuration.organisations.size());
    for (const auto& [name, organisation] : configuration.organisations)
        configured.limits.push_back({ name, organisation.limit });
    this->handle(AllocatorEvent(std::move(configured)));
}

} // namespace Lavendervane
