#pragma once

#include "Core/Instant.h"

#include <cstddef>
#include <optional>

namespace Lavendervane {

/// How a batch of statements is sent.
struct BatchOptions {
    Instant deadline; ///< answers that arrive later are ignored
    /// Number of leading statements, the guard, that must succeed before the rest is sent. The last of them begins a
    /// transaction. 0: no transaction is begun, and only statements that set session values are a guard.
    size_t guardCount = 0;
    /// Time limit for the answers to the guard; `deadline` if not set.
    std::optional<Instant> guardDeadline {};

    friend bool operator==(const BatchOptions&, const BatchOptions&) = default;
};

} // namespace Lavendervane
