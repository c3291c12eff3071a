#pragma once

#include "Limits/LimitShares.h"
#include "Limits/PriorityThrottle.h"
#include "Peers/PeerTransport.h"
#include "Runtime/Timers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavendervane {

struct TokenCollectorSettings {
    /// Time limit for the answers of the other holders. Between data centres of a region, an answer takes about 3 ms.
    Duration answerTimeout = std::chrono::milliseconds(8);
    /// Bounds of the time for which an organisation gets no tokens after a collection has found none. Within them it is
    /// three quarters of the time in which the limit yields one token.
    Duration minEmptyTime = std::chrono::milliseconds(20);
    Duration maxEmptyTime = std::chrono::milliseconds(250);
};

/// Gathers an organisation's tokens from all VMs that hold shares of its limit, and lends them to the VMs that serve
/// its callers. In a fleet with many more VMs than tokens, no VM could otherwise find a whole token. Load: small
/// organisations whose callers are spread over hundreds of VMs, and organisations far beyond their limit.
class TokenCollector {
public:
    using LoanCallback = std::function<void(uint64_t milliTokens)>;

    TokenCollector(LimitShares&, Timers&, PeerTransport&, TokenCollectorSettings = {});
    ~TokenCollector();

    TokenCollector(const TokenCollector&) = delete;
    TokenCollector& operator=(const TokenCollector&) = delete;

    /// Sets the addresses of the other VMs that hold shares.
    void setHolders(std::vector<std::string> addresses) { this->holders = std::move(addresses); }

    /// Takes up to `wanted` tokens (1/1000 requests), of which at least one whole token, and passes them to the
    /// callback; 0 if the limit is used up, or if requests of this priority (0 is the highest) give way to others.
    /// Calls back once, possibly from within this call.
    void take(const OrganisationId&, uint32_t priority, uint64_t wanted, LoanCallback);

    /// Loans that were refused because requests of a higher priority need the tokens.
    uint64_t throttledLoans() const { return this->throttledCount; }

    /// Returns true if the reply belongs to a collection. Its tokens have been added to the shares before.
    bool handleReply(const TokenReply&);

private:
    struct Loan {
        uint32_t priority = 0;
        uint64_t wanted = 0; ///< 1/1000 requests
        LoanCallback callback;
    };

    /// Tokens that are being gathered for one organisation.
    struct Collection {
        std::vector<Loan> loans; ///< in order of arrival
        std::set<uint64_t> outstanding; ///< requests to other holders
        std::optional<Timers::Handle> timer;
        bool isSecondRound = false;
        Instant emptyUntil {};
        PriorityThrottle throttle;
    };

    uint64_t lend(const OrganisationId&, Collection&, uint32_t priority, uint64_t wanted);

    void start(const OrganisationId&, Collection&);
    uint64_t missingTokens(const OrganisationId&, const Collection&) const;
    void finish(const OrganisationId&);

    LimitShares& shares;
    Timers& timers;
    PeerTransport& transport;
    TokenCollectorSettings settings;
    std::vector<std::string> holders;
    std::map<OrganisationId, Collection> collections;
    std::map<uint64_t, OrganisationId> requests; ///< outstanding requests
    uint64_t lastRequestId;
    uint64_t throttledCount = 0;
};

} // namespace Lavendervane
