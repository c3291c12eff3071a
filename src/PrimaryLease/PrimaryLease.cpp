#include "PrimaryLease/PrimaryLease.h"

#include "Core/Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Lavendervane {

// Number of VMs of a data centre that may serve as its keeper.
static constexpr size_t keeperCount = 3;
// Number of consecutive renewals without a confirmation after which the next keeper is asked.
static constexpr uint32_t maxKeeperFailures = 2;
// Number of renewals after which a VM that asks a substitute returns to the first keeper.
static constexpr uint32_t renewalsWithSubstitute = 30;
// Time for which a VM keeps its confirmation up to date after another VM has asked for it.
static constexpr Duration keeperTime = std::chrono::seconds(2);
// Number of polls and questions whose answers are still accepted.
static constexpr size_t maxOutstanding = 4;
// Revocations younger than this are repeated in answers. A VM that misses the registry's change of the primary for
// longer has lost its shares of the limits as well.
static constexpr Duration repeatedRevocationAge = std::chrono::minutes(10);
// Maximum number of revocations in an answer, so that it fits into one datagram.
static constexpr size_t maxRepeatedRevocations = 24;
// The clocks of two VMs may run at rates that differ by up to 1/50.
static constexpr int clockRateTolerance = 50;

PrimaryLease::PrimaryLease(Timers& timers, PeerTransport& transport, VmId self, DataCentre dataCentre,
    PrimaryLeaseSettings settings, uint64_t seed, PrimaryLeaseListener& listener)
    : timers(timers)
    , transport(transport)
    , self(std::move(self))
    , dataCentre(std::move(dataCentre))
    , settings(settings)
    , random(seed)
    , listener(listener)
{
}

PrimaryLease::~PrimaryLease()
{
    if (this->renewTimer)
        this->timers.cancel(*this->renewTimer);
    if (this->expiryTimer)
        this->timers.cancel(*this->expiryTimer);
    for (auto& [requestId, running] : this->revoking) {
        if (running.retryTimer)
            this->timers.cancel(*running.retryTimer);
        if (running.expiryTimer)
            this->timers.cancel(*running.expiryTimer);
    }
}

void PrimaryLease::start(const std::vector<PrimaryRevocation>& stored)
{
    if (this->started)
        return;
    this->started = true;
    this->adopt(stored);
    if (this->isEnabled())
        this->renew();
    else
        this->listener.primaryLeaseChanged();
}

void PrimaryLease::setMembers(const std::vector<FleetMember>& members)
{
    this->peerAddresses.clear();
    std::vector<FleetMember> local;
    for (const FleetMember& member : members) {
        if (member.vm != this->self && !member.address.empty())
            this->peerAddresses.push_back(member.address);
        if (member.dataCentre == this->dataCentre)
            local.push_back(member);
    }
    // The VMs with the most processor time, because a keeper sends a message to every second VM of the fleet.
    std::sort(local.begin(), local.end(), [](const FleetMember& left, const FleetMember& right) {
        return std::make_tuple(right.cpuMillicores, stableHash(left.vm.str()))
            < std::make_tuple(left.cpuMillicores, stableHash(right.vm.str()));
    });
    local.resize(std::min(local.size(), keeperCount));
    std::vector<std::string> ranked;
    ranked.reserve(local.size());
    for (const FleetMember& member : local)
        ranked.push_back(member.vm == this->self ? std::string() : member.address);
    if (ranked == this->keepers)
        return;
    this->keepers = std::move(ranked);
    this->keeperIndex = 0;
    this->renewalsWithKeeper = 0;
}

bool PrimaryLease::hasLease() const
{
    return !this->isEnabled()
        || (this->confirmedAt && this->timers.now() < *this->confirmedAt + this->settings.duration);
}

bool PrimaryLease::mayUse(const RegisteredEndpoint& endpoint) const
{
    if (!this->isEnabled() && !this->started && this->guardedGroups.count(endpoint.group))
        return false;
    return this->hasLease() && !this->revocations.isRevoked(endpoint);
}

void PrimaryLease::renew()
{
    const Instant now = this->timers.now();
    this->renewTimer = this->timers.schedule(now + this->settings.renewInterval, [this] { this->renew(); });
    // Two renewals without a fresh confirmation: asks the next keeper, or after the last one the majority itself.
    const bool isStale
        = !this->confirmedAt || now - *this->confirmedAt > (maxKeeperFailures + 1) * this->settings.renewInterval;
    ++this->renewalsWithKeeper;
    if (this->keeperIndex < this->keepers.size() && isStale && this->renewalsWithKeeper > maxKeeperFailures) {
        ++this->keeperIndex;
        this->renewalsWithKeeper = 0;
    } else if (this->keeperIndex && this->renewalsWithKeeper > renewalsWithSubstitute) {
        this->keeperIndex = 0;
        this->renewalsWithKeeper = 0;
    }
    if (now < this->keeperUntil || this->keeperIndex >= this->keepers.size()
        || this->keepers[this->keeperIndex].empty())
        this->askMajority();
    else
        this->askKeeper();
    this->reportChange();
}

template <typename Requests> static void dropOldest(Requests& requests)
{
    while (requests.size() > maxOutstanding)
        requests.erase(requests.begin());
}

void PrimaryLease::askKeeper()
{
    const std::string& keeper = this->keepers[this->keeperIndex];
    const uint64_t requestId = ++this->lastRequestId;
    this->questions.emplace(requestId, Question { this->timers.now(), keeper });
    dropOldest(this->questions);
    this->transport.send(keeper, LeaseRequest { requestId });
}

// Asks a random sample that is somewhat larger than a majority; all VMs if the last poll did not reach a majority.
void PrimaryLease::askMajority()
{
    const Instant now = this->timers.now();
    if (this->peerAddresses.empty()) {
        this->confirm(now);
        return;
    }
    if (!this->polls.empty()) {
        const Poll& last = this->polls.rbegin()->second;
        this->askAll = 2 * last.confirmations <= last.fleetSize;
    }
    std::vector<std::string> remaining = this->peerAddresses;
    const size_t majority = remaining.size() / 2 + 1;
    const size_t sampleSize = this->askAll ? remaining.size() : std::min(remaining.size(), majority + majority / 8 + 1);
    Poll poll;
    poll.sentAt = now;
    poll.fleetSize = static_cast<uint32_t>(remaining.size()) + 1;
    const uint64_t requestId = ++this->lastRequestId;
    for (size_t index = 0; index < sampleSize; ++index) {
        std::swap(remaining[index], remaining[index + this->random.below(remaining.size() - index)]);
        this->transport.send(remaining[index], ConfirmationRequest { requestId });
        poll.asked.insert(remaining[index]);
    }
    this->polls.emplace(requestId, std::move(poll));
    dropOldest(this->polls);
}

std::vector<PrimaryRevocation> PrimaryLease::recentRevocations() const
{
    return this->revocations.recent(this->timers.now(), repeatedRevocationAge, maxRepeatedRevocations);
}

void PrimaryLease::adopt(const std::vector<PrimaryRevocation>& learnt)
{
    for (const PrimaryRevocation& revocation : learnt) {
        if (this->revocations.adopt(revocation, this->timers.now()))
            this->listener.primaryRevoked(revocation);
    }
}

void PrimaryLease::confirm(Instant time)
{
    if (this->confirmedAt && time <= *this->confirmedAt)
        return;
    this->confirmedAt = time;
    this->scheduleExpiry();
    this->reportChange();
}

void PrimaryLease::scheduleExpiry()
{
    if (this->expiryTimer)
        this->timers.cancel(*this->expiryTimer);
    this->expiryTimer = this->timers.schedule(*this->confirmedAt + this->settings.duration, [this] {
        this->expiryTimer.reset();
        this->reportChange();
    });
}

void PrimaryLease::reportChange()
{
    if (std::exchange(this->wasValid, this->hasLease()) != this->hasLease())
        this->listener.primaryLeaseChanged();
}

// A VM that has restarted has forgotten which revocations it has confirmed. It answers only after it has read them from
// the platform's table.
void PrimaryLease::handle(const std::string& sender, const LeaseRequest& request)
{
    if (!this->started)
        return;
    const Instant now = this->timers.now();
    const bool isKeeper = now < this->keeperUntil;
    this->keeperUntil = now + keeperTime;
    if (!isKeeper)
        this->askMajority();
    LeaseReply reply;
    reply.requestId = request.requestId;
    if (this->confirmedAt) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *this->confirmedAt);
        reply.confirmed = true;
        reply.ageMs = static_cast<uint64_t>(age.count());
    }
    reply.revocations = this->recentRevocations();
    this->transport.send(sender, reply);
}

void PrimaryLease::handle(const std::string& sender, const LeaseReply& reply)
{
    const auto question = this->questions.find(reply.requestId);
    if (question == this->questions.end() || question->second.keeper != sender)
        return;
    const Instant sentAt = question->second.sentAt;
    this->questions.erase(question);
    this->adopt(reply.revocations);
    const auto age = std::chrono::milliseconds(reply.ageMs);
    if (reply.confirmed && age < this->settings.duration)
        this->confirm(sentAt - age);
}

void PrimaryLease::handle(const std::string& sender, const ConfirmationRequest& request)
{
    if (!this->started)
        return;
    this->transport.send(
        sender, ConfirmationReply { request.requestId, this->peerAddresses.size() + 1, this->recentRevocations() });
}

void PrimaryLease::handle(const std::string& sender, const ConfirmationReply& reply)
{
    const auto found = this->polls.find(reply.requestId);
    if (found == this->polls.end() || !found->second.asked.erase(sender))
        return;
    Poll& poll = found->second;
    this->adopt(reply.revocations);
    ++poll.confirmations;
    poll.fleetSize = std::max(poll.fleetSize, static_cast<uint32_t>(reply.fleetSize));
    if (2 * poll.confirmations > poll.fleetSize)
        this->confirm(poll.sentAt);
}

void PrimaryLease::handle(const std::string& sender, const RevocationRequest& request)
{
    this->adopt({ request.revocation });
    this->transport.send(sender,
        RevocationReply { request.requestId, this->peerAddresses.size() + 1,
            this->listener.commitEvidence(request.revocation.group) });
}

void PrimaryLease::handle(const std::string& sender, const RevocationReply& reply)
{
    const auto found = this->revoking.find(reply.requestId);
    if (found == this->revoking.end() || !found->second.unconfirmed.erase(sender))
        return;
    Revoking& running = found->second;
    ++running.confirmations;
    running.fleetSize = std::max(running.fleetSize, static_cast<uint32_t>(reply.fleetSize));
    running.commits.push_back(reply.commits);
    this->checkRevocation(reply.requestId, running);
}

void PrimaryLease::revoke(
    const PrimaryRevocation& revocation, const std::vector<FleetMember>& members, RevocationCallback callback)
{
    this->adopt({ revocation });
    const uint64_t requestId = ++this->lastRequestId;
    Revoking& running = this->revoking[requestId];
    running.revocation = revocation;
    for (const FleetMember& member : members) {
        if (member.vm != this->self && !member.address.empty())
            running.unconfirmed.insert(member.address);
    }
    running.fleetSize = static_cast<uint32_t>(running.unconfirmed.size()) + 1;
    running.callback = std::move(callback);
    running.startedAt = this->timers.now();
    running.commits.push_back(this->listener.commitEvidence(revocation.group));
    running.giveUpAt = running.startedAt + this->settings.revocationTimeout;
    this->sendRevocations(requestId, running);
    this->checkRevocation(requestId, running);
}

void PrimaryLease::sendRevocations(uint64_t requestId, Revoking& running)
{
    for (const std::string& address : running.unconfirmed)
        this->transport.send(address, RevocationRequest { requestId, running.revocation });
    running.retryTimer
        = this->timers.schedule(this->timers.now() + this->settings.revocationRetryInterval, [this, requestId] {
              Revoking& pending = this->revoking.at(requestId);
              pending.retryTimer.reset();
              if (!pending.hasMajority && this->timers.now() >= pending.giveUpAt)
                  this->finishRevocation(requestId, false);
              else
                  this->sendRevocations(requestId, pending);
          });
}

// Every lease that was granted without knowledge of the revocation is based on a poll that was sent before a majority
// confirmed the revocation, so it has expired after the duration of a lease.
void PrimaryLease::checkRevocation(uint64_t requestId, Revoking& running)
{
    if (running.unconfirmed.empty()) {
        this->finishRevocation(requestId, true);
        return;
    }
    // Without leases, a VM that does not confirm may go on using the primary for any length of time.
    if (!this->isEnabled() || running.hasMajority || 2 * running.confirmations <= running.fleetSize)
        return;
    running.hasMajority = true;
    const Duration wait = this->settings.duration + this->settings.duration / clockRateTolerance;
    running.expiryTimer = this->timers.schedule(this->timers.now() + wait, [this, requestId] {
        this->revoking.at(requestId).expiryTimer.reset();
        this->finishRevocation(requestId, true);
    });
}

void PrimaryLease::finishRevocation(uint64_t requestId, bool complete)
{
    const auto finished = this->revoking.extract(requestId);
    const Revoking& running = finished.mapped();
    if (running.retryTimer)
        this->timers.cancel(*running.retryTimer);
    if (running.expiryTimer)
        this->timers.cancel(*running.expiryTimer);
    const bool allConfirmed = complete && running.unconfirmed.empty();
    running.callback(complete,
        allConfirmed ? lastAcknowledgedPosition(running.commits, this->timers.now() - running.startedAt)
                     : std::nullopt);
}

} // namespace Lavendervane
