#pragma once

#include "Groups/ModelEndpoint.h"

#include <map>
#include <stdexcept>
#include <utility>

namespace Lavendervane::Test {

/// Thrown when the simulated group breaks an invariant.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Checks the safety invariants of a group at each step that can break one. Throws InvariantViolation.
class SafetyChecker {
public:
    explicit SafetyChecker(size_t members)
        : members(members)
    {
    }

    /// To be called when an endpoint has accepted a fence.
    void onFenced(const ModelEndpoint&, const Term&);
    /// To be called when an endpoint was promoted, with its log as it was before the first entry of the term.
    void onPromoted(const ModelEndpoint&, const Term&, const Log& before);
    /// To be called when the primary learns in this term that `holder` has the first `size` entries of its log.
    void onAcknowledged(const ModelEndpoint& primary, const Term&, const EndpointId& holder, size_t size);

    const Log& confirmed() const { return this->confirmedLog; }

private:
    /// The member promoted in a term and its log at that time.
    struct TermStart {
        EndpointId primary;
        Log log;
    };

    /// Returns the number of entries that were confirmed in terms below the given one.
    size_t confirmedBefore(const Term&) const;
    size_t majority() const { return this->members / 2 + 1; }

    size_t members;
    std::map<Term, std::map<EndpointId, LogPosition>> fencedPositions; ///< ends of the logs at the time of the fence
    std::map<Term, TermStart> termStarts;
    std::map<std::pair<Term, EndpointId>, std::map<EndpointId, size_t>> replicatedLengths;
    std::map<Term, EndpointId> confirmingPrimaries;
    std::map<Term, size_t> confirmedLengths; ///< number of confirmed entries, by the term that confirmed them
    Log confirmedLog;
};

} // namespace Lavendervane::Test
