#pragma once

#include "Control/ControlEffect.h"
#include "Control/ControlEvent.h"

namespace Lavendervane {

struct ControlState;

/// Applies one event to the state and returns the resulting effects in order. Reads no clock and performs no I/O.
Effects reduce(ControlState&, const ControlEvent&);

} // namespace Lavendervane
