#include "Security/Digest.h"

#include "Core/Error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace Lavendervane {

std::string keyedDigest(std::string_view key, std::string_view data)
{
    std::string digest(EVP_MAX_MD_SIZE, '\0');
    unsigned size = 0;
    const auto* input = reinterpret_cast<const unsigned char*>(data.data());
    auto* output = reinterpret_cast<unsigned char*>(digest.data());
    if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), input, data.size(), output, &size))
        throw Error("compute digest", "", "HMAC-SHA256 is not available");
    digest.resize(size);
    return digest;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && !CRYPTO_memcmp(left.data(), right.data(), left.size());
}

std::string toHex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string randomBytes(size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1)
        throw Error("generate random bytes", "", "the random generator is not available");
    return bytes;
}

} // namespace Lavendervane
