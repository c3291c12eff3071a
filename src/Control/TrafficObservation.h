#pragma once

#include "Core/Identifiers.h"
#include "Core/LogPosition.h"

#include <optional>
#include <variant>

namespace Lavendervane {

/// An endpoint stated a higher term than that of its group in the traffic snapshot.
struct HigherTermObserved {
    GroupId group;
    Term term;
    std::optional<EndpointId> primary;
};

/// An endpoint did not answer, or refused a new connection.
struct EndpointUnreachableObserved {
    EndpointId endpoint;
};

/// A request of the organisation found no token left in its rate limit.
struct TokenShortageObserved {
    OrganisationId organisation;
};

/// Observation that a traffic thread reports to the control thread.
using TrafficObservation = std::variant<HigherTermObserved, EndpointUnreachableObserved, TokenShortageObserved>;

/// Receives the observations of traffic threads for the control thread. Calls are safe from any thread and do not
/// block.
class TrafficObserver {
public:
    virtual ~TrafficObserver() = default;
    virtual void observe(TrafficObservation) = 0;
};

} // namespace Lavendervane
