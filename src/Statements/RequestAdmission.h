#pragma once

#include "Core/RandomGenerator.h"
#include "Limits/LimitShares.h"
#include "Limits/ShareLedger.h"
#include "Peers/PeerTransport.h"
#include "Runtime/Timers.h"
#include "Statements/TokenCollector.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane {

struct RequestAdmissionSettings {
    /// Time limit for a lender's answer. Between data centres of a region, an answer takes about 3 ms.
    Duration lenderTimeout = std::chrono::milliseconds(8);
    /// Time limit for the answer of a VM that first collects tokens from others.
    Duration collectorTimeout = std::chrono::milliseconds(25);
    /// Time during which a collector that did not answer is not asked again.
    Duration silentCollectorTime = std::chrono::seconds(2);
    /// Maximum number of VMs to ask for tokens before a request is refused.
    uint32_t maxLenders = 6;
    /// Time in which returned tokens are collected before they are sent to a VM that holds a share.
    Duration returnDelay = std::chrono::milliseconds(20);
    /// After no lender had tokens, further requests of the organisation are refused immediately for this long.
    Duration refusalTime = std::chrono::milliseconds(150);
};

/// Admits requests within the rate limit of their organisation. Takes tokens of this VM's share, and borrows tokens
/// from other VMs once the share is used up. In a fleet in which only some VMs hold shares, one of them collects the
/// tokens of an organisation and lends them to the others. A request is refused as soon as it is known that no tokens
/// are available.
class RequestAdmission {
public:
    using Callback = std::function<void(bool admitted)>;

    RequestAdmission(
        LimitShares&, Timers&, PeerTransport&, VmId ownVm, DataCentre, RequestAdmissionSettings, uint64_t seed);
    ~RequestAdmission();

    RequestAdmission(const RequestAdmission&) = delete;
    RequestAdmission& operator=(const RequestAdmission&) = delete;

    void setPeers(const std::vector<FleetMember>&);

    /// Calls back once, possibly from within this call. While the organisation asks for more than its limit, requests
    /// of lower priority (0 is the highest) give way. Returns an ID for `cancel`.
    uint64_t admit(const OrganisationId&, uint32_t priority, Callback);

    /// Cancels a waiting request. Its callback is not called.
    void cancel(uint64_t requestId);

    /// Returns the token of a request that was admitted but did not run. The buckets that tokens come from go on
    /// filling meanwhile, so it goes into a bucket, and is lost if there is no room: kept aside, it would add to a full
    /// burst.
    void returnToken(const OrganisationId&);

    void handleTokenReturn(const std::string& sender, const TokenReturn&);
    void handleTokenRequest(const std::string& sender, const TokenRequest&);
    void handleTokenReply(const std::string& sender, const TokenReply&);

private:
    struct Waiter {
        uint64_t requestId = 0;
        Callback callback;
    };

    /// Organisation and priority of requests.
    using QueueKey = std::pair<OrganisationId, uint32_t>;

    /// Requests of one organisation and priority that are waiting for tokens, and the state of the search for a lender.
    struct WaitQueue {
        std::deque<Waiter> waiters;
        std::vector<std::string> askedLenders; ///< addresses of the VMs asked so far, in order
        uint64_t pendingRequest = 0; ///< ID of the token request that awaits an answer; 0 if none
        bool asksCollector = false; ///< the pending request is to a collector
        std::optional<Timers::Handle> timer;
        Instant refuseUntil {};
        std::string lastLender;
    };

    /// Returns false for a repetition of an answer: the network may deliver a message twice.
    static bool isFirst(
        std::deque<std::pair<uint64_t, std::string>>& recent, const std::string& sender, uint64_t requestId);
    void sendReturnedTokens();
    std::vector<std::string> collectorsOf(const OrganisationId&);
    std::optional<std::string> chooseCollector(const OrganisationId&, const WaitQueue&);
    void requestFromCollector(const QueueKey&, WaitQueue&, const std::string& collector);
    void handleLenderTimeout(const QueueKey&, uint64_t requestId);
    void requestFromNextLender(const QueueKey&, WaitQueue&);
    std::optional<std::string> chooseLender(const WaitQueue&);
    bool hasWaiters(const OrganisationId&) const;
    /// Returns null if no queue of the organisation awaits the answer.
    const QueueKey* findPending(const OrganisationId&, uint64_t requestId) const;
    void admitWaiters(const QueueKey&, WaitQueue&);
    void refuseWaiters(WaitQueue&, Duration refusalTime);

    LimitShares& shares;
    Timers& timers;
    PeerTransport& transport;
    VmId ownVm;
    DataCentre dataCentre;
    RequestAdmissionSettings settings;
    RandomGenerator random;
    std::vector<std::string> localLenders; ///< addresses of VMs in the same data centre
    std::vector<std::string> remoteLenders;
    /// True if only some VMs hold shares.
    bool sharesAreConcentrated = false;
    std::vector<VmId> holders; ///< VMs that hold shares, including this one
    std::map<VmId, std::string> holderAddresses; ///< empty address for this VM
    std::map<OrganisationId, std::vector<std::string>> collectors; ///< addresses in order of preference
    std::map<std::string, Instant> silentUntil; ///< collectors that did not answer, by address
    TokenCollector collector;
    std::map<QueueKey, WaitQueue> waitQueues;
    uint64_t lastRequestId = 0;
    std::deque<std::pair<uint64_t, std::string>> recentReplies; ///< request IDs and senders
    std::deque<std::pair<uint64_t, std::string>> recentReturns; ///< request IDs and senders
    std::map<OrganisationId, uint64_t> returnedMilliTokens; ///< to be sent to VMs that hold shares
    std::optional<Timers::Handle> returnTimer;
};

} // namespace Lavendervane
