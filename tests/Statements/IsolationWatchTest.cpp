#include "Statements/IsolationWatch.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(IsolationWatchTest)

static const Instant start { 100s };

// Callers of a data centre that is cut off are served elsewhere once its VMs leave the rotation.
BOOST_AUTO_TEST_CASE(Update_MostGroupsUnservedForLong_SendsCallersAway)
{
    IsolationWatch watch;
    watch.update(3, 2, start);
    BOOST_TEST(watch.wantsCallers(start + 600ms));
    BOOST_TEST(!watch.wantsCallers(start + 700ms));
    // Sessions that closed before the balancer has noticed would come back here.
    BOOST_TEST(!watch.shedsSessions(start + 2800ms));
    BOOST_TEST(watch.shedsSessions(start + 2900ms));
}

// A change of one primary must not drive the callers of all groups away.
BOOST_AUTO_TEST_CASE(Update_OneOfThreeGroupsUnserved_KeepsCallers)
{
    IsolationWatch watch;
    watch.update(3, 1, start);
    BOOST_TEST(watch.wantsCallers(start + 10s));
}

BOOST_AUTO_TEST_CASE(Update_ServedAgain_WantsCallersAtOnce)
{
    IsolationWatch watch;
    watch.update(3, 3, start);
    watch.update(3, 1, start + 5s);
    BOOST_TEST(watch.wantsCallers(start + 5s));
    BOOST_TEST(!watch.shedsSessions(start + 5s));
}

BOOST_AUTO_TEST_CASE(NextChange_WhileUnserved_NamesEachStepOnce)
{
    IsolationWatch watch;
    BOOST_TEST(!watch.nextChange(start));
    watch.update(3, 3, start);
    BOOST_TEST((watch.nextChange(start) == start + 700ms));
    BOOST_TEST((watch.nextChange(start + 700ms) == start + 2900ms));
    BOOST_TEST(!watch.nextChange(start + 2900ms));
}

BOOST_AUTO_TEST_SUITE_END()
