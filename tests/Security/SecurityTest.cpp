#include "Security/Base64Url.h"
#include "Security/Digest.h"
#include "Security/KeyText.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(SecurityTest)

// Test case 2 of RFC 4231. The digest must match other implementations, so that they accept the same keys.
BOOST_AUTO_TEST_CASE(Digest_PublishedVector_IsEqual)
{
    BOOST_TEST(toHex(keyedDigest("Jefe", "what do ya want for nothing?"))
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(Comparison_Table_MatchesEquality)
{
    struct Row {
        const char* left;
        const char* right;
        bool equal;
    };
    for (const Row& row :
        { Row { "", "", true }, Row { "a", "a", true }, Row { "a", "b", false }, Row { "a", "ab", false } })
        BOOST_TEST(equalInConstantTime(row.left, row.right) == row.equal);
}

// If two texts decoded to the same bytes, a caller could alter a signed token without detection.
BOOST_AUTO_TEST_CASE(Base64Url_Table_DecodesOnlyCanonicalText)
{
    for (size_t size = 0; size < 40; ++size) {
        const std::string bytes = randomBytes(size);
        BOOST_TEST((decodeBase64Url(encodeBase64Url(bytes)) == bytes));
    }
    for (const char* text : { "A", "AAAAA", "AB", "AAB", "AA==", "A A", "+/", "\xc3\xa4" })
        BOOST_TEST(!decodeBase64Url(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(Key_Generated_IsParsed)
{
    for (const char* id : { "a", "front-desk", "desk_2" }) {
        const KeyText key = KeyText::generate(KeyId(id));
        BOOST_TEST((KeyText::parse(key.text()) == key));
        BOOST_TEST(key.digest("secret") != key.digest("other"));
    }
    BOOST_TEST(KeyText::generate(KeyId("a")).secret != KeyText::generate(KeyId("a")).secret);
}

BOOST_AUTO_TEST_CASE(Key_MalformedText_IsRejected)
{
    const std::string secret(32, 'a');
    for (const std::string& text :
        { std::string(), std::string("lvk_"), "lvk_" + secret, "lvk__" + secret, "lvk_a_" + secret.substr(1),
            "lvk_a_" + secret + "a", "LVK_a_" + secret, "lvk_a b_" + secret, "lvk_a_" + std::string(32, 'g') })
        BOOST_TEST(!KeyText::parse(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()
