#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace Lavendervane {

using Json = nlohmann::json;

/// Parses text from a caller or an endpoint. Throws Error (step "parse JSON") if it is malformed, not UTF-8 or nested
/// too deeply to be written again.
Json parseJson(std::string_view);

/// Member of that name if it is a string; otherwise empty.
std::string stringMember(const Json&, const char* name);

/// The text in quotes, escaped.
std::string quoteJson(std::string_view);

} // namespace Lavendervane
