#pragma once

#include "Core/Identifiers.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lavendervane {

/// A caller's key as the caller sends it: `lvk_<id>_<secret>`. The secret must not be stored or logged.
struct KeyText {
    KeyId id;
    std::string secret;

    /// Generates a key with a random secret of 128 bits. The id consists of letters, digits, '-' and '_'.
    static KeyText generate(KeyId);

    /// Empty if the text does not have the form of a key.
    static std::optional<KeyText> parse(std::string_view);

    std::string text() const;

    /// Digest under which the configuration stores the secret, lower-case hexadecimal.
    std::string digest(std::string_view digestSecret) const;

    friend bool operator==(const KeyText&, const KeyText&) = default;
};

} // namespace Lavendervane
