#include "Session/SessionToken.h"

#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(SessionTokenTest)

static const OrganisationId desk("desk");
static const GroupId lanes("lanes");

static Term term(uint64_t counter) { return { counter, VmId("vm-1") }; }

static SessionToken makeToken(size_t groups)
{
    SessionToken token(desk);
    for (size_t index = 0; index < groups; ++index)
        token.merge(GroupId("group-" + std::to_string(index)), { term(3), 1000 + index, 5 });
    return token;
}

BOOST_AUTO_TEST_CASE(Token_Encoded_IsParsedUnchanged)
{
    for (size_t groups : { 0, 1, 2, 64 }) {
        const SessionToken token = makeToken(groups);
        BOOST_TEST((SessionToken::parse(token.encode("secret"), "secret", desk) == token));
    }
}

// Accepting an altered token would let a caller weaken its own guarantees or use another organisation's token.
BOOST_AUTO_TEST_CASE(Token_AnyCharacterAltered_IsRejected)
{
    const std::string text = makeToken(2).encode("secret");
    for (size_t index = 0; index < text.size(); ++index) {
        std::string altered = text;
        altered[index] = altered[index] == 'A' ? 'B' : 'A';
        BOOST_CHECK_THROW(SessionToken::parse(altered, "secret", desk), Error);
        BOOST_CHECK_THROW(SessionToken::parse(text.substr(0, index), "secret", desk), Error);
    }
    BOOST_CHECK_THROW(SessionToken::parse(text, "other", desk), Error);
    BOOST_CHECK_THROW(SessionToken::parse(text, "secret", OrganisationId("other")), Error);
}

BOOST_AUTO_TEST_CASE(Token_FullOfGroups_HasRoomOnlyForKnownOnes)
{
    const SessionToken token = makeToken(SessionToken::maxGroups);
    BOOST_TEST(!token.hasRoomFor(lanes));
    BOOST_TEST(token.hasRoomFor(GroupId("group-0")));
}

// A lost position would let a session miss its own writes.
BOOST_AUTO_TEST_CASE(Merge_Table_NeverLosesARequirement)
{
    struct Row {
        const char* name;
        AppliedPosition before;
        AppliedPosition seen;
        LogPosition expected;
    };
    const Row rows[] = {
        { "later position", { term(1), 5, 1 }, { term(1), 7, 1 }, { term(1), 7 } },
        { "earlier position", { term(1), 5, 1 }, { term(1), 4, 1 }, { term(1), 5 } },
        { "older term", { term(2), 5, 4 }, { term(1), 9, 1 }, { term(2), 5 } },
        { "newer term", { term(1), 5, 1 }, { term(2), 6, 6 }, { term(2), 6 } },
        { "newer term before its first entry", { term(1), 5, 1 }, { term(2), 4, 6 }, { term(1), 5 } },
    };
    for (const Row& row : rows) {
        SessionToken token(desk);
        token.merge(lanes, row.before);
        token.merge(lanes, row.seen);
        BOOST_TEST((*token.find(lanes) == row.expected), row.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
