#pragma once

#include "Core/Instant.h"

#include <optional>

namespace Lavendervane {

struct IsolationDetectorSettings {
    /// A VM that has not reached most primaries for this long counts as isolated. A change of primary takes longer, but
    /// affects a single group only.
    Duration confirmTime = std::chrono::milliseconds(700);
    /// Delay from the detection of isolation until open sessions are closed. By then, the load balancer has stopped
    /// sending new sessions to this VM: it polls the VM's readiness once a second and needs two polls.
    Duration sessionCloseDelay = std::chrono::milliseconds(2200);
};

/// Detects that this VM reaches too few primaries, for example because its data centre is cut off from the network, and
/// decides when callers should use other VMs instead. All times are passed in by the caller.
class IsolationDetector {
public:
    explicit IsolationDetector(IsolationDetectorSettings = {});

    /// Sets the current state: this VM reaches no primary in `unservedGroups` of all `groups`.
    void update(size_t groups, size_t unservedGroups, Instant now);

    /// True if the load balancer should send new callers to this VM.
    bool acceptsCallers(Instant now) const;

    /// True if open sessions should be closed as soon as they are idle.
    bool shouldCloseSessions(Instant now) const;

    /// Next time at which `acceptsCallers` or `shouldCloseSessions` changes without a call of `update`.
    std::optional<Instant> nextChange(Instant now) const;

private:
    IsolationDetectorSettings settings;
    std::optional<Instant> unservedSince; ///< time since which most groups have no reachable primary
};

} // namespace Lavendervane
