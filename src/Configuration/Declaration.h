#pragma once

#include "Configuration/Configuration.h"

#include <string>
#include <vector>

namespace Lavendervane {

/// Result of reading a declaration file.
struct Declaration {
    Configuration configuration; ///< without version and keys
    /// One line per error: "FILE:LINE: FIELD: reason". The configuration is complete only if this is empty.
    std::vector<std::string> errors;
};

/// Parses a YAML declaration (format in docs/OPERATIONS.md). `file` is the file name for error messages.
Declaration parseDeclaration(const std::string& yaml, const std::string& file);

} // namespace Lavendervane
