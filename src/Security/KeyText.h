#pragma once

#include "Core/Identifiers.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lavendervane {

/// An API key in the form that the caller sends, `lvk_<id>_<secret>`. The secret must not be stored or logged.
struct KeyText {
    KeyId id;
    std::string secret;

    /// Generates a key with a random secret of 128 bits. The id consists of letters, digits, '-' and '_'.
    static KeyText generate(KeyId);

    /// Parses the text of a key. Returns nothing if it does not have the form of a key.
    static std::optional<KeyText> parse(std::string_view);

    std::string text() const;

    /// Returns the digest of the secret that the configuration stores, in lower-case hexadecimal.
    std::string digest(std::string_view digestSecret) const;

    friend bool operator==(const KeyText&, const KeyText&) = default;
};

} // namespace Lavendervane
