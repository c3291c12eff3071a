#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Lavendervane {

/// A violated rule and the evidence for it.
struct Violation {
    std::string rule; ///< name of the rule, such as "lost_write"
    std::string text; ///< description for the operator
    std::vector<size_t> lines; ///< line numbers in the history file, from 1
};

} // namespace Lavendervane
