#pragma once

#include "Core/Identifiers.h"
#include "Core/LogPosition.h"

#include <map>
#include <string>
#include <string_view>

namespace Lavendervane {

/// The log position per group that later reads of a caller's session must cover (docs/design.md, 5.3). The caller
/// sends it with each request as signed text.
class SessionToken {
public:
    static constexpr size_t maxGroups = 64;

    explicit SessionToken(OrganisationId organisation)
        : owner(std::move(organisation))
    {
    }

    /// Verifies and parses the signed text. Throws Error (step "verify session token") if the text is malformed, was
    /// signed with another secret or belongs to another organisation.
    static SessionToken parse(std::string_view text, std::string_view secret, const OrganisationId&);

    /// Returns the token as signed base64url text.
    std::string encode(std::string_view secret) const;

    /// Returns the position that reads of the group must cover; null if the session has not used the group.
    const LogPosition* find(const GroupId&) const;

    /// False if a position of the group would exceed `maxGroups` entries.
    bool hasRoomFor(const GroupId&) const;

    /// Sets the position of the group to that at which an endpoint answered, unless it does not cover the current
    /// position. The token must have room for the group.
    void merge(const GroupId&, const AppliedPosition&);

    const OrganisationId& organisation() const { return this->owner; }

    friend bool operator==(const SessionToken&, const SessionToken&) = default;

private:
    OrganisationId owner;
    std::map<GroupId, LogPosition> positions;
};

} // namespace Lavendervane
