#pragma once

#include "Core/Identifiers.h"

#include <cstdint>

namespace Lavendervane {

/// Term of a database group. The VM that started the term makes equal counters distinct.
struct Term {
    uint64_t counter = 0;
    VmId vm;

    friend auto operator<=>(const Term&, const Term&) = default;
};

/// Position in the log of a group, counted in entries, as it was assigned in `term`.
struct LogPosition {
    Term term;
    uint64_t position = 0;

    friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
};

/// How far an endpoint has applied the log: it is in `term`, whose first entry stands at `firstPosition`.
struct AppliedPosition {
    Term term;
    uint64_t position = 0;
    uint64_t firstPosition = 0;

    friend auto operator<=>(const AppliedPosition&, const AppliedPosition&) = default;

    /// True if every write acknowledged at `required` is visible at this position (docs/design.md, 5.3).
    bool covers(const LogPosition& required) const;
};

std::ostream& operator<<(std::ostream&, const Term&);
std::ostream& operator<<(std::ostream&, const LogPosition&);

} // namespace Lavendervane
