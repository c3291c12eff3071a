#include "Statements/RequestAdmission.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

RequestAdmission::RequestAdmission(LimitShares& shares, Timers& timers, PeerTransport& transport, VmId own,
    DataCentre dataCentre, RequestAdmissionSettings settings, uint64_t seed)
    : shares(shares)
    , timers(timers)
    , transport(transport)
    , own(std::move(own))
    , dataCentre(std::move(dataCentre))
    , settings(settings)
    , random(seed)
{
}

RequestAdmission::~RequestAdmission()
{
    for (auto& [organisation, waiting] : this->organisations) {
        if (waiting.timer)
            this->timers.cancel(*waiting.timer);
    }
}

void RequestAdmission::setPeers(const std::vector<FleetMember>& peers)
{
    this->near.clear();
    this->far.clear();
    for (const FleetMember& peer : peers) {
        if (peer.vm == this->own || peer.address.empty() || !peer.holdsShare)
            continue;
        (peer.dataCentre == this->dataCentre ? this->near : this->far).push_back(peer.address);
    }
}

uint64_t RequestAdmission::admit(const OrganisationId& organisation, Callback callback)
{
    const Instant now = this->timers.now();
    Waiting& waiting = this->organisations[organisation];
    if (waiting.waiters.empty() && this->shares.tryTakeToken(organisation, now)) {
        callback(true);
        return 0;
    }
    if (now < waiting.emptyUntil) {
        callback(false);
        return 0;
    }
    const uint64_t number = ++this->lastNumber;
    waiting.waiters.push_back({ number, std::move(callback) });
    if (!waiting.question)
        this->askNext(organisation, waiting);
    return number;
}

void RequestAdmission::cancel(uint64_t number)
{
    for (auto& [organisation, waiting] : this->organisations) {
        std::erase_if(waiting.waiters, [number](const Waiter& waiter) { return waiter.number == number; });
    }
}

// The last VM that lent something, then one nearby, then any: most tokens lie where the organisation has no callers.
std::optional<std::string> RequestAdmission::chooseLender(const Waiting& waiting)
{
    if (waiting.asked.size() >= this->settings.lenders)
        return std::nullopt;
    if (waiting.asked.empty() && !waiting.lastLender.empty())
        return waiting.lastLender;
    std::vector<std::string> candidates = this->near;
    if (waiting.asked.size() >= 2 || candidates.empty())
        candidates.insert(candidates.end(), this->far.begin(), this->far.end());
    std::erase_if(candidates, [&waiting](const std::string& address) {
        return std::find(waiting.asked.begin(), waiting.asked.end(), address) != waiting.asked.end();
    });
    if (candidates.empty())
        candidates = this->far;
    if (candidates.empty())
        return std::nullopt;
    return candidates[this->random.below(candidates.size())];
}

void RequestAdmission::askNext(const OrganisationId& organisation, Waiting& waiting)
{
    const auto lender = this->chooseLender(waiting);
    if (!lender) {
        this->giveUp(waiting);
        return;
    }
    waiting.asked.push_back(*lender);
    waiting.question = ++this->lastNumber;
    const uint64_t question = waiting.question;
    waiting.timer
        = this->timers.schedule(this->timers.now() + this->settings.lenderTimeout, [this, organisation, question] {
              Waiting& late = this->organisations[organisation];
              late.timer.reset();
              if (late.question != question)
                  return;
              if (late.lastLender == late.asked.back())
                  late.lastLender.clear();
              late.question = 0;
              this->askNext(organisation, late);
          });
    const uint64_t wanted = std::max(
        this->shares.borrowAmount(organisation, this->timers.now()), waiting.waiters.size() * milliTokensPerRequest);
    this->transport.send(*lender, TokenRequest { question, organisation, wanted });
}

void RequestAdmission::tokensRequested(const std::string& sender, const TokenRequest& request)
{
    const Instant now = this->timers.now();
    const auto present = this->organisations.find(request.organisation);
    const bool needed = present != this->organisations.end() && !present->second.waiters.empty();
    const uint64_t lent = needed ? 0 : this->shares.lend(request.organisation, request.requestedMilliTokens, now);
    this->transport.send(sender, TokenReply { request.requestId, request.organisation, lent });
}

void RequestAdmission::tokensReceived(const std::string& sender, const TokenReply& reply)
{
    // Tokens of a late answer are as good as those of one in time.
    this->shares.addBorrowed(reply.organisation, reply.lentMilliTokens);
    const auto present = this->organisations.find(reply.organisation);
    if (present == this->organisations.end())
        return;
    Waiting& waiting = present->second;
    if (reply.lentMilliTokens)
        waiting.lastLender = sender;
    else if (waiting.lastLender == sender)
        waiting.lastLender.clear();
    if (waiting.question == reply.requestId) {
        waiting.question = 0;
        if (waiting.timer)
            this->timers.cancel(*waiting.timer);
        waiting.timer.reset();
    }
    this->serve(reply.organisation, waiting);
}

void RequestAdmission::serve(const OrganisationId& organisation, Waiting& waiting)
{
    while (!waiting.waiters.empty() && this->shares.tryTakeToken(organisation, this->timers.now())) {
        Waiter next = std::move(waiting.waiters.front());
        waiting.waiters.pop_front();
        next.callback(true);
    }
    if (waiting.question)
        return;
    if (waiting.waiters.empty())
        waiting.asked.clear();
    else
        this->askNext(organisation, waiting);
}

void RequestAdmission::giveUp(Waiting& waiting)
{
    waiting.asked.clear();
    waiting.question = 0;
    waiting.emptyUntil = this->timers.now() + this->settings.emptyPause;
    for (Waiter& refused : std::exchange(waiting.waiters, {}))
        refused.callback(false);
}

} // namespace Lavendervane
