#pragma once

#include "Core/Identifiers.h"

#include <string>

namespace Lavendervane {

/// An open connection to an endpoint that has failed.
struct BrokenConnection {
    EndpointId endpoint;
    OrganisationId organisation;
    bool statementPending = false; ///< true if a batch of statements had not been answered
    std::string reason;

    friend bool operator==(const BrokenConnection&, const BrokenConnection&) = default;
};

} // namespace Lavendervane
