#pragma once

#include "Core/Identifiers.h"
#include "Core/Instant.h"

namespace Lavendervane {

/// Admission control: decides whether a request of an organisation starts now. Thread-safe.
class Admission {
public:
    virtual ~Admission() = default;

    /// Takes one token from the bucket of the organisation. Returns false if the bucket has none or its grant has
    /// expired.
    virtual bool tryTakeToken(const OrganisationId&, Instant now) = 0;

    /// Returns the token of a request that was admitted but refused before it ran.
    virtual void returnToken(const OrganisationId&) = 0;

    /// Time until the next token is expected: at least 1 ms, and 1 s without a valid grant.
    virtual Duration retryAfter(const OrganisationId&, Instant now) const = 0;
};

} // namespace Lavendervane
