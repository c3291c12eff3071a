#pragma once

#include "Configuration/Resources.h"
#include "Core/Instant.h"
#include "Http/HttpMessages.h"

#include <optional>
#include <string>

namespace Lavendervane {

struct TrafficSettings;

enum class CallerAction {
    Execute,
    Begin,
    Statement,
    Commit,
    Rollback,
};

/// Parsed request of a caller (docs/design.md, 6.1), without the API key.
struct CallerRequest {
    CallerAction action = CallerAction::Execute;
    GroupId group; ///< set for Execute and Begin only
    Access access = Access::Read; ///< set for Execute and Begin only
    std::string statements; ///< JSON array as text
    std::string idempotencyKey; ///< empty if the caller sent none
    std::string session; ///< encoded session token; empty if the caller sent none
    Duration timeout {};
    std::optional<Duration> maxStaleness;
    bool primaryOnly = false;
};

/// Removes the Authorization header and returns the key in it: no value without the header, an empty string if the
/// header does not use the Bearer scheme.
std::optional<std::string> takeCallerKey(HttpRequest&);

/// Parses path, headers and body. Throws CallerError (bad_request or unknown_path).
CallerRequest parseCallerRequest(const HttpRequest&, const TrafficSettings&);

} // namespace Lavendervane
