#include "Core/LogPosition.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(LogPositionTest)

static Term term(uint64_t counter, const char* vm = "a") { return { counter, VmId(vm) }; }

struct CoverageCase {
    const char* name;
    AppliedPosition endpoint;
    LogPosition token;
    bool expected;
};

// A position wrongly considered covered lets a read miss the caller's own write.
BOOST_AUTO_TEST_CASE(Coverage_AcrossTerms_FollowsTheFirstEntryOfTheNewerTerm)
{
    const std::vector<CoverageCase> cases = {
        { "same term, behind", { term(1), 4, 1 }, { term(1), 5 }, false },
        { "same term, equal", { term(1), 5, 1 }, { term(1), 5 }, true },
        { "newer term, first entry not applied", { term(2), 5, 6 }, { term(1), 5 }, false },
        { "newer term, first entry applied", { term(2), 6, 6 }, { term(1), 9 }, true },
        { "older term, higher position", { term(1), 99, 1 }, { term(2), 5 }, false },
        { "equal counter, other VM", { term(2, "a"), 99, 1 }, { term(2, "b"), 5 }, false },
    };
    for (const auto& example : cases)
        BOOST_TEST(example.endpoint.covers(example.token) == example.expected, example.name);
}

BOOST_AUTO_TEST_SUITE_END()
