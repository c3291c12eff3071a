#include "Configuration/Selector.h"

#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(SelectorTest)

struct MatchCase {
    const char* selector;
    Labels labels;
    bool expected;
};

// A selector that matches too much would give callers access to databases of other organisations.
BOOST_AUTO_TEST_CASE(Selector_WithLabels_MatchesOnlyWhatIsDeclared)
{
    const std::vector<MatchCase> cases = {
        { "*", {}, true },
        { "app=scores", { { "app", "scores" } }, true },
        { "app=scores", { { "app", "score" } }, false },
        { "app=scores", {}, false },
        { "app!=scores", { { "app", "scores" } }, false },
        { "app!=scores", {}, true },
        { "app in (a, b),tier", { { "app", "b" }, { "tier", "x" } }, true },
        { "app in (a, b),tier", { { "app", "b" } }, false },
        { "app notin (a,b)", { { "app", "c" } }, true },
        { "app notin (a,b)", { { "app", "a" } }, false },
        { "!leaving", { { "leaving", "true" } }, false },
        { "!leaving", {}, true },
    };
    for (const auto& example : cases)
        BOOST_TEST(Selector::parse(example.selector).matches(example.labels) == example.expected, example.selector);
}

// A mistyped selector must be rejected instead of matching everything.
BOOST_AUTO_TEST_CASE(Selector_MalformedText_IsRejected)
{
    for (const char* text : { "", "  ", "a=", "=b", "a in b", "a in (b", "a,,b", "a b", "a in ()", "!" })
        BOOST_CHECK_THROW(Selector::parse(text), Error);
}

BOOST_AUTO_TEST_SUITE_END()
