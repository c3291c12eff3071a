#include "Statements/RequestAdmission.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

RequestAdmission::RequestAdmission(LimitShares& shares, Timers& timers, PeerTransport& transport, VmId ownVm,
    DataCentre dataCentre, RequestAdmissionSettings settings, uint64_t seed)
    : shares(shares)
    , timers(timers)
    , transport(transport)
    , ownVm(std::move(ownVm))
    , dataCentre(std::move(dataCentre))
    , settings(settings)
    , random(seed)
{
}

RequestAdmission::~RequestAdmission()
{
    for (auto& [organisation, queue] : this->waitQueues) {
        if (queue.timer)
            this->timers.cancel(*queue.timer);
    }
}

void RequestAdmission::setPeers(const std::vector<FleetMember>& peers)
{
    this->localLenders.clear();
    this->remoteLenders.clear();
    for (const FleetMember& peer : peers) {
        if (peer.vm == this->ownVm || peer.address.empty() || !peer.holdsShare)
            continue;
        (peer.dataCentre == this->dataCentre ? this->localLenders : this->remoteLenders).push_back(peer.address);
    }
}

uint64_t RequestAdmission::admit(const OrganisationId& organisation, Callback callback)
{
    const Instant now = this->timers.now();
    WaitQueue& queue = this->waitQueues[organisation];
    if (queue.waiters.empty() && this->shares.tryTakeToken(organisation, now)) {
        callback(true);
        return 0;
    }
    if (now < queue.refuseUntil) {
        callback(false);
        return 0;
    }
    const uint64_t requestId = ++this->lastRequestId;
    queue.waiters.push_back({ requestId, std::move(callback) });
    if (!queue.pendingRequest)
        this->requestFromNextLender(organisation, queue);
    return requestId;
}

void RequestAdmission::cancel(uint64_t requestId)
{
    for (auto& [organisation, queue] : this->waitQueues) {
        std::erase_if(queue.waiters, [requestId](const Waiter& waiter) { return waiter.requestId == requestId; });
    }
}

// Chooses the VM that lent tokens most recently, then VMs in the same data centre, then any VM. VMs without callers of
// the organisation have most of the unused tokens.
std::optional<std::string> RequestAdmission::chooseLender(const WaitQueue& queue)
{
    if (queue.askedLenders.size() >= this->settings.maxLenders)
        return std::nullopt;
    if (queue.askedLenders.empty() && !queue.lastLender.empty())
        return queue.lastLender;
    std::vector<std::string> candidates = this->localLenders;
    if (queue.askedLenders.size() >= 2 || candidates.empty())
        candidates.insert(candidates.end(), this->remoteLenders.begin(), this->remoteLenders.end());
    std::erase_if(candidates, [&queue](const std::string& address) {
        return std::find(queue.askedLenders.begin(), queue.askedLenders.end(), address) != queue.askedLenders.end();
    });
    if (candidates.empty())
        candidates = this->remoteLenders;
    if (candidates.empty())
        return std::nullopt;
    return candidates[this->random.below(candidates.size())];
}

void RequestAdmission::requestFromNextLender(const OrganisationId& organisation, WaitQueue& queue)
{
    const auto lender = this->chooseLender(queue);
    if (!lender) {
        this->refuseWaiters(queue);
        return;
    }
    queue.askedLenders.push_back(*lender);
    queue.pendingRequest = ++this->lastRequestId;
    const uint64_t pendingRequest = queue.pendingRequest;
    queue.timer = this->timers.schedule(
        this->timers.now() + this->settings.lenderTimeout, [this, organisation, pendingRequest] {
            WaitQueue& timedOut = this->waitQueues[organisation];
            timedOut.timer.reset();
            if (timedOut.pendingRequest != pendingRequest)
                return;
            if (timedOut.lastLender == timedOut.askedLenders.back())
                timedOut.lastLender.clear();
            timedOut.pendingRequest = 0;
            this->requestFromNextLender(organisation, timedOut);
        });
    const uint64_t wanted = std::max(
        this->shares.borrowAmount(organisation, this->timers.now()), queue.waiters.size() * milliTokensPerRequest);
    this->transport.send(*lender, TokenRequest { pendingRequest, organisation, wanted });
}

void RequestAdmission::handleTokenRequest(const std::string& sender, const TokenRequest& request)
{
    const Instant now = this->timers.now();
    const auto present = this->waitQueues.find(request.organisation);
    const bool needed = present != this->waitQueues.end() && !present->second.waiters.empty();
    const uint64_t lent = needed ? 0 : this->shares.lend(request.organisation, request.requestedMilliTokens, now);
    this->transport.send(sender, TokenReply { request.requestId, request.organisation, lent });
}

void RequestAdmission::handleTokenReply(const std::string& sender, const TokenReply& reply)
{
    // Tokens that arrive after the time-out are valid too.
    this->shares.addBorrowed(reply.organisation, reply.lentMilliTokens);
    const auto present = this->waitQueues.find(reply.organisation);
    if (present == this->waitQueues.end())
        return;
    WaitQueue& queue = present->second;
    if (reply.lentMilliTokens)
        queue.lastLender = sender;
    else if (queue.lastLender == sender)
        queue.lastLender.clear();
    if (queue.pendingRequest == reply.requestId) {
        queue.pendingRequest = 0;
        if (queue.timer)
            this->timers.cancel(*queue.timer);
        queue.timer.reset();
    }
    this->admitWaiters(reply.organisation, queue);
}

void RequestAdmission::admitWaiters(const OrganisationId& organisation, WaitQueue& queue)
{
    while (!queue.waiters.empty() && this->shares.tryTakeToken(organisation, this->timers.now())) {
        Waiter next = std::move(queue.waiters.front());
        queue.waiters.pop_front();
        next.callback(true);
    }
    if (queue.pendingRequest)
        return;
    if (queue.waiters.empty())
        queue.askedLenders.clear();
    else
        this->requestFromNextLender(organisation, queue);
}

void RequestAdmission::refuseWaiters(WaitQueue& queue)
{
    queue.askedLenders.clear();
    queue.pendingRequest = 0;
    queue.refuseUntil = this->timers.now() + this->settings.refusalTime;
    for (Waiter& refused : std::exchange(queue.waiters, {}))
        refused.callback(false);
}

} // namespace Lavendervane
