#pragma once

#include "Control/ControlEffect.h"
#include "Control/ControlEvent.h"

#include <string>
#include <string_view>

namespace Lavendervane {

struct ControlSettings;

/// Conversions between values and one-line JSON texts, for traces. Equal values give equal texts. The parse functions
/// throw Error (step "parse trace").
std::string toJson(const ControlSettings&);
std::string toJson(const ControlEvent&);
std::string toJson(const Effects&);
ControlSettings parseControlSettings(std::string_view json);
ControlEvent parseControlEvent(std::string_view json);

} // namespace Lavendervane
