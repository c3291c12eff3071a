#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"

namespace Lavendervane {

/// Decides whether a request of an organisation may start now. Calls are safe from any thread.
class Admission {
public:
    virtual ~Admission() = default;

    /// Takes one token. Returns false if there is none, or if the grant has expired.
    virtual bool tryTakeToken(const OrganisationId&, Instant now) = 0;

    /// Gives back a token taken for a request that was then refused before it ran.
    virtual void returnToken(const OrganisationId&) = 0;

    /// Time until the next token is expected; at least 1 ms, and 1 s while there is no grant.
    virtual Duration retryAfter(const OrganisationId&, Instant now) const = 0;
};

} // namespace Lavendervane
