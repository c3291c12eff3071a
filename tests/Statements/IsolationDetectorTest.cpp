#include "Statements/IsolationDetector.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(IsolationDetectorTest)

static const Instant start { 100s };

// If a data centre is cut off, its VMs must stop accepting callers, so that the load balancer sends them to other VMs.
BOOST_AUTO_TEST_CASE(Update_MostGroupsUnservedForLong_StopsAcceptingCallers)
{
    IsolationDetector detector;
    detector.update(3, 2, start);
    BOOST_TEST(detector.acceptsCallers(start + 600ms));
    BOOST_TEST(!detector.acceptsCallers(start + 700ms));
    // Sessions must stay open until the load balancer has noticed. Otherwise callers would reconnect to this VM.
    BOOST_TEST(!detector.shouldCloseSessions(start + 2800ms));
    BOOST_TEST(detector.shouldCloseSessions(start + 2900ms));
}

// A change of primary in one group must not make the VM turn away the callers of all groups.
BOOST_AUTO_TEST_CASE(Update_OneOfThreeGroupsUnserved_AcceptsCallers)
{
    IsolationDetector detector;
    detector.update(3, 1, start);
    BOOST_TEST(detector.acceptsCallers(start + 10s));
}

BOOST_AUTO_TEST_CASE(Update_ServedAgain_AcceptsCallersAtOnce)
{
    IsolationDetector detector;
    detector.update(3, 3, start);
    detector.update(3, 1, start + 5s);
    BOOST_TEST(detector.acceptsCallers(start + 5s));
    BOOST_TEST(!detector.shouldCloseSessions(start + 5s));
}

BOOST_AUTO_TEST_CASE(NextChange_WhileUnserved_ReturnsEachChangeOnce)
{
    IsolationDetector detector;
    BOOST_TEST(!detector.nextChange(start));
    detector.update(3, 3, start);
    BOOST_TEST((detector.nextChange(start) == start + 700ms));
    BOOST_TEST((detector.nextChange(start + 700ms) == start + 2900ms));
    BOOST_TEST(!detector.nextChange(start + 2900ms));
}

BOOST_AUTO_TEST_SUITE_END()
