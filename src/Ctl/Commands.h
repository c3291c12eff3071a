#pragma once

#include <cstdint>
#include <string>

namespace Lavendervane {

class OperatorClient;

/// Exit codes of lavendervanectl; documented in docs/OPERATIONS.md.
enum class ExitCode {
    Success = 0,
    Failed = 1, ///< no VM answered, or nothing was committed
    Invalid = 2, ///< wrong usage or an invalid declaration
    Conflict = 3, ///< another change was committed first
    Unknown = 4, ///< the platform stopped answering during the commit; check with `history`
    Different = 5, ///< `diff` found differences
};

/// Settings that apply to all commands.
struct CommandSettings {
    std::string author; ///< recorded with each change
    bool json = false; ///< print JSON instead of text
};

// Each function runs one command of lavendervanectl and prints its result.
ExitCode validateFile(const std::string& file, const CommandSettings&);
ExitCode applyFile(OperatorClient&, const std::string& file, const CommandSettings&);
ExitCode diffFile(OperatorClient&, const std::string& file, const CommandSettings&);
ExitCode printConfiguration(OperatorClient&, const CommandSettings&);
ExitCode printHistory(OperatorClient&, uint32_t limit, const CommandSettings&);
ExitCode createKey(OperatorClient&, const std::string& organisation, const CommandSettings&);
ExitCode withdrawKey(OperatorClient&, const std::string& keyId, const CommandSettings&);
ExitCode listKeys(OperatorClient&, const CommandSettings&);
ExitCode printStatus(OperatorClient&, bool allVms, const CommandSettings&);

} // namespace Lavendervane
