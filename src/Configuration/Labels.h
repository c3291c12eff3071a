#pragma once

#include <map>
#include <string>

namespace Lavendervane {

/// Labels of one resource by name, as declared by operators.
using Labels = std::map<std::string, std::string>;

} // namespace Lavendervane
