#pragma once

#include "Configuration/Resources.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lavendervane {

class TrafficThread;

/// Returns the organisation that a request runs as: that of its key or, without a key, that of an open route to the
/// group. Throws CallerError (key_required, invalid_key, configuration_too_old, unknown_group, not_allowed). The thread
/// must have a snapshot.
OrganisationId authenticate(TrafficThread&, const std::optional<std::string>& key, const GroupId&, Access);

} // namespace Lavendervane
