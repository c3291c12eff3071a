#pragma once

#include "Core/Instant.h"

#include <optional>

namespace Lavendervane {

struct IsolationWatchSettings {
    /// A VM that cannot serve for this long counts as isolated. A change of one primary takes longer, but concerns one
    /// group only.
    Duration confirmTime = std::chrono::milliseconds(700);
    /// Sessions are closed this long after that, when the balancer sends no new ones here: two questions, one a second.
    Duration shedTime = std::chrono::milliseconds(2200);
};

/// Decides whether a VM should send its callers to others because it reaches too few primaries, for example when its
/// data centre is cut off. Holds no clock.
class IsolationWatch {
public:
    explicit IsolationWatch(IsolationWatchSettings = {});

    /// Takes the present state: of `groups`, `unserved` have no primary that this VM reaches.
    void update(size_t groups, size_t unserved, Instant now);

    /// False if the VM should not get new callers.
    bool wantsCallers(Instant now) const;

    /// True if sessions should close between their operations.
    bool shedsSessions(Instant now) const;

    /// Next time at which the answers may change without an update.
    std::optional<Instant> nextChange(Instant now) const;

private:
    IsolationWatchSettings settings;
    std::optional<Instant> since; ///< start of the present time without service
};

} // namespace Lavendervane
