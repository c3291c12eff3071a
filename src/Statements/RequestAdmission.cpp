#include "Statements/RequestAdmission.h"

#include "Core/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Number of VMs that may collect the tokens of an organisation; the second and third replace a VM that does not answer.
static constexpr size_t collectorsPerOrganisation = 3;
// Number of answers among which repetitions are found. A VM gets at most some hundred answers per second.
static constexpr size_t maxRecentReplies = 1000;

RequestAdmission::RequestAdmission(LimitShares& shares, Timers& timers, PeerTransport& transport, VmId ownVm,
    DataCentre dataCentre, RequestAdmissionSettings settings, uint64_t seed)
    : shares(shares)
    , timers(timers)
    , transport(transport)
    , ownVm(std::move(ownVm))
    , dataCentre(std::move(dataCentre))
    , settings(settings)
    , random(seed)
    , collector(shares, timers, transport)
{
}

RequestAdmission::~RequestAdmission()
{
    for (auto& [key, queue] : this->waitQueues) {
        if (queue.timer)
            this->timers.cancel(*queue.timer);
    }
    if (this->returnTimer)
        this->timers.cancel(*this->returnTimer);
}

void RequestAdmission::setPeers(const std::vector<FleetMember>& peers)
{
    this->localLenders.clear();
    this->remoteLenders.clear();
    this->holders.clear();
    this->holderAddresses.clear();
    this->collectors.clear();
    this->sharesAreConcentrated
        = std::any_of(peers.begin(), peers.end(), [](const FleetMember& peer) { return !peer.holdsShare; });
    for (const FleetMember& peer : peers) {
        if (!peer.holdsShare || (peer.address.empty() && peer.vm != this->ownVm))
            continue;
        this->holders.push_back(peer.vm);
        this->holderAddresses[peer.vm] = peer.vm == this->ownVm ? std::string() : peer.address;
        if (peer.vm == this->ownVm)
            continue;
        (peer.dataCentre == this->dataCentre ? this->localLenders : this->remoteLenders).push_back(peer.address);
    }
    std::vector<std::string> others = this->localLenders;
    others.insert(others.end(), this->remoteLenders.begin(), this->remoteLenders.end());
    this->collector.setHolders(std::move(others));
}

std::vector<std::string> RequestAdmission::collectorsOf(const OrganisationId& organisation)
{
    auto [known, added] = this->collectors.try_emplace(organisation);
    if (added) {
        for (const VmId& vm : rankByRendezvous(this->holders, organisation.str(), collectorsPerOrganisation))
            known->second.push_back(this->holderAddresses.at(vm));
    }
    return known->second;
}

std::optional<std::string> RequestAdmission::chooseCollector(const OrganisationId& organisation, const WaitQueue& queue)
{
    if (!this->sharesAreConcentrated)
        return std::nullopt;
    const Instant now = this->timers.now();
    for (const std::string& address : this->collectorsOf(organisation)) {
        const auto silent = this->silentUntil.find(address);
        const bool wasAsked
            = std::find(queue.askedLenders.begin(), queue.askedLenders.end(), address) != queue.askedLenders.end();
        if (!wasAsked && (silent == this->silentUntil.end() || silent->second <= now))
            return address;
    }
    return std::nullopt;
}

// An empty address stands for this VM.
void RequestAdmission::requestFromCollector(const QueueKey& key, WaitQueue& queue, const std::string& address)
{
    const auto& [organisation, priority] = key;
    queue.askedLenders.push_back(address);
    const uint64_t requestId = ++this->lastRequestId;
    queue.pendingRequest = requestId;
    queue.asksCollector = true;
    const uint64_t wanted = std::max(
        this->shares.borrowAmount(organisation, this->timers.now()), queue.waiters.size() * milliTokensPerRequest);
    if (address.empty()) {
        this->collector.take(
            organisation, priority, wanted, [this, organisation = organisation, requestId](uint64_t lent) {
                this->handleTokenReply("", TokenReply { requestId, organisation, lent });
            });
        return;
    }
    queue.timer = this->timers.schedule(this->timers.now() + this->settings.collectorTimeout,
        [this, key, requestId] { this->handleLenderTimeout(key, requestId); });
    this->transport.send(address, TokenRequest { requestId, organisation, wanted, true, priority });
}

void RequestAdmission::handleLenderTimeout(const QueueKey& key, uint64_t requestId)
{
    WaitQueue& queue = this->waitQueues[key];
    queue.timer.reset();
    if (queue.pendingRequest != requestId)
        return;
    if (queue.asksCollector)
        this->silentUntil[queue.askedLenders.back()] = this->timers.now() + this->settings.silentCollectorTime;
    if (queue.lastLender == queue.askedLenders.back())
        queue.lastLender.clear();
    queue.pendingRequest = 0;
    this->requestFromNextLender(key, queue);
}

uint64_t RequestAdmission::admit(const OrganisationId& organisation, uint32_t priority, Callback callback)
{
    const Instant now = this->timers.now();
    const QueueKey key { organisation, priority };
    WaitQueue& queue = this->waitQueues[key];
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
        this->requestFromNextLender(key, queue);
    return requestId;
}

void RequestAdmission::cancel(uint64_t requestId)
{
    for (auto& [key, queue] : this->waitQueues) {
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

void RequestAdmission::requestFromNextLender(const QueueKey& key, WaitQueue& queue)
{
    const OrganisationId& organisation = key.first;
    queue.asksCollector = false;
    if (const auto address = this->chooseCollector(organisation, queue)) {
        this->requestFromCollector(key, queue, *address);
        return;
    }
    const auto lender = this->chooseLender(queue);
    if (!lender) {
        this->refuseWaiters(queue, this->settings.refusalTime);
        return;
    }
    queue.askedLenders.push_back(*lender);
    queue.pendingRequest = ++this->lastRequestId;
    const uint64_t pendingRequest = queue.pendingRequest;
    queue.timer = this->timers.schedule(this->timers.now() + this->settings.lenderTimeout,
        [this, key, pendingRequest] { this->handleLenderTimeout(key, pendingRequest); });
    const uint64_t wanted = std::max(
        this->shares.borrowAmount(organisation, this->timers.now()), queue.waiters.size() * milliTokensPerRequest);
    this->transport.send(*lender, TokenRequest { pendingRequest, organisation, wanted, false, key.second });
}

void RequestAdmission::handleTokenRequest(const std::string& sender, const TokenRequest& request)
{
    if (request.collect) {
        this->collector.take(request.organisation, request.priority, request.requestedMilliTokens,
            [this, sender, id = request.requestId, organisation = request.organisation](uint64_t lent) {
                this->transport.send(sender, TokenReply { id, organisation, lent });
            });
        return;
    }
    const Instant now = this->timers.now();
    const uint64_t lent = this->hasWaiters(request.organisation)
        ? 0
        : this->shares.lend(request.organisation, request.requestedMilliTokens, now);
    this->transport.send(sender, TokenReply { request.requestId, request.organisation, lent });
}

bool RequestAdmission::isFirst(
    std::deque<std::pair<uint64_t, std::string>>& recent, const std::string& sender, uint64_t requestId)
{
    const std::pair<uint64_t, std::string> received { requestId, sender };
    if (std::find(recent.begin(), recent.end(), received) != recent.end())
        return false;
    recent.push_back(received);
    if (recent.size() > maxRecentReplies)
        recent.pop_front();
    return true;
}

void RequestAdmission::returnToken(const OrganisationId& organisation)
{
    const Instant now = this->timers.now();
    if (this->shares.hasShare()) {
        this->shares.returnTokens(organisation, milliTokensPerRequest, now);
        return;
    }
    this->returnedMilliTokens[organisation] += milliTokensPerRequest;
    if (!this->returnTimer)
        this->returnTimer = this->timers.schedule(now + this->settings.returnDelay, [this] {
            this->returnTimer.reset();
            this->sendReturnedTokens();
        });
}

// The tokens were collected from all VMs that hold shares, so a random one is likely to have room.
void RequestAdmission::sendReturnedTokens()
{
    std::vector<std::string> receivers = this->localLenders;
    receivers.insert(receivers.end(), this->remoteLenders.begin(), this->remoteLenders.end());
    for (const auto& [organisation, milliTokens] : std::exchange(this->returnedMilliTokens, {})) {
        if (!receivers.empty())
            this->transport.send(receivers[this->random.below(receivers.size())],
                TokenReturn { ++this->lastRequestId, organisation, milliTokens });
    }
}

void RequestAdmission::handleTokenReturn(const std::string& sender, const TokenReturn& message)
{
    if (isFirst(this->recentReturns, sender, message.requestId))
        this->shares.returnTokens(message.organisation, message.milliTokens, this->timers.now());
}

void RequestAdmission::handleTokenReply(const std::string& sender, const TokenReply& reply)
{
    if (!isFirst(this->recentReplies, sender, reply.requestId))
        return;
    // Tokens that arrive after the time-out are valid too.
    this->shares.addBorrowed(reply.organisation, reply.lentMilliTokens);
    if (this->collector.handleReply(reply))
        return;
    this->silentUntil.erase(sender);
    const QueueKey* pending = this->findPending(reply.organisation, reply.requestId);
    if (!pending) {
        // Tokens that arrive late go to the highest priority that waits.
        const auto first = this->waitQueues.lower_bound({ reply.organisation, 0 });
        for (auto entry = first; entry != this->waitQueues.end() && entry->first.first == reply.organisation;) {
            const auto current = entry++;
            this->admitWaiters(current->first, current->second);
        }
        return;
    }
    const QueueKey key = *pending;
    WaitQueue& queue = this->waitQueues[key];
    if (reply.lentMilliTokens)
        queue.lastLender = sender;
    else if (queue.lastLender == sender)
        queue.lastLender.clear();
    queue.pendingRequest = 0;
    if (queue.timer)
        this->timers.cancel(*queue.timer);
    queue.timer.reset();
    if (queue.asksCollector) {
        // The collector knows the tokens of all VMs. It may be asked again once it has lent some.
        queue.askedLenders.clear();
        if (!reply.lentMilliTokens) {
            // The collector answers at once while it has no tokens, so it may be asked again.
            this->refuseWaiters(queue, {});
            return;
        }
    }
    this->admitWaiters(key, queue);
}

bool RequestAdmission::hasWaiters(const OrganisationId& organisation) const
{
    for (auto entry = this->waitQueues.lower_bound({ organisation, 0 });
         entry != this->waitQueues.end() && entry->first.first == organisation; ++entry) {
        if (!entry->second.waiters.empty())
            return true;
    }
    return false;
}

const RequestAdmission::QueueKey* RequestAdmission::findPending(
    const OrganisationId& organisation, uint64_t requestId) const
{
    for (auto entry = this->waitQueues.lower_bound({ organisation, 0 });
         entry != this->waitQueues.end() && entry->first.first == organisation; ++entry) {
        if (entry->second.pendingRequest == requestId)
            return &entry->first;
    }
    return nullptr;
}

void RequestAdmission::admitWaiters(const QueueKey& key, WaitQueue& queue)
{
    while (!queue.waiters.empty() && this->shares.tryTakeToken(key.first, this->timers.now())) {
        Waiter next = std::move(queue.waiters.front());
        queue.waiters.pop_front();
        next.callback(true);
    }
    if (queue.pendingRequest)
        return;
    if (queue.waiters.empty())
        queue.askedLenders.clear();
    else
        this->requestFromNextLender(key, queue);
}

void RequestAdmission::refuseWaiters(WaitQueue& queue, Duration refusalTime)
{
    queue.askedLenders.clear();
    queue.pendingRequest = 0;
    queue.refuseUntil = this->timers.now() + refusalTime;
    for (Waiter& refused : std::exchange(queue.waiters, {}))
        refused.callback(false);
}

} // namespace Lavendervane
