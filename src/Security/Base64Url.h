#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Lavendervane {

/// Encodes bytes as Base64 with the URL alphabet and without padding (RFC 4648, section 5).
std::string encodeBase64Url(std::string_view bytes);

/// Decodes text made by `encodeBase64Url`. Returns nothing for any other text, so that each byte sequence has exactly
/// one accepted text.
std::optional<std::string> decodeBase64Url(std::string_view text);

} // namespace Lavendervane
