#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Lavendervane {

using Json = nlohmann::json;

/// Parses JSON from a caller or an endpoint. Throws Error (step "parse JSON") if it is malformed, not UTF-8 or nested
/// too deeply to be serialised again.
Json parseJson(std::string_view);

/// Returns the string member with this name, or an empty string if it is missing or not a string.
std::string stringMember(const Json&, const char* name);

/// Returns the text as a JSON string with quotes and escapes.
std::string quoteJson(std::string_view);

} // namespace Lavendervane
