#pragma once

#include <string>
#include <vector>

namespace Lavendervane {

struct Configuration;

/// Checks a whole configuration against the rules in docs/OPERATIONS.md. Returns one line per error, naming the
/// resource and the field; no lines if the configuration is valid.
std::vector<std::string> validate(const Configuration&);

} // namespace Lavendervane
