#include "Statements/TokenCollector.h"

#include <algorithm>
#include <utility>

namespace Lavendervane {

// Requests of the collector and of the admission of the same VM are answered by the same kind of message. Their numbers
// are taken from different ranges.
static constexpr uint64_t firstRequestId = uint64_t { 1 } << 62;

static double requestsOf(uint64_t milliTokens)
{
    return static_cast<double>(milliTokens) / static_cast<double>(milliTokensPerRequest);
}

TokenCollector::TokenCollector(
    LimitShares& shares, Timers& timers, PeerTransport& transport, TokenCollectorSettings settings)
    : shares(shares)
    , timers(timers)
    , transport(transport)
    , settings(settings)
    , lastRequestId(firstRequestId)
{
}

TokenCollector::~TokenCollector()
{
    for (auto& [organisation, collection] : this->collections) {
        if (collection.timer)
            this->timers.cancel(*collection.timer);
    }
}

uint64_t TokenCollector::lend(
    const OrganisationId& organisation, Collection& collection, uint32_t priority, uint64_t wanted)
{
    const Instant now = this->timers.now();
    const uint64_t lent = this->shares.lendAny(organisation, wanted, now);
    if (lent)
        collection.throttle.recordUse(priority, requestsOf(lent));
    return lent;
}

void TokenCollector::take(const OrganisationId& organisation, uint32_t priority, uint64_t wanted, LoanCallback callback)
{
    const Instant now = this->timers.now();
    Collection& collection = this->collections[organisation];
    const double rate = 1 / std::chrono::duration<double>(this->shares.tokenInterval(organisation)).count();
    const double permitted = collection.throttle.permit(priority, requestsOf(wanted), rate, now);
    if (permitted < 1) {
        ++this->throttledCount;
        callback(0);
        return;
    }
    wanted = static_cast<uint64_t>(permitted * static_cast<double>(milliTokensPerRequest));
    if (collection.loans.empty()) {
        const uint64_t lent = this->lend(organisation, collection, priority, wanted);
        if (lent || now < collection.emptyUntil) {
            if (!lent)
                collection.throttle.recordShortage(now);
            callback(lent);
            return;
        }
    }
    collection.loans.push_back({ priority, wanted, std::move(callback) });
    if (!collection.timer)
        this->start(organisation, collection);
}

uint64_t TokenCollector::missingTokens(const OrganisationId& organisation, const Collection& collection) const
{
    uint64_t wanted = 0;
    for (const Loan& loan : collection.loans)
        wanted += loan.wanted;
    return wanted - std::min(wanted, this->shares.borrowed(organisation));
}

// The first round takes an equal part of what is missing from each holder, this VM included, so that no bucket
// overflows while others are empty. Tokens gathered beyond that would leave room in the buckets for new ones, so that
// all VMs together could exceed the burst. The second round finds tokens that only some holders have.
void TokenCollector::start(const OrganisationId& organisation, Collection& collection)
{
    const uint64_t missing = this->missingTokens(organisation, collection);
    const uint64_t parts = collection.isSecondRound ? 1 : this->holders.size() + 1;
    const Instant now = this->timers.now();
    collection.timer = this->timers.schedule(
        now + this->settings.answerTimeout, [this, organisation] { this->finish(organisation); });
    for (const std::string& holder : this->holders) {
        const uint64_t requestId = ++this->lastRequestId;
        collection.outstanding.insert(requestId);
        this->requests.emplace(requestId, organisation);
        this->transport.send(holder, TokenRequest { requestId, organisation, (missing + parts - 1) / parts, false });
    }
    if (collection.outstanding.empty())
        this->finish(organisation);
}

bool TokenCollector::handleReply(const TokenReply& reply)
{
    const auto request = this->requests.find(reply.requestId);
    if (request == this->requests.end())
        return reply.requestId > firstRequestId; // the answer to a collection that has ended
    const OrganisationId organisation = request->second;
    this->requests.erase(request);
    Collection& collection = this->collections[organisation];
    collection.outstanding.erase(reply.requestId);
    if (collection.outstanding.empty())
        this->finish(organisation);
    return true;
}

void TokenCollector::finish(const OrganisationId& organisation)
{
    Collection& collection = this->collections[organisation];
    if (collection.timer)
        this->timers.cancel(*std::exchange(collection.timer, std::nullopt));
    for (const uint64_t requestId : std::exchange(collection.outstanding, {}))
        this->requests.erase(requestId);
    const Instant now = this->timers.now();
    if (!collection.isSecondRound && !this->holders.empty() && !collection.loans.empty()
        && this->shares.available(organisation, now) < collection.loans.size() * milliTokensPerRequest) {
        collection.isSecondRound = true;
        this->start(organisation, collection);
        return;
    }
    collection.isSecondRound = false;
    std::vector<Loan> loans = std::exchange(collection.loans, {});
    std::stable_sort(
        loans.begin(), loans.end(), [](const Loan& left, const Loan& right) { return left.priority < right.priority; });
    for (Loan& loan : loans) {
        const uint64_t lent = this->lend(organisation, collection, loan.priority, loan.wanted);
        if (!lent)
            collection.throttle.recordShortage(now);
        if (!lent)
            collection.emptyUntil = now
                + std::clamp(this->shares.tokenInterval(organisation) / 4 * 3, this->settings.minEmptyTime,
                    this->settings.maxEmptyTime);
        loan.callback(lent);
    }
}

} // namespace Lavendervane
