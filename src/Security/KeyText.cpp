#include "Security/KeyText.h"

#include "Security/Digest.h"

#include <algorithm>

namespace Lavendervane {

static constexpr std::string_view keyPrefix = "lvk_";
static constexpr size_t secretBytes = 16;

static bool isIdCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_';
}

static bool isHexDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

KeyText KeyText::generate(KeyId id) { return { std::move(id), toHex(randomBytes(secretBytes)) }; }

std::optional<KeyText> KeyText::parse(std::string_view text)
{
    if (text.substr(0, keyPrefix.size()) != keyPrefix)
        return std::nullopt;
    text.remove_prefix(keyPrefix.size());
    // An id may contain underscores; a secret does not.
    const size_t separator = text.rfind('_');
    if (separator == std::string_view::npos || !separator)
        return std::nullopt;
    const std::string_view id = text.substr(0, separator);
    const std::string_view secret = text.substr(separator + 1);
    if (!std::all_of(id.begin(), id.end(), isIdCharacter) || secret.size() != 2 * secretBytes
        || !std::all_of(secret.begin(), secret.end(), isHexDigit))
        return std::nullopt;
    return KeyText { KeyId(std::string(id)), std::string(secret) };
}

std::string KeyText::text() const { return std::string(keyPrefix) + this->id.str() + "_" + this->secret; }

std::string KeyText::digest(std::string_view digestSecret) const
{
    return toHex(keyedDigest(digestSecret, this->secret));
}

} // namespace Lavendervane
