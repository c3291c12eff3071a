#pragma once

#include "Limits/GrantMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

struct HolderSettings {
    Duration requestInterval = std::chrono::seconds(2); ///< time between requests without a shortage
    Duration shortageInterval = std::chrono::milliseconds(20); ///< shortest time between requests in a shortage
    Duration answerTimeout = std::chrono::seconds(1); ///< time after which a request is sent again
    Duration urgentAnswerTimeout = std::chrono::milliseconds(200); ///< `answerTimeout` during a shortage
    Duration shortageBoostDuration = std::chrono::milliseconds(300); ///< how long a shortage raises the wanted capacity
    /// Weight of one measurement in the moving averages of the demand is 1 / smoothing: about 0.4 s and 5 s.
    uint64_t fastSmoothing = 4;
    uint64_t slowSmoothing = 50;

    friend bool operator==(const HolderSettings&, const HolderSettings&) = default;
};

/// State machine that requests a VM's part of the limits from the allocator of its data centre and returns tokens that
/// the allocator recalls (docs/design.md, 5.6). It accepts only the response to its latest request.
class GrantHolder {
public:
    /// `incarnation` is constant for the lifetime of the process and higher than in any earlier process of this VM.
    GrantHolder(HolderSettings, VmId self, DataCentre, uint64_t incarnation);

    /// Processes one event and returns the effects for the caller to execute.
    std::vector<HolderEffect> handle(const HolderEvent&);

    /// Time at which the next `HolderTick` is due. Empty without an allocator and while `GrantsLowered` is awaited.
    std::optional<Instant> wakeAt() const;

    /// Highest epoch accepted; 0 before the first claim.
    uint64_t epoch() const { return this->acceptedEpoch; }
    /// Capacity of the organisation that this VM holds; zero if none.
    Capacity held(const OrganisationId&) const;

    friend bool operator==(const GrantHolder&, const GrantHolder&) = default;

private:
    /// State of one organisation.
    struct Holding {
        Capacity held; ///< capacity that the bucket uses
        Capacity unreportedReduction; ///< capacity given up since the last request
        uint64_t returnedMilliTokens = 0; ///< tokens removed from the bucket since the last request
        uint64_t milliTokens = 0; ///< tokens in the bucket at the last measurement, less those offered since
        uint64_t shortages = 0; ///< number of `ShortageObserved` events since the last measurement
        uint64_t fastMilliDemand = 0; ///< fast moving average, 1/1000 requests per second
        /// Slow moving average, 1/1000 requests per second. Set to the fast average if both differ by more than noise.
        uint64_t milliDemand = 0;
        Instant shortageUntil {}; ///< until then the bucket counts as short of tokens

        friend bool operator==(const Holding&, const Holding&) = default;
    };
    struct PendingRequest {
        uint64_t sequence = 0;
        Instant sentAt;

        friend bool operator==(const PendingRequest&, const PendingRequest&) = default;
    };

    void on(const HolderTick&);
    void on(const DemandMeasured&);
    void on(const ShortageObserved&);
    void on(const ClaimReceived&);
    void on(const GrantAnswered&);
    void on(const GrantFailed&);
    void on(const GrantsLowered&);
    void on(const HolderStopping&);

    /// Lowers the burst by half of the unused tokens, to return both to the allocator.
    void offerUnusedTokens(const OrganisationId&, Instant now);
    void dropExpiredGrants(Instant now);
    void sendIfDue(Instant now);
    /// Lowers the bursts of buckets that are short of tokens. Returns false if there are none.
    bool lowerEmptyBursts(Instant now);
    void sendRequest(Instant now);
    Instant nextRequestAt() const;
    void updateDemand(Holding&, uint64_t milliDemand) const;
    Capacity wantedCapacity(const Holding&, Instant now) const;
    ClaimReport makeReport(Instant now) const;

    HolderSettings settings;
    VmId self;
    DataCentre dataCentre;
    uint64_t incarnation;
    uint64_t sequence; ///< number of the last request
    uint64_t acceptedEpoch = 0;
    VmId allocator; ///< empty before the first claim
    Instant validUntil {}; ///< expiry of all grants
    std::optional<Instant> lastSent; ///< time of the last request
    Instant lastMeasured {};
    bool allocatorMovesCapacity = false; ///< `GrantResponse::moves` of the response to the last request
    uint32_t answersWithoutRaise = 0; ///< consecutive responses that raised no grant
    std::optional<PendingRequest> pendingRequest;
    std::vector<GrantLowering> pendingLowerings; ///< returned as `LowerGrants`, not confirmed by `GrantsLowered` yet
    bool urgentRequestDue = false; ///< the next request does not wait for `requestInterval`
    bool stopping = false;
    std::map<OrganisationId, Holding> holdings;
    std::vector<HolderEffect> effects; ///< effects of the event being handled
};

} // namespace Lavendervane
