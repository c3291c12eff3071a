#pragma once

#include "Core/Identifiers.h"
#include "Core/LogPosition.h"

#include <map>
#include <string>
#include <string_view>

namespace Lavendervane {

/// What a caller has seen: per group the position that later reads must cover (docs/design.md, 5.3).
/// The caller carries it as signed text.
class SessionToken {
public:
    static constexpr size_t maxGroups = 64;

    explicit SessionToken(OrganisationId organisation)
        : owner(std::move(organisation))
    {
    }

    /// Throws Error (step "verify session token") if the text is malformed, was signed with another secret or belongs
    /// to another organisation.
    static SessionToken parse(std::string_view text, std::string_view secret, const OrganisationId&);

    /// Signed base64url text.
    std::string encode(std::string_view secret) const;

    /// Null if the session has not used the group.
    const LogPosition* find(const GroupId&) const;

    /// False if a position of the group would be the 65th entry.
    bool hasRoomFor(const GroupId&) const;

    /// Takes a position at which an endpoint answered. A position that does not cover the present entry is ignored.
    /// The token must have room for the group.
    void merge(const GroupId&, const AppliedPosition&);

    const OrganisationId& organisation() const { return this->owner; }

    friend bool operator==(const SessionToken&, const SessionToken&) = default;

private:
    OrganisationId owner;
    std::map<GroupId, LogPosition> positions;
};

} // namespace Lavendervane
