#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string_view>

namespace Lavendervane {

/// Returns the value if it is a whole number between 0 and `maximum`. Throws Error (step "decode number") otherwise,
/// where the library's own conversion would wrap, truncate or be undefined.
uint64_t decodeUnsigned(const nlohmann::json&, uint64_t maximum = std::numeric_limits<uint64_t>::max());

/// As `decodeUnsigned`, for the range of a type.
template <typename Number> Number decodeUnsignedAs(const nlohmann::json& json)
{
    return static_cast<Number>(decodeUnsigned(json, std::numeric_limits<Number>::max()));
}

/// Longest duration that a message between VMs may state, in ms: one day.
inline constexpr uint64_t maxMessageMilliseconds = 86'400'000;

/// Decodes CBOR (RFC 8949). Throws an exception derived from std::exception if the bytes are malformed or nest deeper
/// than any message of this program: the library decodes recursively and would overflow the stack.
nlohmann::json parseCbor(std::string_view bytes);

} // namespace Lavendervane
