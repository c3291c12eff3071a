#pragma once

#include <string>

namespace Lavendervane {

/// Returns the GNU build ID of the running program in hexadecimal: a digest of its contents that the linker has written
/// (`readelf -n` shows it); empty if there is none.
std::string readBuildId();

} // namespace Lavendervane
