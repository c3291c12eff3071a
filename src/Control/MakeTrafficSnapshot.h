#pragma once

#include "Control/TrafficSnapshot.h"

#include <memory>

namespace Lavendervane {

struct ControlState;

/// Returns a snapshot of the parts of the state that traffic threads read.
std::shared_ptr<const TrafficSnapshot> makeTrafficSnapshot(const ControlState&);

} // namespace Lavendervane
