#pragma once

#include "Operator/OperatorHandler.h"

#include <map>

namespace Lavendervane {

struct ControlState;

/// Replies with the state as this VM sees it: all VMs, the views of all groups, the endpoints that it watches, and all
/// limits. `peerVersions` holds the configuration version that each VM last reported.
void replyWithStatus(
    const ControlState&, const std::map<VmId, uint64_t>& peerVersions, const OperatorHandler::StatusReply&);

} // namespace Lavendervane
