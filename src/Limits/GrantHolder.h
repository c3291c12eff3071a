#pragma once

#include "Limits/GrantMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace Lavendervane {

struct HolderSettings {
    Duration requestInterval = std::chrono::seconds(2); ///< longest time between requests
    Duration shortageInterval = std::chrono::milliseconds(20); ///< shortest time between requests
    Duration answerTimeout = std::chrono::seconds(1);
    Duration urgentAnswerTimeout = std::chrono::milliseconds(200); ///< the same while requests wait for tokens
    Duration shortageBoostDuration = std::chrono::milliseconds(300); ///< how long a shortage raises what is asked for
    /// Part of a measurement in the moving means of the demand: 1 / smoothing, over about 0.4 s and 5 s.
    uint64_t fastSmoothing = 4;
    uint64_t slowSmoothing = 50;

    friend bool operator==(const HolderSettings&, const HolderSettings&) = default;
};

/// Reducer that obtains a VM's part of the limits from the allocator of its data centre and gives back what the
/// allocator wants back (docs/design.md, 5.6). It accepts answers only to its newest request.
class GrantHolder {
public:
    /// `incarnation` is fixed for the life of the process and higher than that of any earlier process of this VM.
    GrantHolder(HolderSettings, VmId self, DataCentre, uint64_t incarnation);

    std::vector<HolderEffect> handle(const HolderEvent&);

    /// Time at which a `HolderTick` is due; nothing without an allocator.
    std::optional<Instant> wakeAt() const;

    /// Highest epoch accepted; 0 before the first claim.
    uint64_t epoch() const { return this->acceptedEpoch; }
    Capacity held(const OrganisationId&) const;

    friend bool operator==(const GrantHolder&, const GrantHolder&) = default;

private:
    struct Holding {
        Capacity held;
        Capacity unreportedReduction; ///< lowered since the last request
        uint64_t returnedMilliTokens = 0; ///< removed since the last request
        uint64_t milliTokens = 0; ///< at the last measurement
        uint64_t shortages = 0; ///< since the last measurement
        uint64_t fastMilliDemand = 0; ///< moving mean, 1/1000 requests per second
        uint64_t milliDemand = 0; ///< the same over a longer time, until the fast one departs from it
        Instant shortageUntil {};

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

    void offerUnusedTokens(const OrganisationId&, Instant now);
    void dropExpiredGrants(Instant now);
    void sendIfDue(Instant now);
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
    uint64_t sequence;
    uint64_t acceptedEpoch = 0;
    VmId allocator; ///< empty before the first claim
    Instant validUntil {};
    std::optional<Instant> lastSent;
    Instant lastMeasured {};
    bool allocatorMovesCapacity = false; ///< according to the answer to the last request
    uint32_t answersWithoutRaise = 0; ///< answers in a row that raised nothing
    std::optional<PendingRequest> pendingRequest;
    std::vector<GrantLowering> pendingLowerings; ///< waits for `GrantsLowered`
    bool urgentRequestDue = false;
    bool stopping = false;
    std::map<OrganisationId, Holding> holdings;
    std::vector<HolderEffect> effects; ///< of the event in progress
};

} // namespace Lavendervane
