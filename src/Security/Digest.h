#pragma once

#include <string>
#include <string_view>

namespace Lavendervane {

/// Returns the HMAC-SHA256 of the data as 32 raw bytes.
std::string keyedDigest(std::string_view key, std::string_view data);

/// Compares two texts in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view, std::string_view);

/// Returns the bytes in lower-case hexadecimal.
std::string toHex(std::string_view bytes);

/// Returns cryptographically secure random bytes. Throws Error if the random generator fails.
std::string randomBytes(size_t count);

} // namespace Lavendervane
