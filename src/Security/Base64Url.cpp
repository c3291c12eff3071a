#include "Security/Base64Url.h"

#include <array>
#include <cstdint>

namespace Lavendervane {

static constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

static constexpr std::array<int8_t, 256> makeDecodingTable()
{
    std::array<int8_t, 256> table {};
    for (auto& value : table)
        value = -1;
    for (size_t index = 0; index < alphabet.size(); ++index)
        table[static_cast<unsigned char>(alphabet[index])] = static_cast<int8_t>(index);
    return table;
}

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    uint32_t bits = 0;
    unsigned count = 0;
    for (unsigned char byte : bytes) {
        bits = (bits << 8U) | byte;
        count += 8;
        while (count >= 6) {
            count -= 6;
            text += alphabet[(bits >> count) & 63U];
        }
    }
    if (count)
        text += alphabet[(bits << (6 - count)) & 63U];
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    static constexpr auto decodingTable = makeDecodingTable();
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    uint32_t bits = 0;
    unsigned count = 0;
    for (unsigned char character : text) {
        const int8_t value = decodingTable[character];
        if (value < 0)
            return std::nullopt;
        bits = (bits << 6U) | static_cast<uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> count) & 255U);
        }
    }
    // Six leftover bits mean that the last character stands alone. Fewer leftover bits must be zero, so that only one
    // text encodes the bytes.
    if (count == 6 || (bits & ((1U << count) - 1U)))
        return std::nullopt;
    return bytes;
}

} // namespace Lavendervane
