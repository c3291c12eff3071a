#pragma once

#include "Core/Instant.h"

#include <cstdint>

namespace Lavendervane {

/// Deterministic generator (SplitMix64). Equal seeds give equal sequences on every platform.
class RandomGenerator {
public:
    explicit RandomGenerator(uint64_t seed)
        : state(seed)
    {
    }

    uint64_t next();

    /// Returns a value in [0, bound). `bound` must be greater than 0.
    uint64_t below(uint64_t bound);

    /// Returns a duration in [0, bound). `bound` must be positive.
    Duration below(Duration bound)
    {
        return Duration(static_cast<int64_t>(this->below(static_cast<uint64_t>(bound.count()))));
    }

    friend bool operator==(const RandomGenerator&, const RandomGenerator&) = default;

private:
    uint64_t state;
};

} // namespace Lavendervane
