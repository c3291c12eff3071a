#pragma once

#include "Core/Instant.h"
#include "Core/RandomGenerator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lavendervane {

struct ChannelScheduleSettings {
    /// Bound of the channels that are opened ahead of traffic. A VM with more owners in its directory opens the others
    /// when a statement needs them.
    uint32_t maxChannels = 64;
    /// Time over which the first attempts are spread. VMs often start together.
    Duration spread = std::chrono::milliseconds(2000);
    /// Bounds of the delay after a channel has broken. It doubles until a channel has been connected.
    Duration minBackoff = std::chrono::milliseconds(1000);
    Duration maxBackoff = std::chrono::milliseconds(16000);
};

/// Decides when this VM opens channels to the owners of endpoints before statements need them. Designed for a fleet of
/// 300 VMs that start, or lose an owner, at the same time. All times are passed in by the caller.
class ChannelSchedule {
public:
    explicit ChannelSchedule(uint64_t seed, ChannelScheduleSettings = {});

    /// Sets the addresses of the owners of each endpoint in order of preference. If there are too many, the first
    /// owners of all endpoints are kept.
    void setOwners(const std::vector<std::vector<std::string>>& ownersByEndpoint, Instant now);

    /// Records that a channel to the address has been connected.
    void recordConnected(const std::string& address);

    /// Records that a channel to the address has broken or could not be connected.
    void recordClosed(const std::string& address, Instant now);

    /// Returns the addresses to which channels must be opened now. Each is returned once until its channel is closed.
    std::vector<std::string> takeDue(Instant now);

    /// Time of the next attempt; empty if none is planned.
    std::optional<Instant> nextDue() const;

private:
    struct Entry {
        std::optional<Instant> dueAt; ///< empty while a channel is open or being opened
        Duration backoff {}; ///< delay after the last failure; 0 once a channel has been connected
    };

    RandomGenerator random;
    ChannelScheduleSettings settings;
    std::map<std::string, Entry> entries; ///< by address
};

} // namespace Lavendervane
