#pragma once

#include <string>
#include <vector>

namespace Lavendervane {

struct Configuration;

/// Checks a whole configuration. Returns one line per fault, each naming the resource and the field; none if it is
/// valid. The rules stand in docs/OPERATIONS.md.
std::vector<std::string> validate(const Configuration&);

} // namespace Lavendervane
