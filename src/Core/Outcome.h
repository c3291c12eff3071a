#pragma once

#include <string_view>

namespace Lavendervane {

/// What is known about a request. `NotRun` is stated only when no part of it was or will be executed.
enum class Outcome {
    Done,
    NotRun,
    Unknown,
};

/// Wire form: "done", "not_run" or "unknown".
std::string_view toString(Outcome);

/// Parses the wire form. Throws Error for any other text.
Outcome parseOutcome(std::string_view);

} // namespace Lavendervane
